// Meshd is the mesh's one program for all machines. "meshd sidecar" is the proxy beside an upstream, "meshd
// controlplane" a core machine that holds the configuration; the operators' verbs are those of package cli.
//
// A role runs until SIGTERM or SIGINT. SIGHUP reloads the settings, SIGUSR1 writes the log in
// memory out. Exit codes of a role are 0 after a signal, 1 when it failed, 2 when it was used
// wrongly or its settings can't be used.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"go.uber.org/zap/zapcore"

	"caperarch/internal/mesh/cli"
	"caperarch/internal/mesh/settings"
)

const usage = `usage: meshd [-say LEVEL] ROLE
       meshd VERB [ARGUMENTS] [FLAGS]

roles:
  sidecar        the sidecar beside an upstream
  controlplane   a core machine, which holds the configuration

The settings file of a role is named by ` + settings.BootVariable + `.

` + cli.Usage

func main() {
	flag.Usage = func() { fmt.Fprint(os.Stderr, usage) }
	writeLevel := zapcore.WarnLevel
	const levelUsage = "level from which on log entries of a role are written out at once: debug, info, warn, error"
	flag.Var(&writeLevel, "say", levelUsage)
	flag.Parse()
	if cli.IsVerb(flag.Arg(0)) {
		os.Exit(cli.Run(context.Background(), flag.Args(), os.Stdin, os.Stdout, os.Stderr, os.Getenv))
	}
	role, known := roles[flag.Arg(0)]
	if flag.NArg() != 1 || !known {
		flag.Usage()
		os.Exit(exitUsage)
	}
	os.Exit(runRole(role, writeLevel))
}
