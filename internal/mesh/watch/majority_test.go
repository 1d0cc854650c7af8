package watch

import (
	"sync"
	"time"
)

// majority plays the log beside the members of a mesh: a leader that asks all for their confirmation, states how old it
// is with each heartbeat, and commits versions. Its links are cut one way each.
type majority struct {
	mu         sync.Mutex
	members    []*member
	leader     int
	committed  int64
	confirmed  []time.Time // of a leader, by member
	known      []time.Time // what each member knows to have been confirmed
	severed    map[[2]int]bool
	notApplied map[int]bool    // it has heard, and not applied
	lag        []time.Duration // how much older than the leader's a member's knowledge is
	done       chan struct{}
}

const leaderInterval = 120 * ms

func newMajority(m []*member) *majority {
	q := &majority{
		members: m, committed: 1, confirmed: make([]time.Time, len(m)), known: make([]time.Time, len(m)),
		lag: make([]time.Duration, len(m)), severed: map[[2]int]bool{}, notApplied: map[int]bool{}, done: make(chan struct{}),
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

// round is a leader's heartbeat to all and their answers.
func (q *majority) heartbeat() {
	q.mu.Lock()
	heard := 0
	for i := range q.members {
		if i == q.leader || !q.severed[[2]int{q.leader, i}] && !q.severed[[2]int{i, q.leader}] {
			heard++
		}
	}
	if heard > len(q.members)/2 {
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

// cut ends what goes from one member to another in the log.
func (q *majority) sever(from, to int) { q.change(func() { q.severed[[2]int{from, to}] = true }) }

func (q *majority) heal() { q.change(func() { clear(q.severed) }) }

// pass lets time go by in steps, with a look after each; commits has the leader commit a version every half second.
func (q *majority) run(d time.Duration, commits bool, look func(at time.Duration)) {
	for at := time.Duration(0); at < d; at += 10 * ms {
		if commits && at%(500*ms) == 0 {
			q.change(func() { q.committed++ })
			q.heartbeat()
		}
		advance(10 * ms)
		if look != nil {
			look(at + 10*ms)
		}
	}
}
