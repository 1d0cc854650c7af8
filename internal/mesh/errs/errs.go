// Package errs is the closed list of what can go wrong in the mesh. Every error that crosses the
// border of a package or a process is of one Kind of this list, and one table says with which HTTP
// status and Retry-After a kind is answered. Its functions may be called from any goroutine.
package errs

import (
	"errors"

	"github.com/rotisserie/eris"
)

// kindError is an error with its kind.
type kindError struct {
	kind Kind
	err  error
}

// Error returns the message, without the kind.
func (e *kindError) Error() string { return e.err.Error() }

// Unwrap returns the error that carries the message and its cause.
func (e *kindError) Unwrap() error { return e.err }

// New makes an error of the kind, with a message formatted as by fmt.Sprintf.
func New(k Kind, format string, args ...any) error {
	return &kindError{kind: k, err: eris.Errorf(format, args...)}
}

// Wrap puts the message before that of err and makes it of kind k, whatever kind err was of. It
// returns nil for a nil err.
func Wrap(err error, k Kind, format string, args ...any) error {
	if err == nil {
		return nil
	}
	return &kindError{kind: k, err: eris.Wrapf(err, format, args...)}
}

// KindOf returns the kind that the outermost New or Wrap in the chain of err gave it, and Internal
// if none did.
func KindOf(err error) Kind {
	var e *kindError
	if errors.As(err, &e) {
		return e.kind
	}
	return Internal
}
