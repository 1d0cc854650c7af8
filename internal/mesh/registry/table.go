package registry

import (
	"slices"
	"time"

	"caperarch/internal/mesh/errs"
)

const (
	// LeaseTime is how long a lease lasts from its receipt. It guards against
	// counting a sidecar that is gone, and spans two lost renewals.
	LeaseTime = 2400 * time.Millisecond
	// StaleTime is how long an upstream that nobody vouches for is kept, so
	// that a sidecar cut off from the core is not taken for a dead upstream.
	StaleTime = 20 * time.Second
	// BuriedTime is how long the ids of gone instances and the order of lapsed
	// leases are remembered, against messages that come late.
	BuriedTime = 60 * time.Second
	// LargestTime is how far back Largest looks.
	LargestTime = 30 * time.Second
	// MaxLeases bounds the leases and the upstreams held, against memory taken
	// by invented names. It is over three times the largest fleet foreseen.
	MaxLeases = 8192
	// maxBuried bounds the ids of gone instances that are remembered.
	maxBuried = 8192
	// maxLog bounds the changes kept for Since; who is further behind gets all.
	maxLog = 1024
	// warmupShift is how far the end of a warm-up must move to be a change; a
	// smaller move is the delay of messages.
	warmupShift = time.Second
)

// lease is a lease as held: live until it lapses or the sidecar leaves, then
// only its order is remembered.
type lease struct {
	Lease
	warmupEnd time.Duration
	body      uint64
	until     time.Duration
	live      bool
}

// entry is an upstream as held. It is vouched for until the given time.
type entry struct {
	Upstream
	warmupEnd time.Duration
	until     time.Duration
}

// grave remembers a gone instance. A final one is never taken back; one that
// was only replaced is, should a later beat of it be heard.
type grave struct {
	sequence int64
	final    bool
	until    time.Duration
}

// change is one numbered change: what it was is read from the entries.
type change struct {
	instance, service string
}

// Removal names an upstream that is no longer listed.
type Removal struct {
	Instance, Service string
}

// News is what changed in a table since a number of its epoch. If Full, the
// Upserts are all there is and replace what was held.
type News struct {
	Epoch    uint64
	Number   uint64
	Full     bool
	Upserts  []Upstream
	Removals []Removal
}

type second struct {
	at    int64
	count int
}

// Table holds the leases and the upstreams. It is not safe for concurrent use.
type Table struct {
	epoch     uint64
	number    uint64
	log       []change // the last changes; the newest has the table's number
	leases    map[string]*lease
	entries   map[string]*entry
	byNode    map[string]string
	byAddress map[string]string
	graves    map[string]grave
	live      int
	applied   map[int64]int // live leases by version applied
	recent    [LargestTime/time.Second + 1]second
}

// New makes an empty table. The epoch must differ from that of every other
// table and be above zero: numbers of one epoch mean nothing in another.
func New(epoch uint64) *Table {
	return &Table{
		epoch:     epoch,
		leases:    map[string]*lease{},
		entries:   map[string]*entry{},
		byNode:    map[string]string{},
		byAddress: map[string]string{},
		graves:    map[string]grave{},
		applied:   map[int64]int{},
	}
}

// Renew takes a lease received here from its sidecar. It reports whether more
// than the time changed, that is, whether other members need to see it now.
// A lease that is not newer than the one held is passed over.
func (t *Table) Renew(now time.Duration, l Lease) (changed bool, err error) {
	if err := l.Check(); err != nil {
		return false, err
	}
	if t.leases[l.Node] == nil && len(t.leases) >= MaxLeases {
		return false, errs.New(errs.Busy, "this member holds %d leases and takes no new node", MaxLeases)
	}
	return t.take(now, l, LeaseTime), nil
}

// Merge takes leases that other members hold, each with its remaining time
// there. It gives the nodes whose lease was newer than the one held here.
// Leases that Check refuses, or for which there is no room, are passed over.
func (t *Table) Merge(now time.Duration, leases []Remote) (newer []string) {
	for _, r := range leases {
		if r.Lease.Check() != nil || (t.leases[r.Lease.Node] == nil && len(t.leases) >= MaxLeases) {
			continue
		}
		if !t.isNewer(r.Lease) {
			continue
		}
		t.take(now, r.Lease, min(max(r.Remaining, 0), LeaseTime))
		newer = append(newer, r.Lease.Node)
	}
	return newer
}

// Extend takes renewals of leases that another member holds. It gives the
// nodes that were newer than held here, and those whose lease must be sent
// whole, since what is held here is older than what was renewed.
func (t *Table) Extend(now time.Duration, renewals []Renewal) (newer, unknown []string) {
	for _, r := range renewals {
		held := t.leases[r.Node]
		switch {
		case held == nil || held.Life < r.Life || (held.Life == r.Life && held.Sequence < r.Body):
			unknown = append(unknown, r.Node)
		case held.Life == r.Life && held.Sequence < r.Sequence && !held.Left:
			l := held.Lease
			l.Sequence = r.Sequence
			if l.Upstream != nil {
				up := *l.Upstream
				up.WarmupRemaining = remaining(held.warmupEnd, now)
				l.Upstream = &up
			}
			t.take(now, l, min(max(r.Remaining, 0), LeaseTime))
			newer = append(newer, r.Node)
		}
	}
	return newer, unknown
}

func (t *Table) isNewer(l Lease) bool {
	held := t.leases[l.Node]
	if held == nil || l.Life != held.Life {
		return held == nil || l.Life > held.Life
	}
	return l.Sequence > held.Sequence && !held.Left
}

func (t *Table) take(now time.Duration, l Lease, lasts time.Duration) (changed bool) {
	if !t.isNewer(l) {
		return false
	}
	held := t.leases[l.Node]
	if held == nil {
		held = &lease{}
		t.leases[l.Node] = held
		changed = true
	} else {
		changed = !held.live || held.Life != l.Life || held.Zone != l.Zone || held.Applied != l.Applied ||
			held.Leaving != l.Leaving || held.Left != l.Left
		t.count(now, held, false)
	}
	end := time.Duration(0)
	if l.Upstream != nil {
		up := *l.Upstream
		up.Node = l.Node
		up.Stale = false
		l.Upstream = &up
		end = now + seconds(up.WarmupRemaining)
		if held.Upstream != nil && held.Upstream.Instance == up.Instance && held.Upstream.Sequence == up.Sequence {
			end = held.warmupEnd
		}
		changed = changed || held.Upstream == nil || !alike(held.Upstream, &up) || moved(now, held.warmupEnd, end)
	} else {
		changed = changed || held.Upstream != nil
	}
	if changed {
		held.body = l.Sequence
	}
	held.Lease, held.warmupEnd, held.until = l, end, now+lasts
	if l.Left {
		held.until = now + BuriedTime
		if inst, ok := t.byNode[l.Node]; ok {
			t.bury(now, inst, false)
		}
		return changed
	}
	t.count(now, held, true)
	if l.Upstream != nil {
		t.put(now, *l.Upstream, held.until, false)
	}
	return changed
}

// Beat takes an upstream's beat that reached a core member directly. It
// reports whether the beat was taken; an older or a repeated one is not.
func (t *Table) Beat(now time.Duration, up Upstream) (taken bool, err error) {
	if err := up.Check(); err != nil {
		return false, err
	}
	return t.BeatFor(now, up, LeaseTime), nil
}

// BeatFor is Beat for a beat that another member received, with the time it
// still counts. A beat that Check refuses is not taken, and one whose time is
// over replaces no other instance.
func (t *Table) BeatFor(now time.Duration, up Upstream, lasts time.Duration) (taken bool) {
	if up.Check() != nil {
		return false
	}
	if e := t.entries[up.Instance]; e != nil && up.State != Gone {
		if up.Sequence <= e.Sequence {
			return false
		}
		up.Node, up.Inbound = orElse(up.Node, e.Node), orElse(up.Inbound, e.Inbound)
		up.Zone, up.Region = orElse(up.Zone, e.Zone), orElse(up.Region, e.Region)
	} else if e := t.entries[t.byAddress[up.Address]]; e != nil && up.Address != "" && up.State != Gone {
		// A new instance at a known address stands beside the same sidecar. An
		// instance that was replaced there comes back only if the place is not
		// vouched for.
		if _, buried := t.graves[up.Instance]; buried && !e.Stale {
			return false
		}
		up.Node, up.Inbound = orElse(up.Node, e.Node), orElse(up.Inbound, e.Inbound)
		up.Zone, up.Region = orElse(up.Zone, e.Zone), orElse(up.Region, e.Region)
	}
	if lasts <= 0 && up.State != Gone {
		for _, other := range [...]string{t.byNode[up.Node], t.byAddress[up.Address]} {
			if other != "" && other != up.Instance {
				return false
			}
		}
	}
	up.Stale = false
	return t.put(now, up, now+min(max(lasts, 0), LeaseTime), true)
}

// put lists an upstream that is vouched for until the given time, and numbers
// the change if there is one to see.
func (t *Table) put(now time.Duration, up Upstream, until time.Duration, direct bool) (taken bool) {
	if up.State == Gone {
		g, known := t.graves[up.Instance]
		if known && g.final {
			return false
		}
		t.bury(now, up.Instance, true)
		return true
	}
	if g, buried := t.graves[up.Instance]; buried && (g.final || up.Sequence <= g.sequence) {
		return false
	}
	held := t.entries[up.Instance]
	if held == nil && len(t.entries) >= MaxLeases {
		return false
	}
	end := now + seconds(up.WarmupRemaining)
	if held != nil {
		if up.Sequence < held.Sequence || (up.Sequence == held.Sequence && up.Node != held.Node && !held.Stale) {
			if up.Node == held.Node && !direct {
				t.vouch(held, until)
			}
			return false
		}
		if up.Sequence == held.Sequence {
			end = held.warmupEnd
		}
	}
	for _, other := range [...]string{t.byNode[up.Node], t.byAddress[up.Address]} {
		if other != "" && other != up.Instance {
			t.bury(now, other, false)
		}
	}
	delete(t.graves, up.Instance)
	fresh := &entry{Upstream: up, warmupEnd: end, until: until}
	if held != nil {
		fresh.until = max(until, held.until)
		t.unindex(held)
	}
	t.entries[up.Instance] = fresh
	if up.Node != "" {
		t.byNode[up.Node] = up.Instance
	}
	if up.Address != "" {
		t.byAddress[up.Address] = up.Instance
	}
	if held != nil && held.Service != up.Service {
		t.changed(up.Instance, held.Service)
	}
	if held == nil || !alike(&held.Upstream, &up) || moved(now, held.warmupEnd, end) {
		t.changed(up.Instance, up.Service)
	}
	return true
}

// vouch keeps an entry from going stale, or takes it back from there.
func (t *Table) vouch(e *entry, until time.Duration) {
	e.until = max(e.until, until)
	if e.Stale {
		e.Stale = false
		t.changed(e.Instance, e.Service)
	}
}

// bury removes an instance and remembers it as gone.
func (t *Table) bury(now time.Duration, instance string, final bool) {
	g, known := t.graves[instance]
	g.final, g.until = g.final || final, now+BuriedTime
	if e := t.entries[instance]; e != nil {
		g.sequence = e.Sequence
		t.remove(e)
	}
	if !known && len(t.graves) >= maxBuried {
		first := ""
		for id, o := range t.graves {
			if first == "" || o.until < t.graves[first].until {
				first = id
			}
		}
		delete(t.graves, first)
	}
	t.graves[instance] = g
}

func (t *Table) remove(e *entry) {
	t.unindex(e)
	delete(t.entries, e.Instance)
	t.changed(e.Instance, e.Service)
}

func (t *Table) unindex(e *entry) {
	if t.byNode[e.Node] == e.Instance {
		delete(t.byNode, e.Node)
	}
	if t.byAddress[e.Address] == e.Instance {
		delete(t.byAddress, e.Address)
	}
}

func (t *Table) changed(instance, service string) {
	t.number++
	if len(t.log) >= 2*maxLog {
		t.log = slices.Delete(t.log, 0, maxLog)
	}
	t.log = append(t.log, change{instance, service})
}

// count enters a lease among the live ones or takes it out.
func (t *Table) count(now time.Duration, l *lease, live bool) {
	if l.live == live {
		return
	}
	l.live = live
	if live {
		t.live++
		t.applied[l.Applied]++
		t.note(now)
		return
	}
	t.live--
	if t.applied[l.Applied]--; t.applied[l.Applied] == 0 {
		delete(t.applied, l.Applied)
	}
}

func (t *Table) note(now time.Duration) {
	at := int64(now / time.Second)
	s := &t.recent[at%int64(len(t.recent))]
	if s.at != at {
		*s = second{at: at}
	}
	s.count = max(s.count, t.live)
}

// Expire lets leases lapse, flags and drops the upstreams that nobody vouches
// for, and forgets old graves. Counts and flags are as of the last call.
func (t *Table) Expire(now time.Duration) {
	for node, l := range t.leases {
		if l.live && l.until <= now {
			t.count(now, l, false)
		}
		if !l.live && l.until+BuriedTime <= now {
			delete(t.leases, node)
		}
	}
	for _, e := range t.entries {
		if e.until+StaleTime <= now {
			t.remove(e)
		} else if !e.Stale && e.until <= now {
			e.Stale = true
			t.changed(e.Instance, e.Service)
		}
	}
	for instance, g := range t.graves {
		if g.until <= now {
			delete(t.graves, instance)
		}
	}
	t.note(now)
}

// Members is the number of live leases.
func (t *Table) Members() int { return t.live }

// Largest is the largest number of live leases of the last LargestTime.
func (t *Table) Largest(now time.Duration) int {
	most, at := t.live, int64(now/time.Second)
	for _, s := range t.recent {
		if s.at > at-int64(LargestTime/time.Second) {
			most = max(most, s.count)
		}
	}
	return most
}

// Behind is the number of live leases whose sidecar has not applied the given
// configuration version yet.
func (t *Table) Behind(version int64) int {
	behind := 0
	for applied, n := range t.applied {
		if applied < version {
			behind += n
		}
	}
	return behind
}

// Epoch names this table's numbering, and Number is that of its last change.
func (t *Table) Epoch() uint64 { return t.epoch }

// Number is the number of the last change of this epoch.
func (t *Table) Number() uint64 { return t.number }

// Upstreams lists all upstreams as of now, in the order of their instances.
func (t *Table) Upstreams(now time.Duration) []Upstream {
	ups := make([]Upstream, 0, len(t.entries))
	for _, e := range t.entries {
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

// Since gives what changed after a number of an epoch, and everything when the
// epoch is another one or the number is too old. Keep says which services the
// reader wants; nil keeps all.
func (t *Table) Since(now time.Duration, epoch, number uint64, keep func(service string) bool) News {
	news := News{Epoch: t.epoch, Number: t.number}
	if epoch != t.epoch || number > t.number || t.number-number > uint64(min(len(t.log), maxLog)) {
		news.Full = true
		for _, e := range t.entries {
			if keep == nil || keep(e.Service) {
				news.Upserts = append(news.Upserts, e.at(now))
			}
		}
		return news
	}
	missed := t.log[len(t.log)-int(t.number-number):]
	seen := make(map[change]bool, len(missed))
	for _, c := range missed {
		if seen[c] || (keep != nil && !keep(c.service)) {
			continue
		}
		seen[c] = true
		if e := t.entries[c.instance]; e != nil && e.Service == c.service {
			news.Upserts = append(news.Upserts, e.at(now))
		} else if e == nil || (keep != nil && !keep(e.Service)) {
			news.Removals = append(news.Removals, Removal{c.instance, c.service})
		}
	}
	return news
}

// Remote gives a node's lease for another member, or false if none is held.
// A sidecar that left is among them, so that others hear of it.
func (t *Table) Remote(now time.Duration, node string) (Remote, bool) {
	l := t.leases[node]
	if l == nil || (!l.live && !l.Left) {
		return Remote{}, false
	}
	r := Remote{Lease: l.Lease, Remaining: max(l.until-now, 0)}
	if l.Upstream != nil {
		up := *l.Upstream
		up.WarmupRemaining = remaining(l.warmupEnd, now)
		r.Lease.Upstream = &up
	}
	return r, true
}

// Renewal gives a node's lease as a renewal, or false if none is live.
func (t *Table) Renewal(now time.Duration, node string) (Renewal, bool) {
	l := t.leases[node]
	if l == nil || !l.live {
		return Renewal{}, false
	}
	return Renewal{Node: node, Life: l.Life, Sequence: l.Sequence, Body: l.body, Remaining: max(l.until-now, 0)}, true
}

// Roll lists all leases for a member that starts.
func (t *Table) Roll(now time.Duration) []Remote {
	all := make([]Remote, 0, len(t.leases))
	for node := range t.leases {
		if r, ok := t.Remote(now, node); ok {
			all = append(all, r)
		}
	}
	return all
}

// Unleased lists what Roll does not tell: the upstreams that no live lease
// vouches for, and the instances that are gone for good.
func (t *Table) Unleased(now time.Duration) []Vouched {
	var all []Vouched
	for instance, e := range t.entries {
		if l := t.leases[e.Node]; l == nil || !l.live || l.Upstream == nil || l.Upstream.Instance != instance {
			all = append(all, Vouched{e.at(now), max(e.until-now, 0)})
		}
	}
	for instance, g := range t.graves {
		if g.final {
			all = append(all, Vouched{Upstream: Upstream{Instance: instance, State: Gone}})
		}
	}
	return all
}

func (e *entry) at(now time.Duration) Upstream {
	up := e.Upstream
	up.WarmupRemaining = remaining(e.warmupEnd, now)
	return up
}

// alike says whether two upstreams look the same to others, warm-up aside.
func alike(a, b *Upstream) bool {
	x, y := *a, *b
	x.Sequence, x.WarmupRemaining = y.Sequence, y.WarmupRemaining
	return x == y
}

// moved says whether the end of a warm-up moved by more than delays explain.
func moved(now, before, after time.Duration) bool {
	before, after = max(before, now), max(after, now)
	return max(before-after, after-before) > warmupShift
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func remaining(end, now time.Duration) float64 { return max(end-now, 0).Seconds() }

func orElse(s, other string) string {
	if s != "" {
		return s
	}
	return other
}
