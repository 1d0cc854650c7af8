// Meshd is the program that runs on all machines of the mesh. It runs one of two roles: "meshd sidecar" runs the
// proxy beside an upstream, and "meshd controlplane" runs a core machine, which holds the configuration. Package cli
// implements the verbs, which are the subcommands for operators.
//
// A role runs until it receives SIGTERM or SIGINT. SIGHUP or a change of the settings file reloads the settings, and
// SIGUSR1 writes the log entries that are kept in memory to standard error. A role exits with code 0 after SIGTERM or
// SIGINT, with code 1 if it failed, and with code 2 if the command line is invalid or the settings cannot be loaded.
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
	const levelUsage = "minimum level of the log entries that a role writes immediately: debug, info, warn or error"
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
