// Package cli is the operators' words of the program: each verb asks the mesh through the client library, or reads a file, and says in words or in JSON what came of it.
package cli

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"caperarch/meshclient"
)

// The exit codes.
const (
	// ExitOK means that the verb did what it says.
	ExitOK = 0
	// ExitRejected means that the mesh refused: nothing was changed.
	ExitRejected = 1
	// ExitUsage means that the verb was used wrongly, or that its file can't be read or has faults.
	ExitUsage = 2
	// ExitUndetermined means that no clear answer came in time: a change may be in force or not, and may be sent again unchanged.
	ExitUndetermined = 3
)

// AddressesVariable is the environment variable that holds the control plane addresses where --at is not given.
const AddressesVariable = "MESHD_AT"

// standardTimeout is how long a verb tries where --timeout is not given.
const standardTimeout = 10 * time.Second

// Usage lists the verbs.
const Usage = `verbs:
  apply FILE [--base VERSION]    put the configuration of the file in force, on the version in place or on the one that --base names
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

// errand is what a verb is given.
type errand struct {
	client *meshclient.Client
	in     io.Reader
	out    io.Writer
	json   bool
	base   int64 // below 0: not given
	key    string
	keyed  bool
	args   []string
}

// verb is one of the operators' words.
type verb struct {
	names int // arguments that it takes
	flags string
	alone bool // it asks nobody
	run   func(ctx context.Context, d *errand) error
}

var verbs = map[string]verb{
	"apply":     {names: 1, flags: "base", run: apply},
	"diff":      {names: 1, run: diff},
	"describe":  {run: describe},
	"members":   {run: members},
	"upstreams": {run: upstreams},
	"view":      {run: view},
	"why":       {names: 2, flags: "key", run: why},
	"check":     {names: 1, alone: true, run: check},
}

// IsVerb says whether the word is one of the verbs.
func IsVerb(word string) bool { return verbs[word].run != nil }

// misuse is an error that is the user's or the file's: it ends with Misused.
type misuse struct{ error }

// Run runs the verb that stands first among the words and gives the exit code. The variable is looked up by getenv.
func Run(ctx context.Context, words []string, in io.Reader, out, errs io.Writer, getenv func(string) string) int {
	if len(words) == 0 || !IsVerb(words[0]) {
		fmt.Fprint(errs, Usage)
		return ExitUsage
	}
	d := &errand{in: in, out: out}
	ctx, cancel, err := d.read(ctx, words, getenv)
	switch {
	case errors.Is(err, flag.ErrHelp):
		fmt.Fprint(out, Usage)
		return ExitOK
	case err == nil:
		defer cancel()
		err = verbs[words[0]].run(ctx, d)
	}
	if err != nil {
		fmt.Fprintf(errs, "meshd %s: %v\n", words[0], err)
	}
	return code(err)
}

func code(err error) int {
	var wrong misuse
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &wrong), errors.Is(err, meshclient.InvalidUsage):
		return ExitUsage
	case errors.Is(err, meshclient.Undetermined), errors.Is(err, meshclient.Unreachable):
		return ExitUndetermined
	}
	return ExitRejected
}

// read reads the verb's flags and arguments, which may stand in any order; after "--" all are arguments.
func (d *errand) read(ctx context.Context, words []string, getenv func(string) string) (context.Context, context.CancelFunc, error) {
	v := verbs[words[0]]
	flags := flag.NewFlagSet(words[0], flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	at := flags.String("at", getenv(AddressesVariable), "")
	output := flags.String("output", "text", "")
	timeout := flags.Duration("timeout", standardTimeout, "")
	d.base = -1
	switch v.flags {
	case "base":
		flags.Func("base", "", func(s string) error {
			base, err := strconv.ParseInt(s, 10, 64)
			if err != nil || base < 0 {
				return eris.New("not a version")
			}
			d.base = base
			return nil
		})
	case "key":
		flags.Func("key", "", func(s string) error { d.key, d.keyed = s, true; return nil })
	}
	for rest := words[1:]; ; {
		if err := flags.Parse(rest); err != nil {
			if errors.Is(err, flag.ErrHelp) {
				return nil, nil, err
			}
			return nil, nil, wrongly("%v", err)
		}
		parsed := rest[:len(rest)-flags.NArg()]
		if rest = flags.Args(); len(rest) == 0 {
			break
		}
		if len(parsed) > 0 && parsed[len(parsed)-1] == "--" {
			d.args = append(d.args, rest...)
			break
		}
		d.args, rest = append(d.args, rest[0]), rest[1:]
	}
	switch {
	case len(d.args) != v.names:
		return nil, nil, wrongly("%d arguments are given, %d are needed", len(d.args), v.names)
	case *output != "text" && *output != "json":
		return nil, nil, wrongly("--output is text or json, not %.40q", *output)
	case *timeout <= 0:
		return nil, nil, wrongly("--timeout must be above 0")
	}
	d.json = *output == "json"
	if !v.alone {
		addresses, err := addresses(*at)
		if err != nil {
			return nil, nil, err
		}
		d.client = &meshclient.Client{Addresses: addresses}
	}
	ctx, cancel := context.WithTimeout(ctx, *timeout)
	return ctx, cancel, nil
}

func addresses(list string) ([]string, error) {
	if list == "" {
		return nil, wrongly("no address: give --at or set %s", AddressesVariable)
	}
	all := strings.Split(list, ",")
	for i, address := range all {
		all[i] = strings.TrimSpace(address)
		if host, port, err := net.SplitHostPort(all[i]); err != nil || host == "" || port == "" {
			return nil, wrongly("%.80q is not a host with a port", all[i])
		}
	}
	return all, nil
}

// wrongly makes an error that is the user's or the file's.
func wrongly(format string, args ...any) error { return misuse{eris.Errorf(format, args...)} }

// write writes a value as JSON where that was asked for, and else has it told in words.
func (d *errand) write(value any, tell func(w io.Writer) error) error {
	if !d.json {
		return tell(d.out)
	}
	e := json.NewEncoder(d.out)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	return e.Encode(value)
}
