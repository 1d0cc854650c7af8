package main

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"caperarch/internal/daemon/control"
	"caperarch/internal/fleet/maintenance"
	"caperarch/internal/fleet/policyrollout"
)

// workCommand returns the group of commands for maintenance plans, which take machines out of service in turns.
func workCommand(out, log io.Writer) *cobra.Command {
	c := &cobra.Command{
		Use: "work", Short: "Take upstreams out for work, in an order that the sidecars settle", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	report := func(err error) error { return reportError(err, log) }
	c.AddCommand(
		workCheckCommand(out, report), workPlanCommand(out, report),
		workShowCommand(out, report), workNextCommand(out, report),
	)
	for _, call := range []struct {
		use, short string
		verb       control.Verb
	}{
		{"done ADDRESS TURN", "Say that the work of a turn is done: its machine comes back, cold", control.WorkDone},
		{"pause ADDRESS PLAN", "Have no further machine of a plan go; turns that were given go on", control.WorkPause},
		{"resume ADDRESS PLAN", "Have a plan go on that is paused", control.WorkResume},
		{
			"cancel ADDRESS PLAN",
			"End a plan; machines that are free to work on stay out until they are done",
			control.WorkCancel,
		},
	} {
		c.AddCommand(&cobra.Command{
			Use: call.use, Short: call.short, Args: cobra.ExactArgs(2),
			RunE: func(_ *cobra.Command, args []string) error {
				if n, err := strconv.ParseUint(args[1], 10, 32); err != nil || n == 0 {
					return report(fmt.Errorf("%q is no number of a turn or a plan", args[1]))
				}
				return exitError(runControlCall(args[0], string(call.verb)+" "+args[1], out, log))
			},
		})
	}
	return c
}

// reportError prints an error and returns errFailed. It returns nil if err is nil.
func reportError(err error, log io.Writer) error {
	if err != nil {
		fmt.Fprintf(log, "caperarch: %v\n", err)
		return errFailed
	}
	return nil
}

// workCheckCommand returns the command that validates a plan file.
func workCheckCommand(out io.Writer, report func(error) error) *cobra.Command {
	return &cobra.Command{
		Use: "check FILE", Short: "Say whether a plan (TOML) can be read, and what can't", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			text, err := readPlan(args[0])
			if err == nil {
				fmt.Fprintf(out, "%s: usable: %s\n", args[0], policyrollout.Hash(text))
			}
			return report(err)
		},
	}
}

// workPlanCommand returns the command that submits a plan to the fleet.
func workPlanCommand(out io.Writer, report func(error) error) *cobra.Command {
	return &cobra.Command{
		Use: "plan ADDRESS FILE", Args: cobra.ExactArgs(2),
		Short: "Have the fleet go by a plan, by way of the sidecar with this control address",
		RunE: func(_ *cobra.Command, args []string) error {
			text, err := readPlan(args[1])
			if err == nil {
				err = submitPlan(args[0], text, out)
			}
			return report(err)
		},
	}
}

// readPlan reads a plan file and returns its text if it is valid.
func readPlan(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err == nil {
		if _, err = maintenance.Parse(text); err != nil {
			err = fmt.Errorf("%s: %w", path, err)
		}
	}
	return text, err
}

// submitPlan uploads a plan, submits the plan to the fleet and prints the response.
func submitPlan(address string, text []byte, out io.Writer) error {
	if err := upload(address, text); err != nil {
		return err
	}
	answer, err := controlCall(address, string(control.WorkPlan)+" "+policyrollout.Hash(text))
	fmt.Fprint(out, answer)
	return err
}

// redrawInterval is the time between two updates of the table that -watch shows.
const redrawInterval = time.Second

// workShowCommand returns the command that prints the plans and turns, once or with -watch repeatedly.
func workShowCommand(out io.Writer, report func(error) error) *cobra.Command {
	var watch bool
	c := &cobra.Command{
		Use: "show ADDRESS", Args: cobra.ExactArgs(1),
		Short: "Print plans, turns, what is waited for and who is out of contact",
		RunE: func(_ *cobra.Command, args []string) error {
			stop := make(chan os.Signal, 1)
			signal.Notify(stop, os.Interrupt)
			defer signal.Stop(stop)
			for {
				text, err := controlCall(args[0], string(control.WorkShow))
				if err != nil && !watch {
					return report(err)
				}
				if err != nil {
					text = err.Error() + "\n"
				}
				if watch && isTerminal(out) { // clears a terminal; other outputs get one block of lines per update
					fmt.Fprint(out, "\x1b[H\x1b[2J")
				}
				fmt.Fprint(out, text)
				if !watch {
					return nil
				}
				select {
				case <-time.After(redrawInterval):
				case <-stop:
					return nil
				}
			}
		},
	}
	c.Flags().BoolVarP(&watch, "watch", "w", false, "draw it anew every second, until interrupted")
	return c
}

// isTerminal reports whether out is a terminal.
func isTerminal(out io.Writer) bool {
	f, isFile := out.(*os.File)
	if !isFile {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// Lines of the response to a work-show call.
var (
	freeTurnLine   = regexp.MustCompile(`(?m)^turn (\d+) of plan \d+: (\S+): out, free to work on$`)
	planLine       = regexp.MustCompile(`(?m)^plan \d+ of sidecar \d+,`)
	pausedPlanLine = regexp.MustCompile(`(?m)^plan \d+ of sidecar .*: paused: .*$`)
)

// workNextCommand returns the command that prints the machines that are free to work on.
func workNextCommand(out io.Writer, report func(error) error) *cobra.Command {
	var wait time.Duration
	c := &cobra.Command{
		Use: "next ADDRESS", Args: cobra.ExactArgs(1),
		Short: "Print the machines that are out and free to work on, with their turns' numbers; it fails where there is none",
		RunE: func(_ *cobra.Command, args []string) error {
			return report(printFreeTurns(args[0], wait, out))
		},
	}
	c.Flags().DurationVar(&wait, "wait", 0, "wait for one for so `LONG`")
	return c
}

// printFreeTurns prints the machines that are free to work on, and waits up to the duration wait for the first machine.
// It returns an error early if no plan is under way or all plans are paused, because then no machine can become free.
func printFreeTurns(address string, wait time.Duration, out io.Writer) error {
	for end := time.Now().Add(wait); ; time.Sleep(pollInterval) {
		shown, err := controlCall(address, string(control.WorkShow))
		if err != nil {
			return err
		}
		free := freeTurnLine.FindAllStringSubmatch(shown, -1)
		for _, m := range free {
			fmt.Fprintf(out, "turn %s: %s\n", m[1], m[2])
		}
		switch {
		case len(free) > 0:
			return nil
		case !planLine.MatchString(shown):
			return fmt.Errorf("%s: no plan is under way", address)
		case allPaused(shown):
			return fmt.Errorf("%s: %s", address, pausedPlanLine.FindString(shown))
		case time.Now().After(end):
			return fmt.Errorf("%s: no machine is free to work on: %s", address, strings.TrimSpace(shown))
		}
	}
}

// allPaused reports whether the response to a work-show call has at least one plan and all plans are paused.
func allPaused(shown string) bool {
	paused := len(pausedPlanLine.FindAllString(shown, -1))
	return paused > 0 && paused == len(planLine.FindAllString(shown, -1))
}
