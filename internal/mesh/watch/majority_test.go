package watch

import (
	"sync"
	"time"
)

// majority simulates the log beside the members of a mesh: a leader that sends heartbeats, states with
// each how old its confirmation is, and commits versions. Its links are severed one way each.
type majority struct {
	mu         sync.Mutex
	members    []*member
	leader     int
	committed  int64
	confirmed  []time.Time // of a leader, by member
	known      []time.Time // what each member knows to have been confirmed
	severed    map[[2]int]bool
	notApplied map[int]bool    // members that receive heartbeats and do not apply
	lag        []time.Duration // how much older a member's confirmation is than the leader's
	done       chan struct{}
}

const leaderInterval = 120 * ms

func newMajority(m []*member) *majority {
	q := &majority{
		members:    m,
		committed:  1,
		confirmed:  make([]time.Time, len(m)),
		known:      make([]time.Time, len(m)),
		lag:        make([]time.Duration, len(m)),
		severed:    map[[2]int]bool{},
		notApplied: map[int]bool{},
		done:       make(chan struct{}),
	}
	q.heartbeat()
	for i, one := range m {
		one.mu.Lock()
		one.contactOf = func() (time.Duration, bool) { return q.contact(i) }
		one.mu.Unlock()
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

func (q *majority) contact(i int) (time.Duration, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return time.Since(q.known[i]), !q.known[i].IsZero() && !q.notApplied[i]
}

// heartbeat is one round of the leader's heartbeats and their responses.
func (q *majority) heartbeat() {
	q.mu.Lock()
	confirmations := 0
	for i := range q.members {
		if i == q.leader || !q.severed[[2]int{q.leader, i}] && !q.severed[[2]int{i, q.leader}] {
			confirmations++
		}
	}
	if confirmations > len(q.members)/2 {
		q.confirmed[q.leader] = time.Now()
	}
	var applied []*member
	for i, one := range q.members {
		if i != q.leader && q.severed[[2]int{q.leader, i}] {
			continue
		}
		q.known[i] = q.confirmed[q.leader].Add(-q.lag[i])
		if !q.notApplied[i] {
			applied = append(applied, one)
		}
	}
	committed := q.committed
	q.mu.Unlock()
	for _, one := range applied {
		if one.configs.Current() < committed {
			one.publish(committed)
		}
	}
}

func (q *majority) change(f func()) {
	q.mu.Lock()
	f()
	q.mu.Unlock()
}

// sever drops what one member sends to another in the log.
func (q *majority) sever(from, to int) { q.change(func() { q.severed[[2]int{from, to}] = true }) }

func (q *majority) heal() { q.change(func() { clear(q.severed) }) }

// run advances time in steps, and calls observe after each; with commits the leader commits a version
// every half second.
func (q *majority) run(d time.Duration, commits bool, observe func(at time.Duration)) {
	for at := time.Duration(0); at < d; at += 10 * ms {
		if commits && at%(500*ms) == 0 {
			q.change(func() { q.committed++ })
			q.heartbeat()
		}
		advance(10 * ms)
		if observe != nil {
			observe(at + 10*ms)
		}
	}
}
