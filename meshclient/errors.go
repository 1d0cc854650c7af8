package meshclient

import (
	"errors"
	"fmt"
	"net/http"

	"caperarch/internal/mesh/errs"
)

// Kind says what became of a call that failed. Each Kind is an error itself, so that errors.Is(err, meshclient.Stale)
// asks for it; errors.As with an *Error gives the rest.
type Kind uint8

// The closed list of kinds.
const (
	// InvalidUsage means that nothing was sent: the client has no addresses, or what it is to send can't be written.
	InvalidUsage Kind = iota + 1
	// Invalid means that the call was read and breaks a rule, or could not be read. Nothing was changed.
	Invalid
	// TooLarge means that the call is over the limit of bytes. Nothing was changed.
	TooLarge
	// Stale means that another version is in place than the change builds on. Nothing was changed.
	Stale
	// NotFound means that there is nothing of that name at any address that was asked.
	NotFound
	// Rejected means that the call was turned away for another reason. Nothing was changed.
	Rejected
	// Unreachable means that no address could be reached before the time ran out. Nothing was changed.
	Unreachable
	// Undetermined means that something was sent and no clear answer came before the time ran out: a change may be in force
	// or not. It may be sent again unchanged.
	Undetermined
)

var kindNames = [...]string{
	InvalidUsage: "misused", Invalid: "invalid", TooLarge: "too large", Stale: "stale", NotFound: "unknown", Rejected: "refused",
	Unreachable: "unreached", Undetermined: "unclear",
}

// Error gives the kind's name.
func (k Kind) Error() string {
	if k < InvalidUsage || k > Undetermined {
		return "no kind of this list"
	}
	return kindNames[k]
}

// Error is a call that failed.
type Error struct {
	Kind Kind
	// Status is the HTTP status of the last answer, 0 where none came.
	Status int
	// ServerKind is the mesh's own word for what went wrong in that answer, empty where it said none.
	ServerKind string
	// Address is the control plane address asked last.
	Address string
	// Message says what went wrong, in the mesh's words where there was an answer.
	Message string

	cause error
}

// Error gives the kind, the address and the message.
func (e *Error) Error() string {
	if e.Address == "" {
		return fmt.Sprintf("%s: %s", e.Kind.Error(), e.Message)
	}
	return fmt.Sprintf("%s: %s: %s", e.Kind.Error(), e.Address, e.Message)
}

// Is says whether the target is the error's Kind.
func (e *Error) Is(target error) bool {
	k, ok := target.(Kind)
	return ok && k == e.Kind
}

// Unwrap gives what lay below, such as the context's end; nil where there is nothing.
func (e *Error) Unwrap() error { return e.cause }

// KindOf gives the Kind of an error of this package, and 0 for any other.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}

// kindOf turns an answer that is a refusal into its kind: by the mesh's own word where it said one, else by the status.
func kindOf(status int, fault string) Kind {
	if fault != "" {
		switch errs.ParseKind(fault) {
		case errs.Invalid, errs.Malformed:
			return Invalid
		case errs.TooLarge:
			return TooLarge
		case errs.Stale:
			return Stale
		case errs.NotFound:
			return NotFound
		}
	}
	switch status {
	case http.StatusBadRequest, http.StatusConflict, http.StatusUnprocessableEntity:
		return Invalid
	case http.StatusNotFound:
		return NotFound
	case http.StatusPreconditionFailed:
		return Stale
	case http.StatusRequestEntityTooLarge:
		return TooLarge
	}
	return Rejected
}
