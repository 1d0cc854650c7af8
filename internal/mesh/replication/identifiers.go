package replication

import "strings"

// Term is the Raft term, which each election raises; at most one replica leads in a term.
type Term uint64

// Index is a position in the log; the first entry has Index 1.
type Index uint64

// ClusterID names the cluster that a replica belongs to. It is derived from the first voters'
// addresses, so that they agree on it without exchanging messages; messages of another cluster are
// rejected.
type ClusterID uint64

// Token identifies a proposal or a read of one replica until it is completed.
type Token uint64

// ReadRound numbers the rounds of heartbeats that confirm a leader before a read is served.
type ReadRound uint64

// Incarnation identifies one run of a replica's process. It is drawn at random.
type Incarnation uint64

// MemberID names one disk of one machine: the machine's address and, for every disk but those of
// the very first start, a suffix that no other disk has. A machine that lost its disk comes back
// under a new MemberID, so that it isn't bound by the votes and acknowledgements of the lost disk.
type MemberID string

// incarnationSeparator stands between the address and the incarnation in a MemberID.
const incarnationSeparator = "#"

// NewMemberID returns the id of a disk at an address; the incarnation is empty at the first start.
func NewMemberID(address, incarnation string) MemberID {
	if incarnation == "" {
		return MemberID(address)
	}
	return MemberID(address + incarnationSeparator + incarnation)
}

// Address is the host and port at which the member receives messages.
func (id MemberID) Address() string {
	address, _, _ := strings.Cut(string(id), incarnationSeparator)
	return address
}
