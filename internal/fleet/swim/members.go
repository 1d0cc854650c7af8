package swim

import (
	"slices"
	"time"
)

// Member is what this node knows of a member, for display to operators.
type Member struct {
	Number       int
	Session      Session
	State        State
	Accuser      int           // number of the member that declared this member Suspect or Dead
	Since        time.Duration // start of the state
	LastReceived time.Duration // when the last message from the member was received; 0: none
	LastLeaseAck time.Duration // send time of the last message that the member acked with a lease; 0: none
	SessionOver  bool          // the session has ended permanently
}

// Members returns this node's view of all members, indexed by member number.
func (n *Node) Members(now time.Duration) []Member {
	n.refreshContact(now)
	all := make([]Member, n.Size)
	for i := range n.members {
		m := &n.members[i]
		_, over := n.SessionOver(now, i)
		all[i] = Member{i, m.session, m.state, m.accuser, m.since, m.lastReceived, m.lastLeaseAck, over}
	}
	return all
}

// State returns the state and the session of a member.
func (n *Node) State(number int) (State, Session) {
	return n.members[number].state, n.members[number].session
}

// FleetSize returns a lower bound of the number of sidecars in the fleet: the members known here
// that have not left, or the number that enough other members claim if that is larger. A member
// that crashed or is unreachable still counts, as it may serve requests where no other member sees
// it: a partition must not raise any sidecar's share of a rate limit.
func (n *Node) FleetSize(now time.Duration) int {
	present := 0
	for i := range n.members {
		if s := n.members[i].state; s != Unknown && s != Left {
			present++
		}
	}
	return max(present, min(n.claimedFleetSize(now), maxClaimFactor*n.Size))
}

const (
	minClaimers    = 3           // members that have to claim at least a size for it to count
	maxClaimFactor = 4           // a claim counts up to this multiple of the configured size
	claimLifetime  = time.Minute // a claim that was received longer ago does not count
)

// claimedFleetSize returns the largest number of sidecars that at least minClaimers other members
// claim to have seen. False claims of one or two members therefore have no effect.
func (n *Node) claimedFleetSize(now time.Duration) int {
	var largest [minClaimers]int // the largest claims, in ascending order
	for i := range n.members {
		if m := &n.members[i]; m.claimedSize > largest[0] && now-m.claimedAt < claimLifetime &&
			(m.state == Alive || m.state == Suspect) {
			largest[0] = m.claimedSize
			slices.Sort(largest[:])
		}
	}
	return largest[0]
}
