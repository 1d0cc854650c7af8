package meshapi

// ErrorKindHeader is the header field of a response that is an error which holds its ErrorKind.
const ErrorKindHeader = "X-Mesh-Fault"

// ErrorKind is the name on the wire of a kind of error. Running processes and clients know the
// names, so they stay when a constant is renamed. A receiver treats a name that it doesn't know as
// KindInternal.
type ErrorKind string

// The closed list of kinds of errors.
const (
	// KindInvalid means that the request was read and breaks a rule. Sending it again is of no use.
	KindInvalid ErrorKind = "Invalid"
	// KindMalformed means that the request was cut short or is not of its format.
	KindMalformed ErrorKind = "Unreadable"
	// KindTooLarge means that the request exceeds its limit of bytes.
	KindTooLarge ErrorKind = "TooLarge"
	// KindStale means that the version in force is not the one that the request is based on.
	KindStale ErrorKind = "Stale"
	// KindNotFound means that nothing of that name exists.
	KindNotFound ErrorKind = "Unknown"
	// KindBusy means that the request was shed before anything was done.
	KindBusy ErrorKind = "Busy"
	// KindNoQuorum means that no majority was in contact. Whether a change was made is unknown.
	KindNoQuorum ErrorKind = "NoQuorum"
	// KindNotLeader means that the machine that answers is not the leader. Nothing was done.
	KindNotLeader ErrorKind = "NotLeader"
	// KindDeadlineExceeded means that the time ran out. Whether a change was made is unknown.
	KindDeadlineExceeded ErrorKind = "Late"
	// KindUndetermined means that whether the change was made can no longer be determined.
	KindUndetermined ErrorKind = "Undecided"
	// KindDiskFailed means that the disk rejected or lost a write.
	KindDiskFailed ErrorKind = "DiskFailed"
	// KindUnreachable means that a peer gave no answer. Whether it did what was asked is unknown.
	KindUnreachable ErrorKind = "Unreachable"
	// KindInternal means a fault of the program.
	KindInternal ErrorKind = "Internal"
)

// ErrorResponse is the body of a response that is an error.
type ErrorResponse struct {
	// ErrorMessage says what went wrong.
	ErrorMessage string `json:"errorMessage"`
	// Kind is the same as in the header field ErrorKindHeader.
	Kind ErrorKind `json:"kind"`
}
