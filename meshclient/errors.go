package meshclient

import (
	"errors"
	"fmt"
	"net/http"

	"caperarch/meshapi"
)

// Kind classifies the error of a failed call. Each Kind is itself an error, so that errors.Is(err, meshclient.Stale)
// reports whether err is of kind Stale. Use errors.As with an *Error to obtain the other details.
type Kind uint8

// The closed list of kinds.
const (
	// InvalidUsage means that nothing was sent, because a required field such as the client's addresses is missing,
	// or because the request cannot be encoded.
	InvalidUsage Kind = iota + 1
	// Invalid means that the request violates a rule or could not be parsed. Nothing was changed.
	Invalid
	// TooLarge means that the request body exceeds the server's size limit. Nothing was changed.
	TooLarge
	// Stale means that the change is based on another version than the version in force. Nothing was changed.
	Stale
	// NotFound means that the requested resource or path does not exist at any address that was tried.
	NotFound
	// Rejected means that the request was rejected for another reason. Nothing was changed.
	Rejected
	// Unreachable means that no address could be reached before the context ended. Nothing was changed.
	Unreachable
	// Undetermined means that a request may have been received, but no conclusive response arrived before the context
	// ended. It is unknown whether a change is in force. The same change may be sent again.
	Undetermined
)

// kindNames are the texts of the kinds. The verbs of meshd print them and operators' scripts match them, so they must
// not change.
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

// Error returns the name of the kind.
func (k Kind) Error() string {
	if k < InvalidUsage || k > Undetermined {
		return "unknown error kind"
	}
	return kindNames[k]
}

// Error is the error of a failed call.
type Error struct {
	// Kind classifies the error. It is never 0 in an error that this package returns.
	Kind Kind
	// Status is the HTTP status of the last response, 0 if no response was received.
	Status int
	// ServerKind is the error kind that the server reported in the header meshapi.ErrorKindHeader of the last
	// response, empty if the header is missing.
	ServerKind string
	// Address is the last control plane address that was tried, in the form host:port. It is empty if none was tried.
	Address string
	// Message describes the error. If the server sent an error message, it is that message.
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

// Is reports whether the target is the Kind of the error. It implements the interface of errors.Is.
func (e *Error) Is(target error) bool {
	k, ok := target.(Kind)
	return ok && k == e.Kind
}

// Unwrap returns the cause, such as the error of the context, or nil if there is none.
func (e *Error) Unwrap() error { return e.cause }

// KindOf returns the Kind of an error that wraps an *Error, and 0 for any other error.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}

// kindWithoutResponse returns the kind of a call that received no conclusive response. sent is true if a machine may
// have received bytes of the request.
func kindWithoutResponse(sent bool) Kind {
	if sent {
		return Undetermined
	}
	return Unreachable
}

// kindOfRejection returns the kind of a 4xx response. It is derived from the server's error kind if this kind
// concerns the request, and from the status otherwise.
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
