package main

import (
	"fmt"
	"io"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"caperarch/internal/fleet"
	"caperarch/internal/fleet/policyrollout"
)

// policyCommand is what an operator does with a fleet's policy.
func policyCommand(out, log io.Writer) *cobra.Command {
	c := &cobra.Command{Use: "policy", Short: "Look at a fleet's policy, and change it everywhere or nowhere", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error { return c.Help() }}
	c.AddCommand(
		&cobra.Command{
			Use: "check FILE", Short: "Say whether a policy (TOML) can be used, and what can't", Args: cobra.ExactArgs(1),
			RunE: func(_ *cobra.Command, args []string) error {
				_, hash, err := readPolicy(args[0], log)
				if err != nil {
					return err
				}
				fmt.Fprintf(out, "%s: usable: %s\n", args[0], hash)
				return nil
			},
		},
		&cobra.Command{
			Use: "diff OLD NEW", Short: "Print what changes from one policy to another", Args: cobra.ExactArgs(2),
			RunE: func(_ *cobra.Command, args []string) error {
				old, _, err := readPolicy(args[0], log)
				if err != nil {
					return err
				}
				new, _, err := readPolicy(args[1], log)
				if err != nil {
					return err
				}
				for _, line := range policyrollout.Diff(old, new) {
					fmt.Fprintln(out, line)
				}
				return nil
			},
		},
		proposeCommand(out, log),
	)
	for _, call := range []struct{ use, what, short string }{
		{"show ADDRESS", "policy-show", "Print what holds, what is under way and whom that waits for, as the sidecar with this control address knows"},
		{"history ADDRESS", "policy-history", "Print the changes that have their outcome"},
		{"abort ADDRESS", "policy-abort", "Call off what is under way"},
		{"found ADDRESS", "policy-found", "Begin the log on which sidecars agree, or begin it anew where it was lost; the policy is the settings again"},
	} {
		c.AddCommand(&cobra.Command{
			Use: call.use, Short: call.short, Args: cobra.ExactArgs(1),
			RunE: func(_ *cobra.Command, args []string) error { return done(operate(args[0], call.what, out, log)) },
		})
	}
	return c
}

// pollEvery is how often a proposal's outcome is asked for.
const pollEvery = 250 * time.Millisecond

func proposeCommand(out, log io.Writer) *cobra.Command {
	var base int64
	var wait time.Duration
	c := &cobra.Command{
		Use: "propose ADDRESS FILE", Short: "Have the fleet change to a policy, by way of the sidecar with this control address", Args: cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			if _, _, err := readPolicy(args[1], log); err != nil {
				return err
			}
			text, err := os.ReadFile(args[1])
			if err == nil {
				err = propose(args[0], text, base, wait, out)
			}
			if err != nil {
				fmt.Fprintf(log, "caperarch: %v\n", err)
				return errFailed
			}
			return nil
		},
	}
	c.Flags().Int64Var(&base, "base", -1, "the `VERSION` that the policy was made from; left out, the one that holds at that sidecar")
	c.Flags().DurationVar(&wait, "wait", 0, "wait for the outcome for so `LONG`; it fails where that is not \"taken\"")
	return c
}

var (
	holdsLine = regexp.MustCompile(`(?m)^version (\d+) holds`)
	proposed  = regexp.MustCompile(`(?m)^version (\d+) proposed, hash (\w+)$`)
)

// propose hands a policy's text over, proposes it, and waits for its outcome.
func propose(address string, text []byte, base int64, wait time.Duration, out io.Writer) error {
	if base < 0 {
		shown, err := ask(address, "policy-show")
		if err != nil {
			return err
		}
		holds := holdsLine.FindStringSubmatch(shown)
		if holds == nil {
			return fmt.Errorf("%s knows of no version that holds: %s", address, strings.TrimSpace(shown))
		}
		if base, err = strconv.ParseInt(holds[1], 10, 64); err != nil {
			return err
		}
	}
	if err := upload(address, text); err != nil {
		return err
	}
	answer, err := ask(address, fmt.Sprintf("policy-propose %s %d", policyrollout.Hash(text), base))
	if err != nil {
		return err
	}
	fmt.Fprint(out, answer)
	number := proposed.FindStringSubmatch(answer)
	if wait == 0 || number == nil {
		return nil
	}
	fate := regexp.MustCompile(`(?m)^proposed here: version ` + number[1] + `, hash ` + number[2] + `: (.*)$`)
	for end := time.Now().Add(wait); time.Now().Before(end); time.Sleep(pollEvery) {
		shown, err := ask(address, "policy-show")
		if err != nil {
			return err
		}
		of := fate.FindStringSubmatch(shown)
		if of == nil || of[1] == "under way" || of[1] == "not in the log yet" {
			continue
		}
		if of[1] != "taken" {
			return fmt.Errorf("version %s: %s", number[1], of[1])
		}
		fmt.Fprintf(out, "version %s: taken\n", number[1])
		return nil
	}
	return fmt.Errorf("version %s has no outcome after %v", number[1], wait)
}

// upload hands a text over in pieces.
func upload(address string, text []byte) error {
	for i := range fleet.UploadCount(text) {
		if _, err := ask(address, "policy-text "+strings.Join(fleet.UploadPiece(text, i), " ")); err != nil {
			return err
		}
	}
	return nil
}

// readPolicy reads a policy's file; what is wrong with it has been told where it returns an error.
func readPolicy(path string, log io.Writer) (p *policyrollout.Policy, hash string, err error) {
	text, err := os.ReadFile(path)
	if err == nil {
		if p, err = policyrollout.Parse(text); err != nil {
			err = fmt.Errorf("%s: %w", path, err)
		}
	}
	if err != nil {
		fmt.Fprintln(log, err)
		return nil, "", errFailed
	}
	return p, policyrollout.Hash(text), nil
}
