// Meshd is the mesh's one program for all machines: "meshd sidecar" is the sidecar beside an upstream, "meshd controlplane" the core machine that holds the configuration. Its
// other words are the operators' verbs.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"caperarch/internal/mesh/cli"
	"caperarch/internal/mesh/controlplane"
	"caperarch/internal/mesh/logring"
	"caperarch/internal/mesh/settings"
	"caperarch/internal/mesh/sidecar"

	"go.uber.org/zap/zapcore"
)

const usage = `usage: meshd [-say LEVEL] ROLE
       meshd VERB [ARGUMENTS] [FLAGS]

roles:
  sidecar        the sidecar beside an upstream
  controlplane   a core machine, which holds the configuration

The settings file of a role is named by ` + settings.BootVariable + `.

` + cli.Usage

// The roles of a process.
const (
	roleSidecar      = "sidecar"
	roleControlPlane = "controlplane"
)

// collectAt has garbage collected when the heap has grown by so many per cent: memory is dear on these machines, and the heap small.
const collectAt = 50

func main() {
	flag.Usage = func() { fmt.Fprint(os.Stderr, usage) }
	said := zapcore.WarnLevel
	flag.Var(&said, "say", "level from which on log entries of a role are written out at once: debug, info, warn, error")
	flag.Parse()
	if cli.IsVerb(flag.Arg(0)) {
		os.Exit(cli.Run(context.Background(), flag.Args(), os.Stdin, os.Stdout, os.Stderr, os.Getenv))
	}
	if flag.NArg() != 1 {
		flag.Usage()
		os.Exit(2)
	}
	os.Exit(run(flag.Arg(0), said))
}

// run is the program's life in a role; it returns the exit status.
func run(role string, said zapcore.Level) int {
	if role != roleSidecar && role != roleControlPlane {
		flag.Usage()
		return 2
	}
	set, err := settings.Load()
	if err != nil {
		fmt.Fprintln(os.Stderr, "meshd:", err)
		return 2
	}
	debug.SetGCPercent(collectAt)
	log, ring := logring.New(os.Stderr, logring.DefaultBytes)
	ring.WriteLevel = said
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGUSR1)
	reload := make(chan *settings.Settings)
	go func() {
		for s := range settings.ReloadSignals(ctx, signals) {
			if s == syscall.SIGUSR1 {
				ring.Dump("asked for")
				continue
			}
			again, err := settings.Load()
			if err != nil {
				log.Warn("settings that can't be used, the last ones hold: " + err.Error())
				continue
			}
			select {
			case reload <- again:
			case <-ctx.Done():
				return
			}
		}
	}()
	if role == roleSidecar {
		err = sidecar.Run(ctx, set, reload, log)
	} else {
		err = controlplane.Run(ctx, set, reload, log)
	}
	if err != nil {
		log.Error("ended: " + err.Error())
		return 1
	}
	return 0
}
