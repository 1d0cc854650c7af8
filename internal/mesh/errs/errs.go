// Package errs is the closed list of what can go wrong in the mesh. Every error that crosses a package or a
// machine is of one kind of this list, and one table says which HTTP status a kind is answered with.
package errs

import (
	"errors"
	"net/http"

	"github.com/rotisserie/eris"
)

// Kind says what went wrong. The zero Kind is none of the list and counts as Internal.
type Kind uint8

// The closed list of kinds.
const (
	// Invalid means that the request was read and breaks a rule. Sending it again is of no use.
	Invalid Kind = iota + 1
	// Malformed means that the request was cut short or is not of its format.
	Malformed
	// TooLarge means that the request is over its limit of bytes.
	TooLarge
	// Stale means that another version is in place than the request is based on.
	Stale
	// NotFound means that there is nothing of that name.
	NotFound
	// Busy means that the request was shed before anything was done.
	Busy
	// NoQuorum means that no majority was in contact. Whether a change was made is unclear.
	NoQuorum
	// NotLeader means that this member does not lead. Nothing was done.
	NotLeader
	// DeadlineExceeded means that the time ran out. Whether a change was made is unclear.
	DeadlineExceeded
	// Undetermined means that it can no longer be told whether the change was made: the record of applied
	// orders does not reach back that far.
	Undetermined
	// DiskFailed means that the disk refused or lost a write.
	DiskFailed
	// Unreachable means that a peer gave no answer. Whether it did what was asked is unclear.
	Unreachable
	// Internal means a fault of the program, and is the kind of every error that says none.
	Internal
)

// row is what the table says of one kind.
type row struct {
	name string
	// status is 4xx where sending the same request again cannot help, and 5xx where it can.
	status int
	// retryAfter is the value of the Retry-After header in seconds, empty where none is sent.
	retryAfter string
}

// table is the one place where kinds are turned into names, statuses and waits.
var table = [...]row{
	Invalid:          {"Invalid", http.StatusBadRequest, ""},
	Malformed:        {"Unreadable", http.StatusBadRequest, ""},
	TooLarge:         {"TooLarge", http.StatusRequestEntityTooLarge, ""},
	Stale:            {"Stale", http.StatusPreconditionFailed, ""},
	NotFound:         {"Unknown", http.StatusNotFound, ""},
	Busy:             {"Busy", http.StatusServiceUnavailable, "0.2"},
	NoQuorum:         {"NoQuorum", http.StatusServiceUnavailable, "0.3"},
	NotLeader:        {"NotLeader", http.StatusServiceUnavailable, ""},
	DeadlineExceeded: {"Late", http.StatusServiceUnavailable, ""},
	Undetermined:     {"Undecided", http.StatusServiceUnavailable, ""},
	DiskFailed:       {"DiskFailed", http.StatusServiceUnavailable, ""},
	Unreachable:      {"Unreachable", http.StatusBadGateway, ""},
	Internal:         {"Internal", http.StatusInternalServerError, ""},
}

// row gives the kind's row of the table, and that of Internal for a value that is none of the list.
func (k Kind) row() row {
	if k < Invalid || k > Internal {
		return table[Internal]
	}
	return table[k]
}

// String gives the kind's name, as it travels between machines.
func (k Kind) String() string { return k.row().name }

// Status gives the HTTP status the kind is answered with.
func (k Kind) Status() int { return k.row().status }

// RetryAfter gives the value of the Retry-After header in seconds, empty where none is sent.
func (k Kind) RetryAfter() string { return k.row().retryAfter }

// ParseKind gives the kind of that name, and Internal for a name that is not on the list.
func ParseKind(name string) Kind {
	for k := Invalid; k < Internal; k++ {
		if table[k].name == name {
			return k
		}
	}
	return Internal
}

// fault is an error with its kind.
type fault struct {
	kind Kind
	err  error
}

func (f *fault) Error() string { return f.err.Error() }

func (f *fault) Unwrap() error { return f.err }

// New makes an error of the kind.
func New(k Kind, format string, args ...any) error {
	return &fault{kind: k, err: eris.Errorf(format, args...)}
}

// Wrap puts the message before err and makes it of the kind, whatever kind err was of. It gives nil for a nil err.
func Wrap(err error, k Kind, format string, args ...any) error {
	if err == nil {
		return nil
	}
	return &fault{kind: k, err: eris.Wrapf(err, format, args...)}
}

// KindOf gives the kind that was said last of err, also below errors wrapped round it, and Internal where none was said.
func KindOf(err error) Kind {
	var f *fault
	if errors.As(err, &f) {
		return f.kind
	}
	return Internal
}
