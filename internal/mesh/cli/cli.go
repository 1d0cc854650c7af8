// Package cli implements the verbs of meshd, which are its subcommands for operators. A verb calls the mesh through
// package meshclient or reads a file, and writes the result as text or JSON.
//
// Operators' scripts depend on the verbs, the flags, the exit codes and the standard output, so these must not
// change. The package has no mutable state. Run is safe for concurrent use.
package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"

	"caperarch/meshclient"
)

// The exit codes of the verbs.
const (
	// ExitOK means that the verb succeeded.
	ExitOK = 0
	// ExitRejected means that the mesh rejected the request and changed nothing.
	ExitRejected = 1
	// ExitUsage means that the command line is invalid, or that the input file is unreadable or has faults.
	ExitUsage = 2
	// ExitUndetermined means that no conclusive response was received before the timeout. It is unknown whether a
	// change is in force. The same change can be sent again.
	ExitUndetermined = 3
)

// Usage is the help text of the verbs.
const Usage = `verbs:
  apply FILE [--base VERSION]    put the configuration of the file in force, on the version in place or ` +
	`on the one that --base names
  diff FILE                      what the file would add, remove and change in the configuration in force
  describe                       the configuration in force; --output json gives it whole, keys of tenants included
  members                        the core machines and the sidecars
  upstreams                      the upstreams
  view                           one core machine's word on itself
  why HOST PATH [--key KEY]      what becomes of a request: its route, its tenant, the upstreams that may run it
  check FILE                     the faults of a settings file or a configuration; asks nobody

flags of verbs:
  --at ADDRESS[,ADDRESS]   control plane addresses; else those of ` + AddressesVariable + `
  --output text|json       how the answer is written, text unless said
  --timeout DURATION       how long to try, 10s unless said

A file is JSON or YAML; - is the standard input.
Exit codes: 0 done, 1 refused, 2 used wrongly or a file with faults, 3 no clear answer in time.
`

// verb is one of the operators' commands.
type verb struct {
	// argumentCount is the number of positional arguments.
	argumentCount int
	// defineFlag adds the flag that only this verb has. It is nil if the verb has only the common flags.
	defineFlag func(flags *flag.FlagSet, inv *invocation)
	// offline is true if the verb does not call the mesh and therefore needs no address.
	offline bool
	// run executes the verb. ctx expires after the time given with --timeout.
	run func(ctx context.Context, inv *invocation) error
}

var verbs = map[string]verb{
	"apply":     {argumentCount: 1, defineFlag: defineBaseFlag, run: apply},
	"diff":      {argumentCount: 1, run: diff},
	"describe":  {run: describe},
	"members":   {run: members},
	"upstreams": {run: upstreams},
	"view":      {run: view},
	"why":       {argumentCount: 2, defineFlag: defineKeyFlag, run: why},
	"check":     {argumentCount: 1, offline: true, run: check},
}

// IsVerb reports whether name is the name of a verb.
func IsVerb(name string) bool { return verbs[name].run != nil }

// Run executes the verb that the first of args names and returns the exit code. The other args are the flags and the
// positional arguments of the verb. Run reads AddressesVariable through getenv.
func Run(
	ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer, getenv func(string) string,
) int {
	if len(args) == 0 || !IsVerb(args[0]) {
		fmt.Fprint(stderr, Usage)
		return ExitUsage
	}
	name := args[0]
	inv, err := parseArguments(verbs[name], args, getenv)
	if errors.Is(err, flag.ErrHelp) {
		fmt.Fprint(stdout, Usage)
		return ExitOK
	}
	if err == nil {
		inv.stdin, inv.stdout = stdin, stdout
		err = inv.run(ctx, verbs[name])
	}
	if err != nil {
		fmt.Fprintf(stderr, "meshd %s: %v\n", name, err)
	}
	return exitCode(err)
}

// run executes the verb with the timeout of the invocation.
func (inv *invocation) run(ctx context.Context, v verb) error {
	ctx, cancel := context.WithTimeout(ctx, inv.timeout)
	defer cancel()
	return v.run(ctx, inv)
}

// exitCode returns the exit code of a verb that returned err.
func exitCode(err error) int {
	var usage *usageError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage), errors.Is(err, meshclient.InvalidUsage):
		return ExitUsage
	case errors.Is(err, meshclient.Undetermined), errors.Is(err, meshclient.Unreachable):
		return ExitUndetermined
	}
	return ExitRejected
}
