package swim

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// digestOf returns what a member's end adds to the digest: for an exact session, and by whether it
// left.
func digestOf(i int, s Session, state State) uint32 {
	if state < Dead {
		return 0
	}
	var b [17]byte
	for k := range 4 {
		b[k], b[4+k] = byte(i>>(8*k)), byte(s.Sequence>>(8*k))
	}
	for k := range 8 {
		b[8+k] = byte(s.Incarnation >> (8 * k))
	}
	b[16] = byte(state)
	return uint32(xxhash.Sum64(b[:]))
}

// confirmDeaths records for dead members that a majority counts the same sessions as dead, each by
// a fresh digest.
func (n *Node) confirmDeaths(now time.Duration) {
	open := false
	for i := range n.members {
		m := &n.members[i]
		open = open || m.state == Dead && m.majorityAt == 0
	}
	if !open {
		return
	}
	same := 1
	for i := range n.members {
		m := &n.members[i]
		// An old digest may be of a process that has restarted since; withholdsLeases allows for
		// its age.
		if i != n.Self && m.digestAt > 0 && now-m.digestAt <= n.digestLifetime() && m.digest == n.digest {
			same++
		}
	}
	if same < n.majority {
		return
	}
	for i := range n.members {
		if m := &n.members[i]; m.state == Dead && m.majorityAt == 0 {
			m.majorityAt = now
		}
	}
}

// SessionOver reports whether a member's session, as known here, is over for good; the member has
// known so itself before. A majority has shown that it gives the session no more leases, and the
// longest lease that it may have has expired; or the member said itself that it left.
func (n *Node) SessionOver(now time.Duration, i int) (Session, bool) {
	m := &n.members[i]
	switch m.state {
	case Left:
		return m.session, true
	case Dead:
		return m.session, m.majorityAt > 0 && now >= m.majorityAt+n.LeaseExpiry()
	}
	return m.session, false
}
