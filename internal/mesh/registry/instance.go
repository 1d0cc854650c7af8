package registry

import (
	"slices"
	"time"
)

// entry is an upstream as held. It is vouched for until the given time.
type entry struct {
	Upstream
	warmupEnd time.Duration
	until     time.Duration
}

// tombstone remembers a gone instance. A final one is never taken back; one that
// was only replaced is, should a later beat of it be heard.
type tombstone struct {
	sequence int64
	final    bool
	lapsed   bool // nobody vouched for it any longer
	until    time.Duration
}

// refuses says whether a word of the instance is too old to bring it back. A
// sidecar's lease may repeat the last one of an instance that only lapsed; a
// heartbeat that comes twice may not.
func (g tombstone) rejects(sequence int64, heartbeat bool) bool {
	if g.final || sequence < g.sequence {
		return true
	}
	return sequence == g.sequence && (heartbeat || !g.lapsed)
}

// Heartbeat takes an upstream's beat that reached a core member directly. It
// reports whether the beat was taken; an older or a repeated one is not.
func (t *Table) Heartbeat(now time.Duration, up Upstream) (taken bool, err error) {
	if err := up.Check(); err != nil {
		return false, err
	}
	return t.RelayedHeartbeat(now, up, LeaseTTL), nil
}

// RelayedHeartbeat is Beat for a beat that another member received, with the time it
// still counts; below zero it says for how long nobody has vouched for the
// upstream. A beat that Check refuses is not taken, nor one whose upstream would
// have been dropped by now, and one whose time is over replaces no other
// instance.
func (t *Table) RelayedHeartbeat(now time.Duration, up Upstream, validFor time.Duration) (taken bool) {
	if up.Check() != nil {
		return false
	}
	if e := t.upstreams[up.Instance]; e != nil && up.State != Deregistered {
		if up.Sequence <= e.Sequence {
			return false
		}
		up.Node, up.Inbound = orElse(up.Node, e.Node), orElse(up.Inbound, e.Inbound)
		up.Zone, up.Region = orElse(up.Zone, e.Zone), orElse(up.Region, e.Region)
	} else if e := t.upstreams[t.instanceByAddress[up.Address]]; e != nil && up.Address != "" && up.State != Deregistered {
		// A new instance at a known address stands beside the same sidecar. An
		// instance that was replaced there comes back only if the place is not
		// vouched for.
		if _, buried := t.tombstones[up.Instance]; buried && !e.Stale {
			return false
		}
		up.Node, up.Inbound = orElse(up.Node, e.Node), orElse(up.Inbound, e.Inbound)
		up.Zone, up.Region = orElse(up.Zone, e.Zone), orElse(up.Region, e.Region)
	}
	if validFor <= 0 && up.State != Deregistered {
		for _, other := range [...]string{t.instanceByNode[up.Node], t.instanceByAddress[up.Address]} {
			if other != "" && other != up.Instance {
				return false
			}
		}
	}
	if validFor <= -StaleTTL && up.State != Deregistered {
		return false
	}
	return t.upsert(now, up, now+min(validFor, LeaseTTL), true)
}

// put lists an upstream that is vouched for until the given time, and numbers
// the change if there is one to see.
func (t *Table) upsert(now time.Duration, up Upstream, until time.Duration, direct bool) (taken bool) {
	if up.State == Deregistered {
		g, known := t.tombstones[up.Instance]
		if known && g.final {
			return false
		}
		t.remove(now, up.Instance, true)
		return true
	}
	if g, buried := t.tombstones[up.Instance]; buried && g.rejects(up.Sequence, direct) {
		return false
	}
	held := t.upstreams[up.Instance]
	if held == nil && len(t.upstreams) >= MaxLeases {
		return false
	}
	end := now + duration(up.WarmupRemaining)
	if held != nil {
		if up.Sequence < held.Sequence || (up.Sequence == held.Sequence && up.Node != held.Node && !held.Stale) {
			if up.Node == held.Node && !direct {
				t.refresh(held, until)
			}
			return false
		}
		if up.Sequence == held.Sequence {
			end = held.warmupEnd
		}
	}
	for _, other := range [...]string{t.instanceByNode[up.Node], t.instanceByAddress[up.Address]} {
		if other != "" && other != up.Instance {
			t.remove(now, other, false)
		}
	}
	delete(t.tombstones, up.Instance)
	if held != nil {
		until = max(until, held.until)
		t.unindex(held)
	}
	up.Stale = until <= now
	fresh := &entry{Upstream: up, warmupEnd: end, until: until}
	t.upstreams[up.Instance] = fresh
	if up.Node != "" {
		t.instanceByNode[up.Node] = up.Instance
	}
	if up.Address != "" {
		t.instanceByAddress[up.Address] = up.Instance
	}
	if held != nil && held.Service != up.Service {
		t.recordChange(up.Instance, held.Service)
	}
	if held == nil || !sameExceptWarmup(&held.Upstream, &up) || warmupMoved(now, held.warmupEnd, end) {
		t.recordChange(up.Instance, up.Service)
	}
	return true
}

// vouch keeps an entry from going stale, or takes it back from there.
func (t *Table) refresh(e *entry, until time.Duration) {
	e.until = max(e.until, until)
	if e.Stale {
		e.Stale = false
		t.recordChange(e.Instance, e.Service)
	}
}

// bury removes an instance and remembers it as gone.
func (t *Table) remove(now time.Duration, instance string, final bool) {
	g, known := t.tombstones[instance]
	g.final, g.lapsed, g.until = g.final || final, false, now+TombstoneTTL
	if e := t.upstreams[instance]; e != nil {
		g.sequence = e.Sequence
		t.deleteEntry(e)
	}
	if !known && len(t.tombstones) >= maxTombstones {
		first := ""
		for id, o := range t.tombstones {
			if first == "" || o.until < t.tombstones[first].until {
				first = id
			}
		}
		delete(t.tombstones, first)
	}
	t.tombstones[instance] = g
}

// lapse removes an instance that nobody vouches for, and remembers its order.
func (t *Table) expire(now time.Duration, instance string) {
	t.remove(now, instance, false)
	g := t.tombstones[instance]
	g.lapsed = true
	t.tombstones[instance] = g
}

func (t *Table) deleteEntry(e *entry) {
	t.unindex(e)
	delete(t.upstreams, e.Instance)
	t.recordChange(e.Instance, e.Service)
}

func (t *Table) unindex(e *entry) {
	if t.instanceByNode[e.Node] == e.Instance {
		delete(t.instanceByNode, e.Node)
	}
	if t.instanceByAddress[e.Address] == e.Instance {
		delete(t.instanceByAddress, e.Address)
	}
}

// Upstreams lists all upstreams as of now, in the order of their instances.
func (t *Table) Upstreams(now time.Duration) []Upstream {
	ups := make([]Upstream, 0, len(t.upstreams))
	for _, e := range t.upstreams {
		ups = append(ups, e.at(now))
	}
	slices.SortFunc(ups, func(a, b Upstream) int {
		if a.Instance < b.Instance {
			return -1
		}
		return 1
	})
	return ups
}

// Unleased lists what Roll does not tell: the upstreams that no live lease
// vouches for, and the instances that are gone for good.
func (t *Table) Unleased(now time.Duration) []UpstreamReport {
	var all []UpstreamReport
	for instance, e := range t.upstreams {
		if e.until+StaleTTL <= now {
			continue
		}
		if l := t.leases[e.Node]; l == nil || !l.isLive(now) || l.Upstream == nil || l.Upstream.Instance != instance {
			all = append(all, UpstreamReport{e.at(now), e.until - now})
		}
	}
	for instance, g := range t.tombstones {
		if g.final {
			all = append(all, UpstreamReport{Upstream: Upstream{Instance: instance, State: Deregistered}})
		}
	}
	return all
}

func (e *entry) at(now time.Duration) Upstream {
	up := e.Upstream
	up.WarmupRemaining = remainingSeconds(e.warmupEnd, now)
	return up
}

// alike says whether two upstreams look the same to others, warm-up aside.
func sameExceptWarmup(a, b *Upstream) bool {
	x, y := *a, *b
	x.Sequence, x.WarmupRemaining = y.Sequence, y.WarmupRemaining
	return x == y
}

// moved says whether the end of a warm-up moved by more than delays explain.
func warmupMoved(now, before, after time.Duration) bool {
	before, after = max(before, now), max(after, now)
	return max(before-after, after-before) > warmupTolerance
}

func duration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func remainingSeconds(end, now time.Duration) float64 { return max(end-now, 0).Seconds() }

func orElse(s, other string) string {
	if s != "" {
		return s
	}
	return other
}
