// Package emu is a fleet in virtual time: sidecars with the decision module inside, servers, clients, a list, and what goes
// wrong. It runs from a seed, to the same end every time, some thousands of times faster than the real one. It is free of I/O.
package emu

import (
	"container/heap"
	"time"
)

// clock plays what comes due, in order of time, and in the order of asking where two come at once.
type clock struct {
	now   time.Duration
	due   queue
	order uint64
}

// alarm is something that comes due.
type alarm struct {
	at    time.Duration
	order uint64
	do    func() // nil: called off
}

func (a *alarm) off() { a.do = nil }

type queue []*alarm

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(*alarm)) }
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return last
}

// after asks for a call after d; what is past comes at once.
func (c *clock) after(d time.Duration, do func()) *alarm {
	c.order++
	a := &alarm{at: c.now + max(d, 0), order: c.order, do: do}
	heap.Push(&c.due, a)
	return a
}

// until plays up to a time.
func (c *clock) until(t time.Duration) {
	for len(c.due) > 0 && c.due[0].at <= t {
		a := heap.Pop(&c.due).(*alarm)
		c.now = a.at
		if a.do != nil {
			a.do()
		}
	}
	c.now = t
}
