package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"caperarch/internal/daemon/control"
)

// errFailed is the error of a command that has already printed its error message.
var errFailed = errors.New("failed")

// runCommand runs a command line and returns the exit code: 0 on success, 1 if the command failed, 2 if the arguments
// are invalid.
func runCommand(args []string, out, log io.Writer) int {
	root := rootCommand(out, log)
	root.SetArgs(longFlags(root, args))
	root.SetOut(out)
	root.SetErr(log)
	switch failed, err := root.ExecuteC(); {
	case err == nil:
		return 0
	case errors.Is(err, errFailed):
		return 1
	default:
		fmt.Fprintf(log, "caperarch: %v\n%s", err, failed.UsageString())
		return 2
	}
}

// longFlags adds a second dash to the daemon's long flags that have only one dash. Releases before the introduction of
// subcommands accepted flags with one dash.
func longFlags(root *cobra.Command, args []string) []string {
	all := slices.Clone(args)
	for i, arg := range all {
		name, _, _ := strings.Cut(strings.TrimPrefix(arg, "-"), "=")
		if strings.HasPrefix(arg, "-") && !strings.HasPrefix(arg, "--") && len(name) > 1 && root.Flags().Lookup(name) != nil {
			all[i] = "-" + arg
		}
	}
	return all
}

// exitError returns errFailed for an exit code other than 0, and nil for 0.
func exitError(code int) error {
	if code != 0 {
		return errFailed
	}
	return nil
}

// rootCommand returns the root command, which runs the daemon, with a subcommand for each operator task.
func rootCommand(out, log io.Writer) *cobra.Command {
	var d daemonArgs
	root := &cobra.Command{
		Use:   "caperarch",
		Short: "Balances and resends requests on the client's side",
		Long: "Balances and resends requests on the client's side.\n\n" +
			"With no command it is the daemon: EDGE_CONFIG names its configuration file.",
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) > 0 {
				return fmt.Errorf("%q is no command", args[0])
			}
			return nil
		},
		SilenceErrors: true, SilenceUsage: true,
		RunE: func(*cobra.Command, []string) error {
			if err := d.validate(); err != nil {
				return err
			}
			if serve(&d) != nil {
				return errFailed
			}
			return nil
		},
	}
	d.addFlags(root)
	root.AddCommand(
		routeCommand(out, log),
		checkCommand(out, log),
		peersCommand(out, log),
		policyCommand(out, log),
		workCommand(out, log),
		demoCommand(out, log),
	)
	return root
}

// addFlags adds the daemon's flags to the root command.
func (d *daemonArgs) addFlags(root *cobra.Command) {
	flags := root.Flags()
	flags.StringVar(&d.pools, "pools", "", "run several pools, by the operator's `FILE` (TOML)")
	flags.StringVar(&d.fleet, "fleet", "", "take part in a fleet of sidecars, by the operator's `FILE` (TOML)")
	flags.StringVar(&d.logFormat, "log-format", "plain", "log lines as they always were (plain), "+
		"as key=value with times to the millisecond (text) or as JSON, `FORMAT`")
	flags.StringVar(&d.record, "record", "", "write down what the decision module is handed and does to `FILE`, "+
		"for cmd/replay; \"-\" is standard output")
	flags.Int64Var(&d.maxRecordMiB, "record-most", defaultMaxRecordMiB,
		"`MiB` of a recording at most; it then ends, the daemon goes on")
}

// validate returns an error if a flag has an invalid value.
func (d *daemonArgs) validate() error {
	if d.maxRecordMiB < 1 {
		return fmt.Errorf("-record-most is %d MiB, at least 1 is needed", d.maxRecordMiB)
	}
	if !slices.Contains([]string{"plain", "text", "json"}, d.logFormat) {
		return fmt.Errorf("-log-format is %q, one of plain, text, json is needed", d.logFormat)
	}
	return nil
}

// routeCommand returns the command that prints the route of a request.
func routeCommand(out, log io.Writer) *cobra.Command {
	var header string
	c := &cobra.Command{
		Use:   "route FILE METHOD URL",
		Short: "Print the rule and pool of a file of pools that a request would take, and why",
		Args:  cobra.ExactArgs(3),
		RunE: func(_ *cobra.Command, args []string) error {
			return explainRoute(args[0], args[1], args[2], header, out, log)
		},
	}
	c.Flags().StringVarP(&header, "header", "H", "", "a `HEADER` of the request: \"X-Priority-Class: CLASS\"")
	return c
}

// checkCommand returns the command that validates a configuration, pools or fleet file.
func checkCommand(out, log io.Writer) *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Say whether a configuration (JSON), a file of pools or one on a fleet (.toml) can be used, and what can't",
		Args:  cobra.ExactArgs(1),
		RunE:  func(_ *cobra.Command, args []string) error { return exitError(checkFile(args[0], out, log)) },
	}
}

// peersCommand returns the command that prints a sidecar's state of the other sidecars.
func peersCommand(out, log io.Writer) *cobra.Command {
	return &cobra.Command{
		Use:   "peers ADDRESS",
		Short: "Print what the sidecar with this control address knows of the others",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return exitError(runControlCall(args[0], string(control.Peers), out, log))
		},
	}
}

// demoCommand returns the command that runs the demo.
func demoCommand(out, log io.Writer) *cobra.Command {
	return &cobra.Command{
		Use: "demo",
		Short: "Start stand-in nodes, discovery and a daemon on loopback, send a load and break things; " +
			"needs a checkout and the Go tool chain",
		RunE: func(_ *cobra.Command, args []string) error { return exitError(runDemo(args, out, log)) },
	}
}

// runDemo runs the demo and returns its exit code. The demo is a separate program, so that the release contains no
// simulated nodes.
func runDemo(args []string, out, log io.Writer) int {
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
