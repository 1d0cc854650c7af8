// Package virtualtime is time that passes only as far as there is something to do: what is asked
// for is played in order, with no I/O and no waiting, to the same end every time.
package virtualtime

import (
	"container/heap"
	"time"
)

// Clock plays what comes due, in order of time, and in the order of asking where two come at once.
type Clock struct {
	Now   time.Duration
	due   queue
	order uint64
}

// Timer is something that comes due.
type Timer struct {
	at    time.Duration
	order uint64
	do    func() // nil: called off
}

// Stop calls it off.
func (a *Timer) Stop() { a.do = nil }

type queue []*Timer

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is for container/heap.
func (q *queue) Push(x any) { *q = append(*q, x.(*Timer)) }

// Pop is for container/heap.
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return last
}

// After asks for a call after d; what is past comes at once.
func (c *Clock) After(d time.Duration, do func()) *Timer {
	c.order++
	a := &Timer{at: c.Now + max(d, 0), order: c.order, do: do}
	heap.Push(&c.due, a)
	return a
}

// To plays up to a time.
func (c *Clock) To(t time.Duration) {
	c.While(t, func() bool { return true })
}

// Run plays on for a while.
func (c *Clock) Run(d time.Duration) { c.To(c.Now + d) }

// Until plays on until something holds, looked at after each call, for a while at most; it says
// whether it came to that.
func (c *Clock) Until(d time.Duration, holds func() bool) bool {
	return !c.While(c.Now+d, func() bool { return !holds() })
}

// While plays up to a time as long as something holds, looked at after each call; it says whether it still does.
func (c *Clock) While(t time.Duration, holds func() bool) bool {
	for len(c.due) > 0 && c.due[0].at <= t {
		a := heap.Pop(&c.due).(*Timer)
		c.Now = a.at
		if a.do == nil {
			continue
		}
		if a.do(); !holds() {
			return false
		}
	}
	c.Now = t
	return true
}
