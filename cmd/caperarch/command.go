package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"

	"caperarch/internal/config"
	"caperarch/policy"
)

const usageText = `usage: caperarch [COMMAND]

With no command it is the daemon: EDGE_CONFIG names its configuration file.

  check FILE   says whether a configuration can be used, and which field can't
  demo         starts stand-in nodes, discovery and a daemon on loopback and sends a load for some
               seconds, while a node goes silent and one drains; needs a checkout and the Go tool chain
  -h           this text
`

// command carries a command out and returns the exit code: 0, 1 where it failed, 2 where it is none.
func command(args []string, out, log io.Writer) int {
	switch {
	case args[0] == "-h" || args[0] == "--help" || args[0] == "help":
		fmt.Fprint(out, usageText)
		return 0
	case args[0] == "check" && len(args) == 2:
		return check(args[1], out, log)
	case args[0] == "demo":
		return demo(args[1:], out, log)
	}
	fmt.Fprintf(log, "caperarch: %q is no command, or has the wrong arguments\n%s", args[0], usageText)
	return 2
}

func check(path string, out, log io.Writer) int {
	cfg, err := config.Read(path)
	if err == nil {
		_, err = policy.New(cfg.Policy, cfg.Seed, nil) // a Balancer that is never started calls nothing
	}
	if err != nil {
		fmt.Fprintf(log, "%s: %v\n", path, err)
		return 1
	}
	fmt.Fprintf(out, "%s: usable: listens on %s, discovery at %s, %d classes, %d tenants, %d servers known\n",
		path, cfg.Listen, cfg.Discovery, len(cfg.Classes), len(cfg.Tenants), len(cfg.Known.Servers))
	return 0
}

// demo is a program of its own, so that no stand-in is part of what ships.
func demo(args []string, out, log io.Writer) int {
	cmd := exec.Command("go", append([]string{"run", "caperarch/cmd/demo"}, args...)...)
	cmd.Stdin, cmd.Stdout, cmd.Stderr = os.Stdin, out, log
	err := cmd.Run()
	var exit *exec.ExitError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &exit):
		return exit.ExitCode()
	}
	fmt.Fprintf(log, "caperarch: the demo needs a checkout and the Go tool chain: %v\n", err)
	return 1
}
