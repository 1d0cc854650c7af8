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

	"caperarch/internal/daemon/control"
	"caperarch/internal/fleet"
	"caperarch/internal/fleet/policyrollout"
)

// policyCommand returns the group of commands that show and change a fleet's policy.
func policyCommand(out, log io.Writer) *cobra.Command {
	c := &cobra.Command{
		Use: "policy", Short: "Look at a fleet's policy, and change it everywhere or nowhere", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(policyCheckCommand(out, log), policyDiffCommand(out, log), proposeCommand(out, log))
	for _, call := range []struct {
		use, short string
		verb       control.Verb
	}{
		{
			"show ADDRESS",
			"Print what holds, what is under way and whom that waits for, as the sidecar with this control address knows",
			control.PolicyShow,
		},
		{"history ADDRESS", "Print the changes that have their outcome", control.PolicyHistory},
		{"abort ADDRESS", "Call off what is under way", control.PolicyAbort},
		{
			"found ADDRESS",
			"Begin the log on which sidecars agree, or begin it anew where it was lost; the policy is the settings again",
			control.PolicyFound,
		},
	} {
		c.AddCommand(&cobra.Command{
			Use: call.use, Short: call.short, Args: cobra.ExactArgs(1),
			RunE: func(_ *cobra.Command, args []string) error {
				return exitError(runControlCall(args[0], string(call.verb), out, log))
			},
		})
	}
	return c
}

// policyCheckCommand returns the command that validates a policy file.
func policyCheckCommand(out, log io.Writer) *cobra.Command {
	return &cobra.Command{
		Use: "check FILE", Short: "Say whether a policy (TOML) can be used, and what can't", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			_, hash, err := readPolicy(args[0], log)
			if err != nil {
				return err
			}
			fmt.Fprintf(out, "%s: usable: %s\n", args[0], hash)
			return nil
		},
	}
}

// policyDiffCommand returns the command that prints the differences between two policy files.
func policyDiffCommand(out, log io.Writer) *cobra.Command {
	return &cobra.Command{
		Use: "diff OLD NEW", Short: "Print what changes from one policy to another", Args: cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			before, _, err := readPolicy(args[0], log)
			if err != nil {
				return err
			}
			after, _, err := readPolicy(args[1], log)
			if err != nil {
				return err
			}
			for _, line := range policyrollout.Diff(before, after) {
				fmt.Fprintln(out, line)
			}
			return nil
		},
	}
}

// pollInterval is the time between two control calls while a command waits for an outcome.
const pollInterval = 250 * time.Millisecond

// proposeCommand returns the command that proposes a policy to the fleet.
func proposeCommand(out, log io.Writer) *cobra.Command {
	var base int64
	var wait time.Duration
	c := &cobra.Command{
		Use: "propose ADDRESS FILE", Args: cobra.ExactArgs(2),
		Short: "Have the fleet change to a policy, by way of the sidecar with this control address",
		RunE: func(_ *cobra.Command, args []string) error {
			if _, _, err := readPolicy(args[1], log); err != nil {
				return err
			}
			text, err := os.ReadFile(args[1])
			if err == nil {
				err = propose(args[0], text, base, wait, out)
			}
			return reportError(err, log)
		},
	}
	c.Flags().Int64Var(&base, "base", -1,
		"the `VERSION` that the policy was made from; left out, the one that holds at that sidecar")
	c.Flags().DurationVar(&wait, "wait", 0,
		"wait for the outcome for so `LONG`; it fails where that is not \"taken\"")
	return c
}

// Lines of the responses to policy calls.
var (
	versionLine  = regexp.MustCompile(`(?m)^version (\d+) holds`)
	proposedLine = regexp.MustCompile(`(?m)^version (\d+) proposed, hash (\w+)$`)
)

// propose uploads a policy, proposes the policy as a change of the base version, and waits up to the duration wait for
// the outcome. If base is below 0, the version in force is the base version.
func propose(address string, text []byte, base int64, wait time.Duration, out io.Writer) error {
	if base < 0 {
		var err error
		if base, err = versionInForce(address); err != nil {
			return err
		}
	}
	if err := upload(address, text); err != nil {
		return err
	}
	answer, err := controlCall(address, fmt.Sprintf("%s %s %d", control.PolicyPropose, policyrollout.Hash(text), base))
	if err != nil {
		return err
	}
	fmt.Fprint(out, answer)
	proposed := proposedLine.FindStringSubmatch(answer)
	if wait == 0 || proposed == nil {
		return nil
	}
	return awaitOutcome(address, proposed[1], proposed[2], wait, out)
}

// versionInForce returns the version of the policy that a sidecar applies.
func versionInForce(address string) (int64, error) {
	shown, err := controlCall(address, string(control.PolicyShow))
	if err != nil {
		return 0, err
	}
	version := versionLine.FindStringSubmatch(shown)
	if version == nil {
		return 0, fmt.Errorf("%s knows of no version that holds: %s", address, strings.TrimSpace(shown))
	}
	return strconv.ParseInt(version[1], 10, 64)
}

// awaitOutcome polls a sidecar until a proposed version has an outcome. It returns an error if the outcome is not
// "taken", or if there is no outcome within the duration wait.
func awaitOutcome(address, version, hash string, wait time.Duration, out io.Writer) error {
	outcomeLine := regexp.MustCompile(`(?m)^proposed here: version ` + version + `, hash ` + hash + `: (.*)$`)
	for end := time.Now().Add(wait); time.Now().Before(end); time.Sleep(pollInterval) {
		shown, err := controlCall(address, string(control.PolicyShow))
		if err != nil {
			return err
		}
		outcome := outcomeLine.FindStringSubmatch(shown)
		if outcome == nil || outcome[1] == "under way" || outcome[1] == "not in the log yet" {
			continue
		}
		if outcome[1] != "taken" {
			return fmt.Errorf("version %s: %s", version, outcome[1])
		}
		fmt.Fprintf(out, "version %s: taken\n", version)
		return nil
	}
	return fmt.Errorf("version %s has no outcome after %v", version, wait)
}

// upload sends a text in chunks, because the length of a control call is limited.
func upload(address string, text []byte) error {
	for i := range fleet.UploadChunks(text) {
		call := string(control.PolicyText) + " " + strings.Join(fleet.UploadChunkArgs(text, i), " ")
		if _, err := controlCall(address, call); err != nil {
			return err
		}
	}
	return nil
}

// readPolicy reads a policy file and returns the policy with the hash of the file. It prints the error that caused a
// failure and returns errFailed.
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
