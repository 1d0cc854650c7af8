package watch

import (
	"sync"
	"time"
)

// quorumSimulator simulates the replicated log of the core machines: a leader that commits versions and sends
// heartbeats, each of which states the age of the majority's last confirmation. Links between core machines
// are blocked in one direction each.
type quorumSimulator struct {
	mu         sync.Mutex
	members    []*testMember
	leader     int
	committed  int64
	confirmed  []time.Time // time of a majority's last confirmation of a leader, by core machine
	observed   []time.Time // last confirmation that each core machine knows of
	blocked    map[[2]int]bool
	notApplied map[int]bool    // core machines that receive heartbeats but do not apply committed versions
	lag        []time.Duration // by how much the confirmation known to a core machine is older than the leader's
	done       chan struct{}
}

// leaderInterval is the time between two heartbeats of the leader.
const leaderInterval = 120 * ms

// newQuorumSimulator starts a simulator, which determines the contact of the core machines. Closing done stops it.
func newQuorumSimulator(simulated []*testMember) *quorumSimulator {
	q := &quorumSimulator{
		members:    simulated,
		committed:  1,
		confirmed:  make([]time.Time, len(simulated)),
		observed:   make([]time.Time, len(simulated)),
		lag:        make([]time.Duration, len(simulated)),
		blocked:    map[[2]int]bool{},
		notApplied: map[int]bool{},
		done:       make(chan struct{}),
	}
	q.heartbeat()
	for i, member := range simulated {
		member.mu.Lock()
		member.contactFunc = func() (time.Duration, bool) { return q.contact(i) }
		member.mu.Unlock()
	}
	go func() {
		tick := time.NewTicker(leaderInterval)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				q.heartbeat()
			case <-q.done:
				return
			}
		}
	}()
	return q
}

// contact returns the age of the confirmation that core machine i knows of.
func (q *quorumSimulator) contact(i int) (time.Duration, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return time.Since(q.observed[i]), !q.observed[i].IsZero() && !q.notApplied[i]
}

// heartbeat runs one round of the leader's heartbeats and the responses to them.
func (q *quorumSimulator) heartbeat() {
	q.mu.Lock()
	confirmations := 0
	for i := range q.members {
		if i == q.leader || !q.blocked[[2]int{q.leader, i}] && !q.blocked[[2]int{i, q.leader}] {
			confirmations++
		}
	}
	if confirmations > len(q.members)/2 {
		q.confirmed[q.leader] = time.Now()
	}
	var applied []*testMember
	for i, member := range q.members {
		if i != q.leader && q.blocked[[2]int{q.leader, i}] {
			continue
		}
		q.observed[i] = q.confirmed[q.leader].Add(-q.lag[i])
		if !q.notApplied[i] {
			applied = append(applied, member)
		}
	}
	committed := q.committed
	q.mu.Unlock()
	for _, member := range applied {
		if member.configSource.Current() < committed {
			member.publish(committed)
		}
	}
}

// update runs f while holding the lock that guards the simulator's fields.
func (q *quorumSimulator) update(f func()) {
	q.mu.Lock()
	f()
	q.mu.Unlock()
}

// blockLink drops the log's messages from one core machine to another until heal is called.
func (q *quorumSimulator) blockLink(from, to int) {
	q.update(func() { q.blocked[[2]int{from, to}] = true })
}

// heal lets all messages of the log pass again.
func (q *quorumSimulator) heal() { q.update(func() { clear(q.blocked) }) }

// run advances time in steps of 10 ms and calls observe after each step. If commits is true, the leader
// commits a version every 500 ms.
func (q *quorumSimulator) run(d time.Duration, commits bool, observe func(at time.Duration)) {
	for at := time.Duration(0); at < d; at += 10 * ms {
		if commits && at%(500*ms) == 0 {
			q.update(func() { q.committed++ })
			q.heartbeat()
		}
		advance(10 * ms)
		if observe != nil {
			observe(at + 10*ms)
		}
	}
}
