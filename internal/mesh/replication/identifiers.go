package replication

import "strings"

// Term is a Raft term. Each election increments the term, and a term has at most one leader.
type Term uint64

// Index is the position of an entry in the log. The first entry has Index 1.
type Index uint64

// ClusterID identifies the cluster that a replica belongs to. It is derived from the addresses of
// the initial voters, so that they agree on the id without exchanging messages. A replica rejects
// messages that carry another cluster's id.
type ClusterID uint64

// Token identifies a pending proposal or read of one replica.
type Token uint64

// ReadRound numbers the rounds of heartbeats by which a leader confirms its leadership before it
// serves a read.
type ReadRound uint64

// Incarnation is a random number that identifies one run of a replica's process.
type Incarnation uint64

// MemberID identifies one disk of one machine. It consists of the machine's address and a suffix
// that is unique to the disk. The disks of the initial voters have no suffix. A machine that lost
// its disk rejoins under a new MemberID, because the new disk cannot honor the votes and
// acknowledgements given by the lost disk.
type MemberID string

// diskSuffixSeparator separates the address from the disk suffix in a MemberID.
const diskSuffixSeparator = "#"

// NewMemberID returns the id of a disk of the machine at address. The disks of the initial voters
// have an empty diskSuffix.
func NewMemberID(address, diskSuffix string) MemberID {
	if diskSuffix == "" {
		return MemberID(address)
	}
	return MemberID(address + diskSuffixSeparator + diskSuffix)
}

// Address returns the host:port at which the member receives messages.
func (id MemberID) Address() string {
	address, _, _ := strings.Cut(string(id), diskSuffixSeparator)
	return address
}
