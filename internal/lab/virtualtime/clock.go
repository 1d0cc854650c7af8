// Package virtualtime simulates the passage of time. A clock calls the functions that were scheduled on it in order
// of time, without I/O and without waiting, so the same schedule always gives the same result.
package virtualtime

import (
	"container/heap"
	"time"
)

// Clock calls functions at virtual times. Functions that are due at the same time are called in the order in which
// they were scheduled.
type Clock struct {
	Now      time.Duration
	timers   queue
	sequence uint64
}

// Timer is a scheduled call.
type Timer struct {
	at       time.Duration
	sequence uint64
	callback func() // nil if the timer was stopped
}

// Stop cancels the call.
func (timer *Timer) Stop() { timer.callback = nil }

type queue []*Timer

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { *q = append(*q, x.(*Timer)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return last
}

// After schedules a call of callback after d. A negative d counts as 0.
func (c *Clock) After(d time.Duration, callback func()) *Timer {
	c.sequence++
	timer := &Timer{at: c.Now + max(d, 0), sequence: c.sequence, callback: callback}
	heap.Push(&c.timers, timer)
	return timer
}

// RunTo makes all calls that are due up to time t and sets the clock to t.
func (c *Clock) RunTo(t time.Duration) {
	c.RunWhile(t, func() bool { return true })
}

// Run advances the clock by d and makes all calls that become due.
func (c *Clock) Run(d time.Duration) { c.RunTo(c.Now + d) }

// RunUntil runs until the condition holds, for at most d, and reports whether the condition came to hold. It evaluates
// the condition after each call.
func (c *Clock) RunUntil(d time.Duration, condition func() bool) bool {
	return !c.RunWhile(c.Now+d, func() bool { return !condition() })
}

// RunWhile runs up to time t as long as the condition holds, and reports whether it still holds at the end. It
// evaluates the condition after each call.
func (c *Clock) RunWhile(t time.Duration, condition func() bool) bool {
	for len(c.timers) > 0 && c.timers[0].at <= t {
		timer := heap.Pop(&c.timers).(*Timer)
		c.Now = timer.at
		if timer.callback == nil {
			continue
		}
		if timer.callback(); !condition() {
			return false
		}
	}
	c.Now = t
	return true
}
