package cli

import (
	"errors"
	"flag"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"caperarch/meshclient"
)

// AddressesVariable is the environment variable that holds the control plane addresses. It is read if the flag --at
// is not given.
const AddressesVariable = "MESHD_AT"

const (
	// defaultTimeout limits the run time of a verb if the flag --timeout is not given.
	defaultTimeout = 10 * time.Second
	// baseVersionNotGiven is the value of invocation.baseVersion if the flag --base is not given.
	baseVersionNotGiven = -1
	// endOfFlags is the argument after which all arguments are positional.
	endOfFlags = "--"
)

// The values of the flag --output.
const (
	outputText = "text"
	outputJSON = "json"
)

// usageError is an error in the command line or in the input file. A verb that returns it exits with ExitUsage.
type usageError struct{ err error }

// Error implements error.
func (e *usageError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *usageError) Unwrap() error { return e.err }

// usageErrorf returns a usageError with a formatted message.
func usageErrorf(format string, args ...any) error { return &usageError{eris.Errorf(format, args...)} }

// invocation is one call of a verb: its positional arguments, its flags, its client and its input and output streams.
type invocation struct {
	args    []string
	client  *meshclient.Client // nil if the verb is offline
	output  string             // outputText or outputJSON
	timeout time.Duration

	baseVersion int64  // flag --base of apply, or baseVersionNotGiven
	key         string // flag --key of why
	keyGiven    bool   // whether --key was given; the given key may be empty

	stdin  io.Reader
	stdout io.Writer
}

// defineBaseFlag adds the flag --base of the verb apply.
func defineBaseFlag(flags *flag.FlagSet, inv *invocation) {
	flags.Func("base", "", func(s string) error {
		version, err := strconv.ParseInt(s, 10, 64)
		if err != nil || version < 0 {
			return eris.New("not a version")
		}
		inv.baseVersion = version
		return nil
	})
}

// defineKeyFlag adds the flag --key of the verb why.
func defineKeyFlag(flags *flag.FlagSet, inv *invocation) {
	flags.Func("key", "", func(s string) error {
		inv.key, inv.keyGiven = s, true
		return nil
	})
}

// parseArguments parses the command line of a verb. The first of args is the verb's name. The error is a usageError,
// or flag.ErrHelp if help was requested.
func parseArguments(v verb, args []string, getenv func(string) string) (*invocation, error) {
	inv := &invocation{baseVersion: baseVersionNotGiven}
	flags := flag.NewFlagSet(args[0], flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	addressList := flags.String("at", getenv(AddressesVariable), "")
	flags.StringVar(&inv.output, "output", outputText, "")
	flags.DurationVar(&inv.timeout, "timeout", defaultTimeout, "")
	if v.defineFlag != nil {
		v.defineFlag(flags, inv)
	}
	var err error
	if inv.args, err = parseInterspersed(flags, args[1:]); err != nil {
		return nil, err
	}
	switch {
	case len(inv.args) != v.argumentCount:
		return nil, usageErrorf("%d arguments are given, %d are needed", len(inv.args), v.argumentCount)
	case inv.output != outputText && inv.output != outputJSON:
		return nil, usageErrorf("--output is text or json, not %.40q", inv.output)
	case inv.timeout <= 0:
		return nil, usageErrorf("--timeout must be above 0")
	}
	if v.offline {
		return inv, nil
	}
	addresses, err := parseAddresses(*addressList)
	if err != nil {
		return nil, err
	}
	inv.client = &meshclient.Client{Addresses: addresses}
	return inv, nil
}

// parseInterspersed parses flags and positional arguments in any order and returns the positional arguments. All
// arguments after endOfFlags are positional. The error is a usageError, or flag.ErrHelp if help was requested.
func parseInterspersed(flags *flag.FlagSet, args []string) ([]string, error) {
	var arguments []string
	for {
		if err := flags.Parse(args); err != nil {
			if errors.Is(err, flag.ErrHelp) {
				return nil, err
			}
			return nil, usageErrorf("%v", err)
		}
		parsed := args[:len(args)-flags.NArg()]
		args = flags.Args()
		if len(args) == 0 {
			return arguments, nil
		}
		if len(parsed) > 0 && parsed[len(parsed)-1] == endOfFlags {
			return append(arguments, args...), nil
		}
		arguments, args = append(arguments, args[0]), args[1:]
	}
}

// parseAddresses parses a comma-separated list of addresses of the form host:port.
func parseAddresses(list string) ([]string, error) {
	if list == "" {
		return nil, usageErrorf("no address: give --at or set %s", AddressesVariable)
	}
	addresses := strings.Split(list, ",")
	for i, address := range addresses {
		address = strings.TrimSpace(address)
		if host, port, err := net.SplitHostPort(address); err != nil || host == "" || port == "" {
			return nil, usageErrorf("%.80q is not a host with a port", address)
		}
		addresses[i] = address
	}
	return addresses, nil
}
