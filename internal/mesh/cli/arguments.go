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

// AddressesVariable is the environment variable that holds the control plane addresses where --at
// is not given.
const AddressesVariable = "MESHD_AT"

const (
	// defaultTimeout is how long a verb tries where --timeout is not given.
	defaultTimeout = 10 * time.Second
	// noBase is the base version where --base is not given.
	noBase = -1
	// endOfFlags ends the flags: all that follows it is arguments.
	endOfFlags = "--"
)

// The values of --output.
const (
	outputText = "text"
	outputJSON = "json"
)

// usageError is an error of the operator or of a file: it ends with ExitUsage.
type usageError struct{ err error }

// Error implements error.
func (e *usageError) Error() string { return e.err.Error() }

// Unwrap returns the error itself.
func (e *usageError) Unwrap() error { return e.err }

// usageErrorf makes a usageError.
func usageErrorf(format string, args ...any) error { return &usageError{eris.Errorf(format, args...)} }

// invocation is a verb's arguments and flags, and what it reads from and writes to.
type invocation struct {
	args    []string
	client  *meshclient.Client // nil for an offline verb
	output  string             // outputText or outputJSON
	timeout time.Duration

	baseVersion int64 // of apply; noBase: not given
	key         string
	keyGiven    bool // --key of why, which may be empty

	stdin  io.Reader
	stdout io.Writer
}

// defineBase adds apply's flag --base.
func defineBase(flags *flag.FlagSet, inv *invocation) {
	flags.Func("base", "", func(s string) error {
		version, err := strconv.ParseInt(s, 10, 64)
		if err != nil || version < 0 {
			return eris.New("not a version")
		}
		inv.baseVersion = version
		return nil
	})
}

// defineKey adds why's flag --key.
func defineKey(flags *flag.FlagSet, inv *invocation) {
	flags.Func("key", "", func(s string) error {
		inv.key, inv.keyGiven = s, true
		return nil
	})
}

// parseArguments reads what follows the verb's name in args. Its error is a usageError, or flag.ErrHelp.
func parseArguments(v verb, args []string, getenv func(string) string) (*invocation, error) {
	inv := &invocation{baseVersion: noBase}
	flags := flag.NewFlagSet(args[0], flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	at := flags.String("at", getenv(AddressesVariable), "")
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
	addresses, err := parseAddresses(*at)
	if err != nil {
		return nil, err
	}
	inv.client = &meshclient.Client{Addresses: addresses}
	return inv, nil
}

// parseInterspersed parses flags and arguments in any order and returns the arguments; after
// endOfFlags all are arguments. Its error is a usageError, or flag.ErrHelp.
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

// parseAddresses parses a list of addresses, each host:port, with commas between them.
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
