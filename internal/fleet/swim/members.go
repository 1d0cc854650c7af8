package swim

import (
	"slices"
	"time"
)

// Member is what is known of a member, for operators.
type Member struct {
	Number       int
	Session      Session
	State        State
	Accuser      int
	Since        time.Duration // of the state
	LastReceived time.Duration // last message; 0: none
	LastLeaseAck time.Duration // send time of the last message that it answered with a lease; 0: none
	SessionOver  bool          // its session is over for good
}

// Members returns the current view, by number.
func (n *Node) Members(now time.Duration) []Member {
	n.refreshContact(now)
	all := make([]Member, n.Size)
	for i := range n.members {
		m := &n.members[i]
		_, out := n.SessionOver(now, i)
		all[i] = Member{i, m.session, m.state, m.accuser, m.since, m.lastReceived, m.lastLeaseAck, out}
	}
	return all
}

// State returns the state and session of member i.
func (n *Node) State(i int) (State, Session) { return n.members[i].state, n.members[i].session }

// FleetSize returns how many sidecars there are at least: the most that were seen at once, less
// those that left on purpose since. One that crashed or can't be reached still counts, as it may
// serve where nobody sees it: a partition must not raise anybody's share of a rate limit.
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
	minClaimers    = 3 // members that have to claim at least as much
	maxClaimFactor = 4 // times the configured size is the most that is believed
	claimLifetime  = time.Minute
)

// claimedFleetSize returns how many sidecars at least minClaimers others claim to have seen: a
// wrong claim of one or two changes nothing.
func (n *Node) claimedFleetSize(now time.Duration) int {
	var top [minClaimers]int // ascending
	for i := range n.members {
		if m := &n.members[i]; m.claimedSize > top[0] && now-m.claimedAt < claimLifetime &&
			(m.state == Alive || m.state == Suspect) {
			top[0] = m.claimedSize
			slices.Sort(top[:])
		}
	}
	return top[0]
}
