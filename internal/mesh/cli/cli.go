// Package cli is the operators' verbs of the program meshd: each calls the mesh through package
// meshclient, or reads a file, and writes the result as text or JSON.
//
// Verbs, flags, exit codes and what is written on standard output are known to operators' scripts
// and do not change. The package keeps no state; Run may be called from any goroutine.
package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"

	"caperarch/meshclient"
)

// The exit codes.
const (
	// ExitOK means that the verb did what it says.
	ExitOK = 0
	// ExitRejected means that the mesh rejected the call: nothing was changed.
	ExitRejected = 1
	// ExitUsage means that the verb was used wrongly, or that its file can't be read or has faults.
	ExitUsage = 2
	// ExitUndetermined means that no conclusive answer came in time: a change may be in force or
	// not, and may be sent again unchanged.
	ExitUndetermined = 3
)

// Usage lists the verbs.
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
	// argumentCount is how many arguments it takes besides flags.
	argumentCount int
	// defineFlag adds the flag that this verb alone has; nil: it has none.
	defineFlag func(flags *flag.FlagSet, inv *invocation)
	// offline says that it makes no call, and needs no address.
	offline bool
	// run runs the verb; ctx ends with the time of --timeout.
	run func(ctx context.Context, inv *invocation) error
}

var verbs = map[string]verb{
	"apply":     {argumentCount: 1, defineFlag: defineBase, run: apply},
	"diff":      {argumentCount: 1, run: diff},
	"describe":  {run: describe},
	"members":   {run: members},
	"upstreams": {run: upstreams},
	"view":      {run: view},
	"why":       {argumentCount: 2, defineFlag: defineKey, run: why},
	"check":     {argumentCount: 1, offline: true, run: check},
}

// IsVerb reports whether name is one of the verbs.
func IsVerb(name string) bool { return verbs[name].run != nil }

// Run runs the verb that is the first of args and returns the exit code. It looks AddressesVariable
// up with getenv.
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

// run runs the verb within the time of --timeout.
func (inv *invocation) run(ctx context.Context, v verb) error {
	ctx, cancel := context.WithTimeout(ctx, inv.timeout)
	defer cancel()
	return v.run(ctx, inv)
}

// exitCode is the exit code of a verb that ended with err.
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
