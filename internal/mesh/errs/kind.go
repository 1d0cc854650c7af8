package errs

import (
	"net/http"

	"caperarch/meshapi"
)

// Kind classifies an error. The zero Kind is not on the list and is treated as Internal.
type Kind uint8

// The closed list of kinds.
const (
	// Invalid means that the request was parsed and violates a rule. A retry of the same request fails as well.
	Invalid Kind = iota + 1
	// Malformed means that the request was truncated or does not have the expected format.
	Malformed
	// TooLarge means that the request exceeds its size limit in bytes.
	TooLarge
	// Stale means that the request is based on another version than the version in force.
	Stale
	// NotFound means that the resource that the request names does not exist.
	NotFound
	// Busy means that the request was shed before it had any effect.
	Busy
	// NoQuorum means that no majority of the members was in contact. It is unknown whether a change was made.
	NoQuorum
	// NotLeader means that this member is not the leader. The request had no effect.
	NotLeader
	// DeadlineExceeded means that the deadline has expired. It is unknown whether a change was made.
	DeadlineExceeded
	// Undetermined means that it can no longer be determined whether a change was made: the log of applied requests
	// does not reach back to the request.
	Undetermined
	// DiskFailed means that an operation on the disk failed, as when the disk rejects or loses a write.
	DiskFailed
	// Unreachable means that a peer did not answer. It is unknown whether the peer executed the request.
	Unreachable
	// Internal means a fault in the program. It is also the kind of every error without a kind.
	Internal
)

// kindInfo is the entry of a kind in the table of kinds.
type kindInfo struct {
	wireName meshapi.ErrorKind
	// status is 4xx if a retry of the same request cannot succeed, and 5xx if a retry can.
	status int
	// retryAfter is the value of the Retry-After header in seconds, empty if the header is not sent.
	retryAfter string
}

// kinds is the only mapping from kinds to wire names, HTTP statuses and Retry-After values.
var kinds = [...]kindInfo{
	Invalid:          {meshapi.KindInvalid, http.StatusBadRequest, ""},
	Malformed:        {meshapi.KindMalformed, http.StatusBadRequest, ""},
	TooLarge:         {meshapi.KindTooLarge, http.StatusRequestEntityTooLarge, ""},
	Stale:            {meshapi.KindStale, http.StatusPreconditionFailed, ""},
	NotFound:         {meshapi.KindNotFound, http.StatusNotFound, ""},
	Busy:             {meshapi.KindBusy, http.StatusServiceUnavailable, "0.2"},
	NoQuorum:         {meshapi.KindNoQuorum, http.StatusServiceUnavailable, "0.3"},
	NotLeader:        {meshapi.KindNotLeader, http.StatusServiceUnavailable, ""},
	DeadlineExceeded: {meshapi.KindDeadlineExceeded, http.StatusServiceUnavailable, ""},
	Undetermined:     {meshapi.KindUndetermined, http.StatusServiceUnavailable, ""},
	DiskFailed:       {meshapi.KindDiskFailed, http.StatusServiceUnavailable, ""},
	Unreachable:      {meshapi.KindUnreachable, http.StatusBadGateway, ""},
	Internal:         {meshapi.KindInternal, http.StatusInternalServerError, ""},
}

// info returns the table entry of the kind, and the entry of Internal for a value that is not on the list.
func (k Kind) info() kindInfo {
	if k < Invalid || k > Internal {
		return kinds[Internal]
	}
	return kinds[k]
}

// String returns the kind's name on the wire.
func (k Kind) String() string { return string(k.WireName()) }

// Status returns the HTTP status of responses with an error of the kind.
func (k Kind) Status() int { return k.info().status }

// RetryAfter returns the value of the Retry-After header in seconds, empty if the header is not sent.
func (k Kind) RetryAfter() string { return k.info().retryAfter }

// WireName returns the kind's name on the wire.
func (k Kind) WireName() meshapi.ErrorKind { return k.info().wireName }

// ParseKind returns the kind with a wire name, and Internal for a name that is not on the list.
func ParseKind(wireName string) Kind {
	for k := Invalid; k < Internal; k++ {
		if string(kinds[k].wireName) == wireName {
			return k
		}
	}
	return Internal
}
