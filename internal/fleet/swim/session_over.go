package swim

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// digestOf returns the contribution of a member to the digest of dead sessions: a hash of its
// number, session and state (Dead or Left), or 0 while the member is neither.
func digestOf(number int, session Session, state State) uint32 {
	if state < Dead {
		return 0
	}
	var encoded [17]byte
	for k := range 4 {
		encoded[k], encoded[4+k] = byte(number>>(8*k)), byte(session.Sequence>>(8*k))
	}
	for k := range 8 {
		encoded[8+k] = byte(session.Incarnation >> (8 * k))
	}
	encoded[16] = byte(state)
	return uint32(xxhash.Sum64(encoded[:]))
}

// confirmDeaths marks the dead members as confirmed if a majority of the members counts the same
// sessions as dead, as shown by recent digests equal to this node's digest.
func (n *Node) confirmDeaths(now time.Duration) {
	unconfirmed := false
	for i := range n.members {
		m := &n.members[i]
		unconfirmed = unconfirmed || m.state == Dead && m.confirmedAt == 0
	}
	if !unconfirmed {
		return
	}
	agreeing := 1
	for i := range n.members {
		m := &n.members[i]
		// An older digest may be from a process that has restarted since. withholdsLeases accounts
		// for the maximum age of a digest.
		if i != n.Self && m.digestAt > 0 && now-m.digestAt <= n.digestLifetime() && m.digest == n.digest {
			agreeing++
		}
	}
	if agreeing < n.majority {
		return
	}
	for i := range n.members {
		if m := &n.members[i]; m.state == Dead && m.confirmedAt == 0 {
			m.confirmedAt = now
		}
	}
}

// SessionOver returns the session of a member that is known here, and whether it has ended
// permanently. By then the member itself has already stopped using the session. A session has ended
// if its member announced that it left, or if a majority of the members has shown that it grants
// the session no more leases and the longest lease that the session may hold has expired.
func (n *Node) SessionOver(now time.Duration, i int) (Session, bool) {
	m := &n.members[i]
	switch m.state {
	case Left:
		return m.session, true
	case Dead:
		return m.session, m.confirmedAt > 0 && now >= m.confirmedAt+n.LeaseExpiry()
	}
	return m.session, false
}
