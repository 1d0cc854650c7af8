package swim

import (
	"math"
	"slices"
	"time"
)

// suspicion is a set of accusations against a member that the member can still refute.
type suspicion struct {
	start        time.Duration
	lastPing     time.Duration // when this node last pinged the suspected member about the suspicion
	accusers     [maxConfirmations + 1]int
	count        int // number of accusers
	maxConfirmed int // number of further accusers at which the time-out is minSuspicion
}

// timeout returns how long the member has to refute the suspicion. The time-out falls from
// maxSuspicion to minSuspicion with the logarithm of the number of accusers.
func (s *suspicion) timeout() time.Duration {
	if s.maxConfirmed < 1 {
		return minSuspicion
	}
	fraction := math.Log(float64(s.count)) / math.Log(float64(s.maxConfirmed+1))
	return max(minSuspicion, maxSuspicion-time.Duration(fraction*float64(maxSuspicion-minSuspicion)))
}

// confirm adds an accuser. It returns false if the accuser is already recorded or there are enough
// accusers.
func (s *suspicion) confirm(accuser int) bool {
	if s.count > s.maxConfirmed || slices.Contains(s.accusers[:s.count], accuser) {
		return false
	}
	s.accusers[s.count] = accuser
	s.count++
	return true
}

// thirdPartyDelay is the additional wait of a node that is not an accuser itself: its own probes
// give no evidence against the member.
const thirdPartyDelay = 4 * time.Second

// expireSuspicions declares the members dead that have not refuted a suspicion in time. While this
// node's view is unreliable, it postpones the time-outs instead.
func (n *Node) expireSuspicions(now time.Duration) {
	unreliable := n.hasUnreliableView(now)
	for i := range n.members {
		m := &n.members[i]
		s := m.suspicion
		if s == nil {
			continue
		}
		if unreliable {
			s.start = max(s.start, now-s.timeout()+minSuspicion/2)
			continue
		}
		if s.start = max(s.start, m.lastReceived); now-s.start < s.timeout()*min(n.healthFactor(), 3) {
			continue // the time-out counts from the last message of the member: a live member will refute
		}
		if !slices.Contains(s.accusers[:s.count], n.Self) && now-s.start < s.timeout()+thirdPartyDelay {
			continue // an accuser declares the member dead, or the member refutes the suspicion
		}
		n.Stats.Accused++
		n.applyRumour(now, Rumour{Member: i, Session: m.session, State: Dead, Accuser: n.Self})
	}
}
