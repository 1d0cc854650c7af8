package meshclient

import (
	"errors"
	"fmt"
	"net/http"

	"caperarch/meshapi"
)

// Kind says what became of a call that failed. Each Kind is an error itself, so that errors.Is(err,
// meshclient.Stale) asks for it; errors.As with an *Error gives the rest.
type Kind uint8

// The closed list of kinds.
const (
	// InvalidUsage means that nothing was sent: the client has no addresses, or what it is to send
	// can't be encoded.
	InvalidUsage Kind = iota + 1
	// Invalid means that the request breaks a rule or could not be parsed. Nothing was changed.
	Invalid
	// TooLarge means that the request's body is over the server's limit. Nothing was changed.
	TooLarge
	// Stale means that another version is in force than the change builds on. Nothing was changed.
	Stale
	// NotFound means that there is nothing of that name at any address that was tried.
	NotFound
	// Rejected means that the request was rejected for another reason. Nothing was changed.
	Rejected
	// Unreachable means that no address could be reached before the context ended. Nothing was changed.
	Unreachable
	// Undetermined means that something was sent and no conclusive answer came before the context
	// ended: a change may be in force or not. It may be sent again unchanged.
	Undetermined
)

// kindNames are printed by the operators' verbs, and known to scripts.
var kindNames = [...]string{
	InvalidUsage: "misused",
	Invalid:      "invalid",
	TooLarge:     "too large",
	Stale:        "stale",
	NotFound:     "unknown",
	Rejected:     "refused",
	Unreachable:  "unreached",
	Undetermined: "unclear",
}

// Error returns the kind's name.
func (k Kind) Error() string {
	if k < InvalidUsage || k > Undetermined {
		return "no kind of this list"
	}
	return kindNames[k]
}

// Error is a call that failed.
type Error struct {
	// Kind is never 0 in an error that this package returns.
	Kind Kind
	// Status is the HTTP status of the last response, 0 where none came.
	Status int
	// ServerKind is the server's own kind of the error, from the header field
	// meshapi.ErrorKindHeader of the last response; empty where it has none.
	ServerKind string
	// Address is the control plane address that was tried last, host:port; empty where none was.
	Address string
	// Message says what went wrong, in the server's words where there was a response.
	Message string

	cause error
}

// Error returns the kind, the address and the message.
func (e *Error) Error() string {
	if e.Address == "" {
		return fmt.Sprintf("%s: %s", e.Kind.Error(), e.Message)
	}
	return fmt.Sprintf("%s: %s: %s", e.Kind.Error(), e.Address, e.Message)
}

// Is reports whether the target is the error's Kind. It is for errors.Is.
func (e *Error) Is(target error) bool {
	k, ok := target.(Kind)
	return ok && k == e.Kind
}

// Unwrap returns the cause, such as the end of the context; nil where there is none.
func (e *Error) Unwrap() error { return e.cause }

// KindOf returns the Kind of an error of this package, and 0 for any other.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}

// kindWithoutAnswer is the kind of a call to which no conclusive answer came; sent says that bytes
// of it may have reached a machine.
func kindWithoutAnswer(sent bool) Kind {
	if sent {
		return Undetermined
	}
	return Unreachable
}

// kindOfRejection is the kind of a 4xx response: by the server's own kind where it names one that
// tells of the request, else by the status.
func kindOfRejection(status int, serverKind string) Kind {
	switch meshapi.ErrorKind(serverKind) {
	case meshapi.KindInvalid, meshapi.KindMalformed:
		return Invalid
	case meshapi.KindTooLarge:
		return TooLarge
	case meshapi.KindStale:
		return Stale
	case meshapi.KindNotFound:
		return NotFound
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
