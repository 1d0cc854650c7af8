package meshapi

// ErrorKindHeader is the header of an error response that contains the ErrorKind.
const ErrorKindHeader = "X-Mesh-Fault"

// ErrorKind is the wire name of an error kind. Running processes and clients depend on the wire names, so a wire name
// must not change when its constant is renamed. A receiver treats an unknown wire name as KindInternal.
type ErrorKind string

// The closed list of error kinds.
const (
	// KindInvalid means that the request was parsed and violates a rule. A retry of the same request fails as well.
	KindInvalid ErrorKind = "Invalid"
	// KindMalformed means that the request was truncated or does not have the expected format.
	KindMalformed ErrorKind = "Unreadable"
	// KindTooLarge means that the request exceeds its size limit in bytes.
	KindTooLarge ErrorKind = "TooLarge"
	// KindStale means that the request is based on another version than the version in force.
	KindStale ErrorKind = "Stale"
	// KindNotFound means that the resource that the request names does not exist.
	KindNotFound ErrorKind = "Unknown"
	// KindBusy means that the request was shed before it had any effect.
	KindBusy ErrorKind = "Busy"
	// KindNoQuorum means that no majority of the voters was in contact. It is unknown whether a change was made.
	KindNoQuorum ErrorKind = "NoQuorum"
	// KindNotLeader means that the responding machine is not the leader. The request had no effect.
	KindNotLeader ErrorKind = "NotLeader"
	// KindDeadlineExceeded means that the deadline has expired. It is unknown whether a change was made.
	KindDeadlineExceeded ErrorKind = "Late"
	// KindUndetermined means that it can no longer be determined whether a change was made.
	KindUndetermined ErrorKind = "Undecided"
	// KindDiskFailed means that an operation on the disk failed, as when the disk rejects or loses a write.
	KindDiskFailed ErrorKind = "DiskFailed"
	// KindUnreachable means that a peer did not answer. It is unknown whether the peer executed the request.
	KindUnreachable ErrorKind = "Unreachable"
	// KindInternal means a fault in the server program.
	KindInternal ErrorKind = "Internal"
)

// ErrorResponse is the body of an error response.
type ErrorResponse struct {
	// ErrorMessage describes the error.
	ErrorMessage string `json:"errorMessage"`
	// Kind is the error kind. It has the same value as the header ErrorKindHeader.
	Kind ErrorKind `json:"kind"`
}
