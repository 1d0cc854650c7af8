package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"caperarch/internal/daemon"
	"caperarch/internal/daemon/config"
	"caperarch/policy"
)

// errFailed ends a command whose error has been told already.
var errFailed = errors.New("failed")

// command carries out what the arguments say and returns the exit code: 0, 1 where it failed, 2 where the arguments are wrong.
func command(args []string, out, log io.Writer) int {
	root := rootCommand(out, log)
	root.SetArgs(longFlags(root, args))
	root.SetOut(out)
	root.SetErr(log)
	switch of, err := root.ExecuteC(); {
	case err == nil:
		return 0
	case errors.Is(err, errFailed):
		return 1
	default:
		fmt.Fprintf(log, "caperarch: %v\n%s", err, of.UsageString())
		return 2
	}
}

// longFlags lets the daemon's flags be written with one dash too, as they always were.
func longFlags(root *cobra.Command, args []string) []string {
	all := slices.Clone(args)
	for i, a := range all {
		name, _, _ := strings.Cut(strings.TrimPrefix(a, "-"), "=")
		if strings.HasPrefix(a, "-") && !strings.HasPrefix(a, "--") && len(name) > 1 && root.Flags().Lookup(name) != nil {
			all[i] = "-" + a
		}
	}
	return all
}

// done is nil where something went well.
func done(code int) error {
	if code != 0 {
		return errFailed
	}
	return nil
}

func rootCommand(out, log io.Writer) *cobra.Command {
	var d daemonArgs
	root := &cobra.Command{
		Use:   "caperarch",
		Short: "Balances and resends requests on the client's side",
		Long:  "Balances and resends requests on the client's side.\n\nWith no command it is the daemon: EDGE_CONFIG names its configuration file.",
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) > 0 {
				return fmt.Errorf("%q is no command", args[0])
			}
			return nil
		},
		SilenceErrors: true, SilenceUsage: true,
		RunE: func(*cobra.Command, []string) error {
			if d.recordMost < 1 {
				return fmt.Errorf("-record-most is %d MiB, at least 1 is needed", d.recordMost)
			}
			if !slices.Contains([]string{"plain", "text", "json"}, d.logFormat) {
				return fmt.Errorf("-log-format is %q, one of plain, text, json is needed", d.logFormat)
			}
			if serve(&d) != nil {
				return errFailed
			}
			return nil
		},
	}
	flags := root.Flags()
	flags.StringVar(&d.pools, "pools", "", "run several pools, by the operator's `FILE` (TOML)")
	flags.StringVar(&d.fleet, "fleet", "", "take part in a fleet of sidecars, by the operator's `FILE` (TOML)")
	flags.StringVar(&d.logFormat, "log-format", "plain", "log lines as they always were (plain), as key=value with times to the millisecond (text) or as JSON, `FORMAT`")
	flags.StringVar(&d.record, "record", "", "write down what the decision module is handed and does to `FILE`, for cmd/replay; \"-\" is standard output")
	flags.Int64Var(&d.recordMost, "record-most", recordMost, "`MiB` of a recording at most; it then ends, the daemon goes on")
	var class string
	routes := &cobra.Command{
		Use:   "route FILE METHOD URL",
		Short: "Print the rule and pool of a file of pools that a request would take, and why",
		Args:  cobra.ExactArgs(3),
		RunE: func(_ *cobra.Command, args []string) error {
			return route(args[0], args[1], args[2], class, out, log)
		},
	}
	routes.Flags().StringVarP(&class, "header", "H", "", "a `HEADER` of the request: \"X-Priority-Class: CLASS\"")
	root.AddCommand(routes,
		&cobra.Command{
			Use:   "check FILE",
			Short: "Say whether a configuration (JSON), a file of pools or one on a fleet (.toml) can be used, and what can't",
			Args:  cobra.ExactArgs(1),
			RunE:  func(_ *cobra.Command, args []string) error { return done(check(args[0], out, log)) },
		},
		&cobra.Command{
			Use:   "peers ADDRESS",
			Short: "Print what the sidecar with this control address knows of the others",
			Args:  cobra.ExactArgs(1),
			RunE:  func(_ *cobra.Command, args []string) error { return done(operate(args[0], "peers", out, log)) },
		},
		policyCommand(out, log),
		workCommand(out, log),
		&cobra.Command{
			Use:   "demo",
			Short: "Start stand-in nodes, discovery and a daemon on loopback, send a load and break things; needs a checkout and the Go tool chain",
			RunE:  func(_ *cobra.Command, args []string) error { return done(demo(args, out, log)) },
		},
	)
	return root
}

// operateTime is how long an operator's call may take: its answer is owed within a second.
const operateTime = 5 * time.Second

// operate makes an operator's call and prints its answer without the words round it.
func operate(address, call string, out, log io.Writer) int {
	text, err := ask(address, call)
	if err != nil {
		fmt.Fprintf(log, "caperarch: %v\n", err)
		return 1
	}
	fmt.Fprint(out, text)
	return 0
}

// ask makes an operator's call and returns its answer without the words round it. An answer that is a no is an error.
func ask(address, call string) (string, error) {
	c, err := net.DialTimeout("tcp", address, operateTime)
	if err != nil {
		return "", err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(operateTime))
	raw := []byte(nil)
	if _, err = io.WriteString(c, call+"\n"); err == nil {
		raw, err = io.ReadAll(c)
	}
	text, ok := strings.CutPrefix(string(raw), "200 ok\n")
	switch {
	case err != nil:
		return "", fmt.Errorf("%s: %w", address, err)
	case !ok:
		return "", fmt.Errorf("%s says: %s", address, strings.TrimSuffix(strings.TrimPrefix(text, "400 "), "\n"))
	}
	return strings.TrimSuffix(text, "EOF\n"), nil
}

func route(path, method, url, header string, out, log io.Writer) error {
	class := ""
	if header != "" {
		name, value, _ := strings.Cut(header, ":")
		if !strings.EqualFold(name, "X-Priority-Class") {
			return fmt.Errorf("header %q has no part in routes, X-Priority-Class has", name)
		}
		class = strings.TrimSpace(value)
	}
	pools, err := config.ReadPools(path)
	if err != nil {
		fmt.Fprintln(log, err)
		return errFailed
	}
	text, err := daemon.Explain(pools, method, url, class)
	if err != nil {
		fmt.Fprintln(log, err)
		return errFailed
	}
	fmt.Fprintln(out, text)
	return nil
}

func check(path string, out, log io.Writer) int {
	if strings.HasSuffix(path, ".toml") {
		if raw, err := os.ReadFile(path); err == nil && !strings.Contains(string(raw), "[pools") && !strings.Contains(string(raw), "[[routes") {
			return checkFleet(path, out, log)
		}
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
		path, cfg.Listen, cfg.Discovery, len(cfg.Classes), len(cfg.Tenants), len(cfg.KnownServers.Servers))
	return 0
}

func checkFleet(path string, out, log io.Writer) int {
	f, err := config.ReadFleet(path)
	if err != nil {
		fmt.Fprintln(log, err)
		return 1
	}
	fmt.Fprintf(out, "%s: usable: fleet %s\n", path, f.Name)
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
