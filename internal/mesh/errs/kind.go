package errs

import (
	"net/http"

	"caperarch/meshapi"
)

// Kind says what went wrong. The zero Kind is not on the list and counts as Internal.
type Kind uint8

// The closed list of kinds.
const (
	// Invalid means that the request was read and breaks a rule. Sending it again is of no use.
	Invalid Kind = iota + 1
	// Malformed means that the request was cut short or is not of its format.
	Malformed
	// TooLarge means that the request exceeds its limit of bytes.
	TooLarge
	// Stale means that the version in force is not the one that the request is based on.
	Stale
	// NotFound means that nothing of that name exists.
	NotFound
	// Busy means that the request was shed before anything was done.
	Busy
	// NoQuorum means that no majority was in contact. Whether a change was made is unknown.
	NoQuorum
	// NotLeader means that this member is not the leader. Nothing was done.
	NotLeader
	// DeadlineExceeded means that the time ran out. Whether a change was made is unknown.
	DeadlineExceeded
	// Undetermined means that whether the change was made can no longer be determined: the log of applied
	// requests does not reach back that far.
	Undetermined
	// DiskFailed means that the disk rejected or lost a write.
	DiskFailed
	// Unreachable means that a peer gave no answer. Whether it did what was asked is unknown.
	Unreachable
	// Internal means a fault of the program, and is the kind of every error that states none.
	Internal
)

// kindInfo is what the table says of one kind.
type kindInfo struct {
	wireName meshapi.ErrorKind
	// status is 4xx where sending the same request again cannot help, and 5xx where it can.
	status int
	// retryAfter is the value of the Retry-After header in seconds, empty where none is sent.
	retryAfter string
}

// kinds is the one place where kinds are turned into wire names, statuses and Retry-After values.
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

// info returns the kind's entry in the table, and that of Internal for a value that is not on the list.
func (k Kind) info() kindInfo {
	if k < Invalid || k > Internal {
		return kinds[Internal]
	}
	return kinds[k]
}

// String returns the kind's name on the wire.
func (k Kind) String() string { return string(k.WireName()) }

// Status returns the HTTP status that the kind is answered with.
func (k Kind) Status() int { return k.info().status }

// RetryAfter returns the value of the Retry-After header in seconds, empty where none is sent.
func (k Kind) RetryAfter() string { return k.info().retryAfter }

// WireName returns the kind's name on the wire.
func (k Kind) WireName() meshapi.ErrorKind { return k.info().wireName }

// ParseKind returns the kind of that wire name, and Internal for a name that is not on the list.
func ParseKind(wireName string) Kind {
	for k := Invalid; k < Internal; k++ {
		if string(kinds[k].wireName) == wireName {
			return k
		}
	}
	return Internal
}
