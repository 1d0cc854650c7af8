package swim

import (
	"math"
	"slices"
	"time"
)

// suspicion is an accusation against a member that may still refute it.
type suspicion struct {
	start        time.Duration
	lastPing     time.Duration
	accusers     [maxConfirmations + 1]int
	count        int
	maxConfirmed int // further accusers that make the time-out minSuspicion
}

// timeout returns how long a refutation is waited for: the shorter, the more members accuse.
func (s *suspicion) timeout() time.Duration {
	if s.maxConfirmed < 1 {
		return minSuspicion
	}
	fraction := math.Log(float64(s.count)) / math.Log(float64(s.maxConfirmed+1))
	return max(minSuspicion, maxSuspicion-time.Duration(fraction*float64(maxSuspicion-minSuspicion)))
}

// confirm adds an accuser; false: it is known already, or there are enough.
func (s *suspicion) confirm(by int) bool {
	if s.count > s.maxConfirmed || slices.Contains(s.accusers[:s.count], by) {
		return false
	}
	s.accusers[s.count] = by
	s.count++
	return true
}

// thirdPartyDelay is how much longer a node waits that is not an accuser itself: its own view says
// nothing against the member.
const thirdPartyDelay = 4 * time.Second

// expireSuspicions declares members dead that did not refute in time. A node that doubts itself
// waits.
func (n *Node) expireSuspicions(now time.Duration) {
	doubts := n.doubtsItself(now)
	for i := range n.members {
		m := &n.members[i]
		s := m.suspicion
		if s == nil {
			continue
		}
		if doubts {
			s.start = max(s.start, now-s.timeout()+minSuspicion/2)
			continue
		}
		if s.start = max(s.start, m.lastReceived); now-s.start < s.timeout()*min(n.timeoutFactor(), 3) {
			continue // it is alive and will refute the suspicion
		}
		if !slices.Contains(s.accusers[:s.count], n.Self) && now-s.start < s.timeout()+thirdPartyDelay {
			continue // its accusers declare it dead soon, or it refutes
		}
		n.Stats.Accused++
		n.applyRumour(now, Rumour{Member: i, Session: m.session, State: Dead, Accuser: n.Self})
	}
}
