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

	"caperarch/internal/fleet/maintenance"
	"caperarch/internal/fleet/policyrollout"
)

// workCommand is what an operator does with machines that are taken out for work.
func workCommand(out, log io.Writer) *cobra.Command {
	c := &cobra.Command{Use: "work", Short: "Take upstreams out for work, in an order that the sidecars settle", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error { return c.Help() }}
	told := func(err error) error {
		if err != nil {
			fmt.Fprintf(log, "caperarch: %v\n", err)
			return errFailed
		}
		return nil
	}
	c.AddCommand(
		&cobra.Command{
			Use: "check FILE", Short: "Say whether a plan (TOML) can be read, and what can't", Args: cobra.ExactArgs(1),
			RunE: func(_ *cobra.Command, args []string) error {
				text, err := readPlan(args[0])
				if err == nil {
					fmt.Fprintf(out, "%s: usable: %s\n", args[0], policyrollout.Hash(text))
				}
				return told(err)
			},
		},
		&cobra.Command{
			Use: "plan ADDRESS FILE", Short: "Have the fleet go by a plan, by way of the sidecar with this control address", Args: cobra.ExactArgs(2),
			RunE: func(_ *cobra.Command, args []string) error {
				text, err := readPlan(args[1])
				if err == nil {
					err = plan(args[0], text, out)
				}
				return told(err)
			},
		},
		showCommand(out, told), nextCommand(out, told),
	)
	for _, call := range []struct{ use, what, short string }{
		{"done ADDRESS TURN", "work-done", "Say that the work of a turn is done: its machine comes back, cold"},
		{"pause ADDRESS PLAN", "work-pause", "Have no further machine of a plan go; turns that were given go on"},
		{"resume ADDRESS PLAN", "work-resume", "Have a plan go on that is paused"},
		{"cancel ADDRESS PLAN", "work-cancel", "End a plan; machines that are free to work on stay out until they are done"},
	} {
		c.AddCommand(&cobra.Command{
			Use: call.use, Short: call.short, Args: cobra.ExactArgs(2),
			RunE: func(_ *cobra.Command, args []string) error {
				if n, err := strconv.ParseUint(args[1], 10, 32); err != nil || n == 0 {
					return told(fmt.Errorf("%q is no number of a turn or a plan", args[1]))
				}
				return done(operate(args[0], call.what+" "+args[1], out, log))
			},
		})
	}
	return c
}

func readPlan(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err == nil {
		if _, err = maintenance.Parse(text); err != nil {
			err = fmt.Errorf("%s: %w", path, err)
		}
	}
	return text, err
}

// plan hands a plan's text over and has the fleet go by it.
func plan(address string, text []byte, out io.Writer) error {
	if err := upload(address, text); err != nil {
		return err
	}
	answer, err := ask(address, "work-plan "+policyrollout.Hash(text))
	fmt.Fprint(out, answer)
	return err
}

// showEvery is how often a live table is drawn anew.
const showEvery = time.Second

func showCommand(out io.Writer, told func(error) error) *cobra.Command {
	var watch bool
	c := &cobra.Command{
		Use: "show ADDRESS", Short: "Print plans, turns, what is waited for and who is out of contact", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			stop := make(chan os.Signal, 1)
			signal.Notify(stop, os.Interrupt)
			defer signal.Stop(stop)
			for {
				text, err := ask(args[0], "work-show")
				if err != nil && !watch {
					return told(err)
				}
				if err != nil {
					text = err.Error() + "\n"
				}
				if watch && terminal(out) { // from the top of a blank screen; elsewhere a block of lines each time
					fmt.Fprint(out, "\x1b[H\x1b[2J")
				}
				fmt.Fprint(out, text)
				if !watch {
					return nil
				}
				select {
				case <-time.After(showEvery):
				case <-stop:
					return nil
				}
			}
		},
	}
	c.Flags().BoolVarP(&watch, "watch", "w", false, "draw it anew every second, until interrupted")
	return c
}

// terminal says whether something is written to a person's screen.
func terminal(out io.Writer) bool {
	f, is := out.(*os.File)
	if !is {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

var (
	freeLine  = regexp.MustCompile(`(?m)^turn (\d+) of plan \d+: (\S+): out, free to work on$`)
	underWay  = regexp.MustCompile(`(?m)^plan \d+ of sidecar \d+,`)
	pausedRow = regexp.MustCompile(`(?m)^plan \d+ of sidecar .*: paused: .*$`)
)

func nextCommand(out io.Writer, told func(error) error) *cobra.Command {
	var wait time.Duration
	c := &cobra.Command{
		Use: "next ADDRESS", Short: "Print the machines that are out and free to work on, with their turns' numbers; it fails where there is none", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error { return told(next(args[0], wait, out)) },
	}
	c.Flags().DurationVar(&wait, "wait", 0, "wait for one for so `LONG`")
	return c
}

// next prints whose turn it is. It ends early where nobody's turn can come by itself.
func next(address string, wait time.Duration, out io.Writer) error {
	for end := time.Now().Add(wait); ; time.Sleep(pollEvery) {
		shown, err := ask(address, "work-show")
		if err != nil {
			return err
		}
		all := freeLine.FindAllStringSubmatch(shown, -1)
		for _, m := range all {
			fmt.Fprintf(out, "turn %s: %s\n", m[1], m[2])
		}
		switch {
		case len(all) > 0:
			return nil
		case !underWay.MatchString(shown):
			return fmt.Errorf("%s: no plan is under way", address)
		case pausedRow.MatchString(shown) && len(pausedRow.FindAllString(shown, -1)) == len(underWay.FindAllString(shown, -1)):
			return fmt.Errorf("%s: %s", address, pausedRow.FindString(shown))
		case time.Now().After(end):
			return fmt.Errorf("%s: no machine is free to work on: %s", address, strings.TrimSpace(shown))
		}
	}
}
