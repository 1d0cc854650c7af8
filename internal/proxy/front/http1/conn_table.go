package http1

import (
	"cmp"
	"container/list"
	"time"
)

// newConnReserve is the fraction of all connections that the owners' shares leave for connections on which no request
// was received yet.
const newConnReserve = 1.0 / 8

// connTable decides which client connection is closed when room is short. It does no I/O; its caller passes the time
// in and ensures that one goroutine uses it at a time.
//
// The proxy's file descriptors are one limit. The other limit is the application's own: the application may open only
// a fixed number of connections to the proxy. Its idle connections (never used, or used once and never again) take
// the places of new requests on the application's side, where the proxy can't see it. In incident r44c533, 128
// connections were idle, no request was open, and half of the requests were never sent. Therefore each idle state has
// a limit of its own, far below the limit on all connections. The reading state has one too: bodies sent one byte at
// a time must not take the places of requests that could be served.
type connTable struct {
	limits    ConnLimits
	open      int
	idle      [stateCount]list.List // of *entry without a complete open request, by state, longest in the state first
	counts    Counters
	hasShares bool // setShares has divided the connections among owners

	// hasUnrecordedInput returns whether bytes were received on an idle connection that the table does not know of
	// yet: unread in the kernel's buffer, or read but not recorded by markBusy yet. Such a connection is not idle;
	// only the proxy has not read the bytes yet. nil: no connection ever has such bytes.
	hasUnrecordedInput func(*entry) bool
	// requestLimits returns the current limits. nil: defaultMaxIdle applies.
	requestLimits func() RequestLimits
}

// entry is a connection in the table.
type entry struct {
	conn        *conn
	idleState   connState     // state that the connection takes when it becomes idle, by the requests on it so far
	owner       *owner        // owner of the last request; nil: none
	state       connState     // index in connTable.idle of the list that holds element
	element     *list.Element // nil: a complete request is open, or the connection was removed
	since       time.Duration // when the connection was put into that list
	idleTimeout time.Duration // limit in force at that time; 0: none
	removed     bool
}

// owner counts the connections of one target. A connection belongs to the target of its last request. The lock of the
// table guards owners.
type owner struct {
	count int // connections of the owner
	share int // connections the owner is entitled to when room is short; it may use those that others leave
}

// setShares divides the connections among the owners in proportion to their weights. Without owners there are no
// shares.
func (t *connTable) setShares(owners []*owner, weights []float64) {
	t.hasShares = len(owners) > 0
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	for i, o := range owners {
		o.share = max(1, int(float64(t.limits.Max)*(1-newConnReserve)*weights[i]/sum))
	}
}

// setOwner records the owner of the last request on a connection.
func (t *connTable) setOwner(e *entry, o *owner) {
	if e.owner == o || e.removed {
		return
	}
	if e.owner != nil {
		e.owner.count--
	}
	o.count++
	e.owner = o
}

// overShare returns whether a connection's owner has more than its share while room is short. Such a connection
// should close with its next response, which loses no request and keeps the reserve free for new connections.
func (t *connTable) overShare(e *entry) bool {
	if !t.hasShares || e.owner == nil || e.owner.count <= e.owner.share {
		return false
	}
	return float64(t.open) > float64(t.limits.Max)*(1-newConnReserve)
}

// idleTimeout returns how long a connection may be idle by the current RequestLimits; 0: they set no limit.
func (t *connTable) idleTimeout() time.Duration {
	if t.requestLimits == nil {
		return 0
	}
	return t.requestLimits().IdleTime
}

// maxIdle returns how long a connection may stay in a state while there is room.
func (t *connTable) maxIdle(e *entry, s connState) time.Duration {
	switch {
	case t.requestLimits == nil || s == stateLingering:
		return defaultMaxIdle[s]
	case s == stateReading:
		return max(defaultMaxIdle[s], t.requestLimits().HeadTime)
	}
	return cmp.Or(max(e.idleTimeout, t.idleTimeout()), defaultMaxIdle[s])
}

// sweep removes the connections that have been idle for longer than the limits allow and returns them; the caller
// closes them. again is the time until the next sweep is due, or 0 if each connection has a complete request
// open.
func (t *connTable) sweep(now time.Duration) (removed []*entry, again time.Duration) {
	for s := range stateCount {
		for t.idle[s].Len() > 0 {
			minIdle := time.Duration(0)
			if t.idle[s].Len() > t.limits.MaxIdle[s] {
				minIdle = minIdleOverLimit[s]
			}
			e, wait := t.removeLongestIdle(now, s, minIdle)
			if e == nil {
				if wait > 0 && (again == 0 || wait < again) {
					again = wait
				}
				break
			}
			removed = append(removed, e)
		}
	}
	return removed, again
}

// evictForNew makes room for one more connection. It returns the removed connections for the caller to close. If no
// connection may be removed yet, ok is false and wait is the time until the next attempt.
func (t *connTable) evictForNew(now time.Duration) (removed []*entry, wait time.Duration, ok bool) {
	removed, _ = t.sweep(now)
	if t.open < t.limits.Max {
		return removed, 0, true
	}
	wait = minIdleTime
	for s := range stateCount {
		e, w := t.removeLongestIdle(now, s, minIdleWhenFull[s])
		if e != nil {
			return append(removed, e), 0, true
		}
		if w > 0 {
			wait = min(wait, w)
		}
	}
	return removed, wait, false
}

// removeIdle removes the connections that have had no open request for minIdle, and returns them. A new connection
// stays for at least newConnGrace, because its first request may be in transit.
func (t *connTable) removeIdle(now, minIdle time.Duration) (removed []*entry) {
	for s := range stateCount {
		if s == stateReading || s == stateLingering {
			continue
		}
		for element := t.idle[s].Front(); element != nil; {
			e := element.Value.(*entry)
			element = element.Next()
			idle := now - e.since
			if idle < minIdle || s == stateNew && idle < newConnGrace || t.hasInput(e) {
				continue
			}
			t.remove(e)
			removed = append(removed, e)
		}
	}
	return removed
}

func (t *connTable) hasInput(e *entry) bool {
	return t.hasUnrecordedInput != nil && t.hasUnrecordedInput(e)
}

// removeLongestIdle removes the connection that has been in a state for the longest time, if that time is at least
// minIdle or, with a minIdle of 0, the maximum for the state. Otherwise it returns how long to wait until then. If
// owners have shares, a connection of an owner within its share is closed only after the maximum for the state: the
// longest idle connections are the spare ones of an owner with little traffic, and would be closed in favour of an
// overloaded owner that uses its connections all the time.
func (t *connTable) removeLongestIdle(now time.Duration, s connState, minIdle time.Duration) (*entry, time.Duration) {
	wait := time.Duration(0)
	for element := t.idle[s].Front(); element != nil; {
		e := element.Value.(*entry)
		next := element.Next()
		need := t.requiredIdle(e, s, minIdle)
		if remaining := need - (now - e.since); remaining > 0 {
			if wait == 0 || remaining < wait {
				wait = remaining
			}
			if t.hasShares {
				element = next // a connection of another owner may be due sooner
				continue
			}
			return nil, wait
		}
		if s != stateLingering && s != stateReading && t.hasInput(e) {
			e.since = now // the connection counts as newly idle until its input is recorded
			t.idle[s].MoveToBack(element)
			if element = next; next == nil {
				return nil, need
			}
			continue
		}
		t.counts.Closed[s]++
		t.remove(e)
		return e, 0
	}
	return nil, wait
}

// requiredIdle returns how long a connection has to be in a state before removeLongestIdle may remove it.
func (t *connTable) requiredIdle(e *entry, s connState, minIdle time.Duration) time.Duration {
	allowed := t.maxIdle(e, s)
	need := allowed
	if minIdle > 0 {
		need = min(minIdle, allowed)
	}
	if !t.hasShares || e.owner == nil {
		return need
	}
	if e.owner.count <= e.owner.share {
		return allowed
	}
	if minIdle > 0 {
		need = min(need, maxIdleOverShare)
	}
	return need
}

// add adds a new connection.
func (t *connTable) add(now time.Duration, e *entry) {
	t.open++
	t.counts.Most = max(t.counts.Most, t.open)
	t.pushIdle(now, e, stateNew)
}

// markIdle records that a connection has no open request.
func (t *connTable) markIdle(now time.Duration, e *entry) {
	e.idleState = max(e.idleState, stateHealthCheck)
	t.pushIdle(now, e, e.idleState)
}

// markReading records that a request was received in part and the connection waits for the rest.
func (t *connTable) markReading(now time.Duration, e *entry) { t.pushIdle(now, e, stateReading) }

// markProgress records that progressBytes more of a request were received. The connection moves to the end of its
// list: it is slow but not stuck, and others have made no progress for longer.
func (t *connTable) markProgress(now time.Duration, e *entry) {
	if e.element != nil && e.state == stateReading {
		e.since = now
		t.idle[stateReading].MoveToBack(e.element)
	}
}

// markLingering records that the last response was sent on a connection whose client may still be sending.
func (t *connTable) markLingering(now time.Duration, e *entry) { t.pushIdle(now, e, stateLingering) }

// pushIdle appends a connection to the list of a state, unless it is in a list already or was removed.
func (t *connTable) pushIdle(now time.Duration, e *entry, s connState) {
	if e.removed || e.element != nil {
		return
	}
	e.since, e.state, e.idleTimeout = now, s, t.idleTimeout()
	e.element = t.idle[s].PushBack(e)
}

// markBusy records that bytes were received on an idle connection, or that a request is complete.
func (t *connTable) markBusy(e *entry) {
	if e.element == nil {
		return
	}
	t.idle[e.state].Remove(e.element)
	e.element = nil
}

// markRequest records that a connection has sent a request that passed its checks.
func (t *connTable) markRequest(e *entry) {
	t.markBusy(e)
	e.idleState = min(max(e.idleState+1, stateUsedOnce), stateReused)
}

// remove removes a connection. A second call has no effect.
func (t *connTable) remove(e *entry) {
	if e.removed {
		return
	}
	t.markBusy(e)
	e.removed = true
	if e.owner != nil {
		e.owner.count--
	}
	t.open--
}

// counters returns the current connection counts.
func (t *connTable) counters() Counters {
	c := t.counts
	c.Open = t.open
	for s := range stateCount {
		c.Rest[s] = t.idle[s].Len()
	}
	return c
}
