// Package virtual is time that passes only as far as there is something to do: what is asked for is played in order, with no I/O and no
// waiting, to the same end every time.
package virtual

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

// Alarm is something that comes due.
type Alarm struct {
	at    time.Duration
	order uint64
	do    func() // nil: called off
}

// Off calls it off.
func (a *Alarm) Off() { a.do = nil }

type queue []*Alarm

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(*Alarm)) }
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return last
}

// After asks for a call after d; what is past comes at once.
func (c *Clock) After(d time.Duration, do func()) *Alarm {
	c.order++
	a := &Alarm{at: c.Now + max(d, 0), order: c.order, do: do}
	heap.Push(&c.due, a)
	return a
}

// Until plays up to a time.
func (c *Clock) Until(t time.Duration) {
	for len(c.due) > 0 && c.due[0].at <= t {
		a := heap.Pop(&c.due).(*Alarm)
		c.Now = a.at
		if a.do != nil {
			a.do()
		}
	}
	c.Now = t
}
