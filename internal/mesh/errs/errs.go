// Package errs defines the closed list of error kinds of the mesh. Every error that crosses the boundary of a package
// or a process has a Kind of this list, and one table assigns an HTTP status and a Retry-After to each kind. All
// functions may be called from any goroutine.
package errs

import (
	"errors"

	"github.com/rotisserie/eris"
)

// kindError attaches a kind to an error.
type kindError struct {
	kind Kind
	err  error
}

// Error returns the message, without the kind.
func (e *kindError) Error() string { return e.err.Error() }

// Unwrap returns the error that contains the message and the cause.
func (e *kindError) Unwrap() error { return e.err }

// New returns an error of the kind, with a message formatted as by fmt.Sprintf.
func New(k Kind, format string, args ...any) error {
	return &kindError{kind: k, err: eris.Errorf(format, args...)}
}

// Wrap prefixes the message of err with a formatted message, and returns an error of kind k, whatever the kind of err
// is. It returns nil if err is nil.
func Wrap(err error, k Kind, format string, args ...any) error {
	if err == nil {
		return nil
	}
	return &kindError{kind: k, err: eris.Wrapf(err, format, args...)}
}

// KindOf returns the kind of the outermost New or Wrap in the chain of err, and Internal if the chain contains neither.
func KindOf(err error) Kind {
	var e *kindError
	if errors.As(err, &e) {
		return e.kind
	}
	return Internal
}
