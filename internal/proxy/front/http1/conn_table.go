package http1

import (
	"cmp"
	"container/list"
	"time"
)

// newConnReserve is the fraction of all connections that owners' shares leave for connections on which nothing was
// requested yet.
const newConnReserve = 1.0 / 8

// connTable decides which connection of a client is closed where room is short. It does no I/O, time is passed in, and
// its caller ensures that one goroutine uses it at a time.
//
// Our descriptors are one limit. The other is the application's own: it may open only so many connections to us, and
// those that are idle, never used or used once and never again, take the places of requests on its side of the wire,
// where nothing of ours shows it (incident r44c533: 128 idle, no request open, half of the requests never sent).
// Therefore each state of idle connections has a limit of its own, far below that of all. So have those that are being
// read: bodies that come a byte at a time must not take the places of requests that could be served.
type connTable struct {
	limits    ConnLimits
	open      int
	idle      [stateCount]list.List // of *entry with no complete request open, by state, longest first
	counts    Counters
	hasShares bool // owners have shares

	// hasUnrecordedInput returns whether something has come on an idle connection that the table does not know of yet:
	// unread in the kernel's buffer, or read and on its way to markBusy. It is not idle then, we are late. nil: nothing
	// ever has.
	hasUnrecordedInput func(*entry) bool
	// requestLimits are the current ones. nil: defaultMaxIdle holds.
	requestLimits func() RequestLimits
}

// entry is a connection in the table.
type entry struct {
	conn        *conn
	use         connState     // state it takes when it is idle: by what was requested on it so far
	owner       *owner        // of its last request; nil: none
	state       connState     // the list that element is in
	element     *list.Element // nil: a complete request is open, or it was removed
	since       time.Duration // when it came into that list
	idleTimeout time.Duration // the limit that was current then; 0: none
	removed     bool
}

// owner is what connections belong to: a target whose requests come on them. The table's lock guards it.
type owner struct {
	count int // of its connections
	share int // that it may have where room is short; it may also use what others leave
}

// setShares divides the connections among owners by weight. Without owners there are no shares.
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

// setOwner records whose request came last on a connection.
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

// overShare returns whether a connection's owner has more than its share while room is short: the connection ought to
// close with its next response, so that the reserve is free when new connections come. That loses no request.
func (t *connTable) overShare(e *entry) bool {
	if !t.hasShares || e.owner == nil || e.owner.count <= e.owner.share {
		return false
	}
	return float64(t.open) > float64(t.limits.Max)*(1-newConnReserve)
}

// idleTimeout is how long a connection may be idle by the current limits; 0: they do not say.
func (t *connTable) idleTimeout() time.Duration {
	if t.requestLimits == nil {
		return 0
	}
	return t.requestLimits().IdleTime
}

// maxIdle is how long a connection is left in a state where there is room.
func (t *connTable) maxIdle(e *entry, s connState) time.Duration {
	switch {
	case t.requestLimits == nil || s == stateLingering:
		return defaultMaxIdle[s]
	case s == stateReading:
		return max(defaultMaxIdle[s], t.requestLimits().HeadTime)
	}
	return cmp.Or(max(e.idleTimeout, t.idleTimeout()), defaultMaxIdle[s])
}

// sweep removes the connections that are idle beyond the limits and returns them; the caller closes them. If some stay
// idle, again is when the next sweep is due at the latest; 0: none do.
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

// evictForNew makes room for one more connection: it removes the ones to close for that, or, if there are none, returns
// how long to wait before another attempt.
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

// removeIdle removes the connections that have had no open request for minIdle. One whose first request may be on its
// way is left for newConnGrace.
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

// removeLongestIdle removes the connection that has been in a state for longest, if that is minIdle at least or, with a
// minIdle of 0, all the time that it may be; otherwise it returns how long to wait for that. Where owners have shares,
// one whose owner is within its share is left alone: the longest idle ones would be the spare connections of a quiet
// pool, closed for those that a flooded one uses all the time.
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
				element = next // one of another owner may have to wait for less
				continue
			}
			return nil, wait
		}
		if s != stateLingering && s != stateReading && t.hasInput(e) {
			e.since = now // it counts as newly idle until its input is recorded
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

// requiredIdle is how long a connection has to be in a state before removeLongestIdle removes it.
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
	e.use = max(e.use, stateHealthCheck)
	t.pushIdle(now, e, e.use)
}

// markReading records that a part of the request on a connection is still to come.
func (t *connTable) markReading(now time.Duration, e *entry) { t.pushIdle(now, e, stateReading) }

// markProgress records that progressBytes of the request on a connection came: it is slow, not stuck, and others have
// been without progress for longer.
func (t *connTable) markProgress(now time.Duration, e *entry) {
	if e.element != nil && e.state == stateReading {
		e.since = now
		t.idle[stateReading].MoveToBack(e.element)
	}
}

// markLingering records that a connection has its last response, while its client may still send.
func (t *connTable) markLingering(now time.Duration, e *entry) { t.pushIdle(now, e, stateLingering) }

func (t *connTable) pushIdle(now time.Duration, e *entry, s connState) {
	if e.removed || e.element != nil {
		return
	}
	e.since, e.state, e.idleTimeout = now, s, t.idleTimeout()
	e.element = t.idle[s].PushBack(e)
}

// markBusy records that something has come on an idle connection, or all of a request on one that is being read.
func (t *connTable) markBusy(e *entry) {
	if e.element == nil {
		return
	}
	t.idle[e.state].Remove(e.element)
	e.element = nil
}

// markRequest records that a connection has sent a request that can be accepted.
func (t *connTable) markRequest(e *entry) {
	t.markBusy(e)
	e.use = min(max(e.use+1, stateUsedOnce), stateReused)
}

// remove removes a connection. A second call does nothing.
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

func (t *connTable) counters() Counters {
	c := t.counts
	c.Open = t.open
	for s := range stateCount {
		c.Rest[s] = t.idle[s].Len()
	}
	return c
}
