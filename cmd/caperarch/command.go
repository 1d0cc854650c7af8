package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"

	"caperarch/internal/config"
	"caperarch/internal/daemon"
	"caperarch/policy"
)

const usageText = `usage: caperarch [COMMAND]

With no command it is the daemon: EDGE_CONFIG names its configuration file.

  -pools FILE  the daemon with several pools, by the operator's file (TOML)
  -record FILE writes down what the decision module is handed and does, for cmd/replay; "-" is standard output
  -record-most N  MiB of it at most (256); it then ends, the daemon goes on
  check FILE   says whether a configuration (JSON) or a file of pools (.toml) can be used, and what can't
  route FILE METHOD URL [-H "X-Priority-Class: CLASS"]
               prints the rule and pool of a file of pools that a request would take, and why
  demo         starts stand-in nodes, discovery and a daemon on loopback and sends a load for some
               seconds, while a node goes silent and one drains; needs a checkout and the Go tool chain
  -h           this text
`

func isHelp(arg string) bool { return arg == "-h" || arg == "--help" || arg == "help" }

// command carries a command out and returns the exit code: 0, 1 where it failed, 2 where it is none.
func command(args []string, out, log io.Writer) int {
	switch {
	case isHelp(args[0]):
		fmt.Fprint(out, usageText)
		return 0
	case args[0] == "check" && len(args) == 2:
		return check(args[1], out, log)
	case args[0] == "route" && (len(args) == 4 || len(args) == 6 && args[4] == "-H"):
		return route(args[1], args[2], args[3], args[4:], out, log)
	case args[0] == "demo":
		return demo(args[1:], out, log)
	}
	fmt.Fprintf(log, "caperarch: %q is no command, or has the wrong arguments\n%s", args[0], usageText)
	return 2
}

func route(path, method, url string, header []string, out, log io.Writer) int {
	class := ""
	if len(header) == 2 {
		name, value, _ := strings.Cut(header[1], ":")
		if !strings.EqualFold(name, "X-Priority-Class") {
			fmt.Fprintf(log, "caperarch: header %q has no part in routes, X-Priority-Class has\n", name)
			return 2
		}
		class = strings.TrimSpace(value)
	}
	pools, err := config.ReadPools(path)
	if err != nil {
		fmt.Fprintln(log, err)
		return 1
	}
	text, err := daemon.Explain(pools, method, url, class)
	if err != nil {
		fmt.Fprintln(log, err)
		return 1
	}
	fmt.Fprintln(out, text)
	return 0
}

func check(path string, out, log io.Writer) int {
	if strings.HasSuffix(path, ".toml") {
		pools, err := config.ReadPools(path)
		if err != nil {
			fmt.Fprintln(log, err)
			return 1
		}
		fmt.Fprintf(out, "%s: usable: %d pools\n", path, len(pools.List))
		return 0
	}
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
