// The interface is api.go, sizes are in sizing.go; every decision is here: start, events, compartments,
// the gate that all sends pass, server choice and health, list, reports, endings.

package policy

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"caperarch/internal/proxy/admission"
	"caperarch/internal/proxy/slowstart"
)

const (
	busyTick = 10 * time.Millisecond  // how often open requests are looked at
	idleTick = 100 * time.Millisecond // and the rest when none is open

	slotAim     = 0.12 // slots hold a quota's traffic for this share of the aim (deriveSlots)
	serverSlots = 3.0  // slots for each server first listed, where no quota is known

	rateOver   = 30 * time.Second       // our traffic is measured over about this long,
	rateBegin  = 5.0                    // s: and taken for the even one for so long before we began
	fewest     = 4                      // turns are taken among at least this many servers
	toldFor    = 50 * time.Millisecond  // a load report is good for this long
	askWait    = 30 * time.Millisecond  // a request waits this long for one
	askMost    = 3                      // and asks so many servers at most
	crowdedAt  = 0.3                    // a server that takes this share of the aim to answer is crowded
	partRoom   = 2.0                    // it is full at its part of all balancers' requests and so many more
	farTurns   = 0.25                   // other zones' servers have this share of turns, if crossing is priced
	failStrain = 8.0                    // a failure counts as an answer that took so many times the usual
	failPause  = 20 * time.Millisecond  // no turns for this after a second failure in a row, then doubled
	failDouble = 5                      // up to so many times
	firstSpace = 8 * time.Millisecond   // between sends to a server that turned one away, then doubled
	lastSpace  = 256 * time.Millisecond // up to this,
	shortMost  = 1.5                    // the others hold so many times as much then, at most
	spaceBack  = 6                      // and shorter by a sixth with each that it serves
)

// Start begins the Balancer's life; it must be the first event.
func (b *Balancer) Start(now time.Duration) {
	if b.cfg.ListOnDemand {
		b.asking.Start(now)
	}
	b.ask(now)
	b.came.Recent(now)                                               // it begins
	b.sampleAt = now + time.Duration(b.rng.Int64N(int64(4*toldFor))) // not all balancers at once
	b.wake(now, idleTick)
}

// Request takes a request on. It is answered once, by an Outcome that settles it or through the
// Host, before its time left is up. An id still held is passed over; one unusable is refused.
func (b *Balancer) Request(now time.Duration, q Request) {
	if _, held := b.requests[q.ID]; held {
		return
	}
	b.budget.RecordRequest(now)
	if !b.known(&q) {
		b.count.Refused++
		b.host.Refuse(q.ID, 0)
		return
	}
	r := &request{id: q.ID, class: &b.classes[q.Class], home: &b.parts[q.Tenant]}
	r.deadline = now + min(q.TimeLeft, time.Hour)
	r.useful, r.wanted = r.deadline, min(r.deadline, now+r.class.LatencyTarget)
	if stretch := r.class.TargetPerWork; r.class.LateValue == 0 && (stretch == 0 || q.Work > 0) {
		begun := now // the first try; a later one has less time left, or waits less for good
		r.class.longest = max(q.TimeLeft, r.class.longest-(r.class.longest-q.TimeLeft)/64)
		if (q.IsRetry || !b.cfg.ClientsMarkRetries) && q.TimeLeft < r.class.longest-2*busyTick {
			begun = min(now, r.deadline-r.class.Deadline)
		}
		r.useful = min(r.deadline, begun+r.class.LatencyTarget+time.Duration(stretch*float64(q.Work)))
	}
	if r.class.InOrder && q.Key != 0 {
		r.line = b.lines.Add(now, q.Key, r, len(b.requests))
	}
	b.requests[r.id] = r
	b.open = append(b.open, r)
	b.wake(now, busyTick)
	b.came.Record(now)
	if !q.IsRetry {
		b.wall.RecordRequest(now)
	}
	if b.want(now) != b.wanted {
		b.cut(now)
	}
	if !r.home.gate.Admit(now, r.class.Value/b.worth) {
		b.count.Throttled++
		b.finish(r)
		return
	}
	b.place(now, r)
}

// place sends a request, or lets it wait, or refuses it.
func (b *Balancer) place(now time.Duration, r *request) {
	if b.inquire(now, r) {
		return
	}
	if now > r.lateIn() { // late, or as good as: it takes nothing from others
		r.useful = r.deadline
		if b.wall.Congested() || !b.dispatch(now, r) {
			b.count.Late++
			b.finish(r)
		}
		return
	}
	if b.dispatch(now, r) {
		return
	}
	if len(r.home.queue) >= r.home.places { // full: refuse promptly
		b.finish(r)
		return
	}
	b.count.Queued++
	r.home.queue = append(r.home.queue, r)
}

// Outcome takes the end of an attempt. What is unknown or came before is passed over.
func (b *Balancer) Outcome(now time.Duration, o Outcome) {
	r := b.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].state != inFlight {
		return
	}
	a := &r.attempts[o.Attempt]
	a.state, a.broke = mayHaveRun, o.Ending == ConnectionLost
	if o.Ending == NotProcessed || o.Ending == NoConnection || o.Ending == NotSent {
		a.state = neverRan
	}
	b.hold(r, a.to, -1)
	e := admission.AttemptEnd{Duration: now - a.sent, LatencyTarget: r.class.LatencyTarget}
	e.Ignored = r.over || o.Ending == NotSent
	if o.Ending == Served && now <= r.wanted {
		e.Score = min(1, 2*float64(r.wanted-now)/float64(r.class.LatencyTarget))
	}
	r.home.gate.AttemptEnded(now, e)
	if o.Ending == TimedOut || o.Ending == ConnectionLost || o.Ending == Cancelled {
		r.line.BlockUntil(now + b.cfg.KeyBlockTime)
	}
	if a.to.State != Ready {
		b.close(now, a.to)
	}
	b.judge(now, r, a, o.Ending)
	switch {
	case r.over && r.out == 0:
		b.forget(r)
	case !r.over && (o.Finished || o.Ending == Served || r.begun):
		b.settle(r)
	case !r.over && o.Ending == InvalidRequest: // it would be everywhere
		b.count.Failed++
		b.host.Fail(r.id)
		b.settle(r)
	case !r.over && r.out == 0:
		b.further(now, r)
	}
	b.feed(now)
}

// Wake takes that a time asked for with Host.Wake has come.
func (b *Balancer) Wake(now time.Duration) {
	if now < b.wakeAt {
		return // an older timer
	}
	if n := max(b.cfg.Balancers, int(admission.ProcessCount(b.cfg.FleetSize))); n != b.sharers {
		b.resize(n)
	}
	if b.cfg.ArcStart != nil {
		if at := b.cfg.ArcStart(); at >= 0 && at < 1 && at != b.begins {
			b.begins = at
			b.cut(now)
		}
	}
	b.ask(now)
	b.count.Avoided = 0
	for _, s := range b.servers {
		if s.State == Ready && now < s.backAt {
			b.count.Avoided++
		}
	}
	if b.closeAt > 0 && now >= b.closeAt {
		b.closeAt = 0
		for _, s := range b.servers {
			if s.State == Draining {
				b.host.Close(s.ID)
			}
		}
	}
	b.feed(now)
	for _, r := range b.open {
		if r.asks != nil && !r.over && now >= r.asksUntil {
			r.asks.toldAt, r.asks.others = now, math.Inf(1) // it cannot even tell
			r.asks = nil
			b.place(now, r)
		}
		ends := now+2*max(busyTick, b.cfg.Tick) > r.deadline || now >= r.lateIn()
		waited := r.out == 0 && (ends || !r.mayRepeat(now, nil))
		if !r.begun && (waited || now >= r.deadline) {
			b.finish(r)
		}
	}
	b.open = slices.DeleteFunc(b.open, func(r *request) bool { return r.over })
	b.short = b.shortage()
	b.wakeAt = 0
	b.sample(now)
	if len(b.open) > 0 {
		b.wake(now, busyTick)
	}
	b.wake(now, idleTick)
	if b.closeAt > 0 {
		b.wake(now, b.closeAt-now)
	}
}

// lateIn is when a wait stops being worth it: servers would work for answers that come late.
func (r *request) lateIn() time.Duration {
	return r.useful - min(2*r.class.pace, r.class.LatencyTarget/2)
}

// dispatch sends a request if a slot of its compartment and a server are free.
func (b *Balancer) dispatch(now time.Duration, r *request) bool {
	if r.home.used >= r.home.slots {
		return false
	}
	if float64(b.out) >= b.wall.Limit(now, r.home.share, r.home.used) { // one each of many is a crowd too
		b.count.Held++
		return false
	}
	s := b.pick(now, r)
	return s != nil && b.send(now, r, s)
}

// further gives a request whose attempts have all failed another one, or ends it.
func (b *Balancer) further(now time.Duration, r *request) {
	late := now >= r.lateIn() || b.budget.Exhausted(now) || b.nowhere(now, r)
	if late || len(r.attempts) >= b.cfg.MaxAttempts || !r.mayRepeat(now, nil) {
		b.finish(r)
		return
	}
	if !b.dispatch(now, r) {
		r.home.queue = slices.Insert(r.home.queue, 0, r) // it has waited already: to the front
	}
}

// nowhere says that no server is left for a request: waiting for one would only use its client's time up.
func (b *Balancer) nowhere(now time.Duration, r *request) bool {
	left := func(s *server) bool { return s.State == Ready && !r.tried(s, true) && r.mayRepeat(now, s) }
	return !slices.ContainsFunc(b.servers, left)
}

// feed gives free slots to what waits, one compartment after the other.
func (b *Balancer) feed(now time.Duration) {
	b.feedFrom = (b.feedFrom + 1) % len(b.parts)
	for i := range b.parts {
		c := &b.parts[(b.feedFrom+i)%len(b.parts)]
		for n := 0; n < len(c.queue) && c.used < c.slots; {
			switch r := c.queue[n]; {
			case now >= r.lateIn():
				b.finish(r) // which takes it out of the queue
			case b.dispatch(now, r):
				c.queue = slices.Delete(c.queue, n, n+1)
			case len(r.attempts) == 0 && r.inTurn(now):
				n = len(c.queue) // it could go anywhere, so nothing behind it can go
			default:
				n++ // bound to where it has been, or behind its key: others may go
			}
		}
	}
}

// mayRepeat says whether the class allows an attempt now, on a server or (nil)
// on some server: what may have run must be dropped there if it comes again.
func (r *request) mayRepeat(now time.Duration, s *server) bool {
	first := r.ran()
	switch {
	case first == nil || r.class.Effect == Idempotent:
		return true
	case r.class.Effect == NonIdempotent || now >= first.sent+r.class.DedupWindow:
		return false
	case s == nil || r.class.Scope == ScopeAll:
		return true
	}
	return s.Zone == first.to.Zone && (r.class.Scope == ScopeZone || s.Cell == first.to.Cell)
}

// mayGo is the gate: whether the rules let a request go to a server now.
func (b *Balancer) mayGo(now time.Duration, r *request, s *server) bool {
	switch {
	case r.over || r.begun || now >= r.deadline || len(r.attempts) >= b.cfg.MaxAttempts:
		return false // rule 1, and the limit on attempts
	case s.State != Ready:
		return false // rule 3: at once, long before the grace is over
	case now < s.warmAt && now < s.coldAt:
		return false // rule 4
	case r.out > 0 || !r.mayRepeat(now, s):
		return false // rule 2: one attempt at a time (no second copies), and only where it may be repeated
	case !r.inTurn(now):
		return false // rule 5
	case len(r.attempts) > 0 && b.budget.Exhausted(now):
		return false // rule 6
	}
	return true
}

// inTurn says whether a request is the first of its key, and no earlier attempt may still run.
func (r *request) inTurn(now time.Duration) bool {
	return r.line.IsFirst(r) && (len(r.attempts) > 0 || !r.line.IsBlocked(now))
}

// close closes idle connections to a server that drains (rule 7): now and, as one may be opening, once more.
func (b *Balancer) close(now time.Duration, s *server) {
	if b.cfg.IdleCloseTime > 0 {
		b.host.Close(s.ID)
		b.closeAt = cmp.Or(b.closeAt, now+b.cfg.IdleCloseTime/2)
		b.wake(now, b.closeAt-now)
	}
}

// send is the one place that sends.
func (b *Balancer) send(now time.Duration, r *request, s *server) bool {
	if !b.mayGo(now, r, s) {
		return false
	}
	s.coldAt = now + b.coldGap(now, s)
	r.attempts = append(r.attempts, attempt{to: s, sent: now})
	if away, is := s.apart[r.home]; is { // spread, so that many balancers do not come at once
		away.nextAt = now + time.Duration(float64(away.by)*(0.5+b.rng.Float64()))
		s.apart[r.home] = away
	}
	b.hold(r, s, 1)
	r.home.gate.AttemptStarted(now)
	if len(r.attempts) > 1 {
		b.count.Retries++
		b.budget.RecordRetry(now)
	}
	if b.far(s) {
		b.count.Crossed++
	}
	b.host.Send(r.id, s.ID, b.patience(now, r))
	return true
}

// patience is how long an attempt is waited for; see Inquiry.Patience.
func (b *Balancer) patience(now time.Duration, r *request) time.Duration {
	whole, cut := r.useful-now, r.lateIn()-now-busyTick
	if r.class.Effect == Deduplicated {
		cut = min(cut, r.class.DedupWindow-2*busyTick)
	}
	if r.class.Effect == NonIdempotent || len(r.attempts) >= b.cfg.MaxAttempts || b.nowhere(now, r) {
		return whole
	}
	return b.inquiry.AttemptTimeout(whole, cut)
}

// coldGap spaces sends to a cold server, by our even part of what it can do now.
func (b *Balancer) coldGap(now time.Duration, s *server) time.Duration {
	rate := cmp.Or(b.quota/float64(b.sharers), float64(max(b.out, 1))/b.pace.Seconds())
	warmth := slowstart.Warmth(s.warmAt-now, b.cfg.SlowStartTime, b.cfg.SlowStartShare)
	warm := s.part * warmth / admission.ProcessCount(b.cfg.Processes)
	return slowstart.Gap(b.part(rate, s)*b.weight/max(b.reach, s.Weight)*warm, b.cfg.SlowStartOverload)
}

// pick is smooth weighted round robin over the ready servers: each is due again one over its
// weight after its last turn, and the one due first has its turn. It loses it while it holds its
// portion of our attempts, or if the request has been there already.
func (b *Balancer) pick(now time.Duration, r *request) *server {
	best, walled := b.turnOf(now, r, b.arc, false)
	if best == nil && r.ran() != nil { // bound to where it has been
		best, walled = b.turnOf(now, r, b.servers, false)
	}
	if best == nil && len(r.attempts) > 0 { // a connection broke there, no more is known against it
		best, walled = b.turnOf(now, r, b.servers, true)
	}
	if best == nil {
		return nil
	}
	b.turn = max(b.turn, best.due)
	best.due = b.turn + b.gap(now, best)
	switch {
	case walled:
		b.count.Walled++
	case len(r.attempts) == 0:
		b.count.Ordinary++
	}
	return best
}

// turnOf finds whose turn it is, and whether a server that holds its portion lost it. Those that the
// request has been to have none; with again, those where only its connection broke have one.
func (b *Balancer) turnOf(now time.Duration, r *request, in []*server, again bool) (best *server, wall bool) {
	lost := math.Inf(1)
	for _, s := range in {
		switch {
		case r.tried(s, again) || !b.mayGo(now, r, s):
		case now < max(s.backAt, s.apart[r.home].nextAt): // else one that turns all away draws them all
			lost = min(lost, s.due)
		case float64(s.out) >= b.portion(s) || b.fuller(now, r, s):
			lost = min(lost, s.due)
		case best == nil || s.due < best.due:
			best = s
		}
	}
	return best, best != nil && lost < best.due
}

// judge learns how a server fares: strain stretches the gap between its turns. It guards against any cause,
// slowness, errors, silence, refusals, a limit shared with others. The turns left show when it is well again.
func (b *Balancer) judge(now time.Duration, r *request, a *attempt, end Ending) {
	s, took, away := a.to, now-a.sent, a.to.apart[r.home]
	if end == Served || end == TimedOut && s.strain < failStrain/2 { // a strained one alone is no crowd
		x := float64(took) / float64(r.class.LatencyTarget)
		s.used += (x*x - s.used) / 8
		b.wall.RecordLatency(now, x)
	}
	x := failStrain
	switch end {
	case Cancelled, NotSent, InvalidRequest:
		return
	case Served:
		x = min(x, float64(took)/float64(r.class.pace))
		r.class.pace += (took - r.class.pace) / 16
		b.pace += (took - b.pace) / 32
		if s.silent > 0 && s.strain > failStrain/2 && now-s.silent > time.Second { // restarted, maybe
			s.warmAt = max(s.warmAt, now+b.cfg.SlowStartTime)
			b.host.Log(fmt.Sprintf("server %x answers again after %v", s.ID, now-s.silent))
		}
		s.silent, s.fails, s.backAt = 0, 0, 0
		if away.by -= away.by / spaceBack; away.by < firstSpace/2 {
			delete(s.apart, r.home)
		} else {
			s.apart[r.home] = away
		}
	case TimedOut, NoConnection:
		if s.silent == 0 && (end == TimedOut || s.fails > 0) { // one broken connection is no silence
			s.silent = now
		}
	}
	switch {
	case end == Served:
	case end == NotProcessed && a.sent < away.cutAt:
		return // it went out before the last one was known of: that was one word, not many
	case end == NotProcessed: // it takes so many a second, maybe: spaced, and felt for, rather than stopped
		away.cutAt, away.by = now, min(max(2*away.by, firstSpace), lastSpace)
		if s.apart == nil {
			s.apart = make(map[*compartment]apart)
		}
		s.apart[r.home] = away
	default:
		if s.fails++; s.fails > 1 || b.cfg.SuspectedDown != nil && b.cfg.SuspectedDown(s.ID) {
			s.backAt = max(s.backAt, now+failPause<<min(max(0, s.fails-2), failDouble))
		}
	}
	if before := s.strain; before < failStrain/2 && before+(x-before)/4 >= failStrain/2 {
		b.host.Log(fmt.Sprintf("server %x strained, %d attempts out", s.ID, s.out))
	}
	s.strain += (x - s.strain) / 4
}

// List takes news of the server list.
func (b *Balancer) List(now time.Duration, kind ListKind, entries []Server) {
	if kind == ListFailed {
		b.asking.Failed(now)
		return
	}
	switch {
	case kind != ListCached:
		b.asking.Subscribed()
	case len(entries) == 0:
		b.asking.AskNow(now)
	}
	if kind != ListDelta {
		b.allGone() // until the list names them
	}
	for _, e := range entries {
		b.enter(now, e)
	}
	b.servers = slices.DeleteFunc(b.servers, func(s *server) bool { return s.State == Deregistered })
	if b.mean == 0 {
		b.deriveSlots() // no quotas: the first list is all there is to go by
	}
	b.weigh(now)
	for _, s := range b.servers {
		if s.coldAt < 0 { // told at about the same time, balancers spread first sends, by the whole list
			s.coldAt = now + time.Duration(b.rng.Float64()*float64(b.coldGap(now, s)))
		}
	}
	b.feed(now)
}

// enter takes over one line of the list.
func (b *Balancer) enter(now time.Duration, e Server) {
	if !(e.Weight > 0) || math.IsInf(e.Weight, 0) {
		e.Weight = 1 // no weights, even turns
	}
	s := b.listed(e.ID)
	if e.Started > 0 && e.Started > s.Started { // cold, and nothing known of it holds any more
		warm := max(s.warmAt, e.Started+b.cfg.SlowStartTime)
		*s = server{Server: e, out: s.out, warmAt: warm, strain: 1, part: s.part, coldAt: -1}
	}
	s.Server = e
	if s.State == Draining {
		b.close(now, s)
	}
}

// ask asks for the list where that is due.
func (b *Balancer) ask(now time.Duration) {
	if b.cfg.ListOnDemand && b.asking.Due(now) {
		b.host.WatchList()
	}
}

// sample probes one server a few times in a row: reports that do not change as fast as they are used
// must not steer single sends. All balancers would crowd to where it was empty (i50e019).
func (b *Balancer) sample(now time.Duration) {
	if now < b.sampleAt || len(b.arc) == 0 || !b.inquiry.Comparing() {
		return
	}
	if b.sampled == nil || b.sampled.State != Ready {
		b.sampled = b.arc[b.rng.IntN(len(b.arc))]
	}
	b.sampleAt = now + toldFor
	b.host.Probe(b.sampled.ID)
	b.wake(now, toldFor)
}

// inquire asks the server whose turn it is what it holds, where its last word is old: among many
// balancers, what one has out there itself tells next to nothing.
func (b *Balancer) inquire(now time.Duration, r *request) bool {
	if r.asked >= askMost {
		return false
	}
	s, _ := b.turnOf(now, r, b.arc, false)
	if s == nil || !b.inquiry.ShouldProbe(s.strain) || (s.toldAt > 0 && now-s.toldAt < toldFor) {
		return false
	}
	r.asks, r.asksUntil, s.askedAt = s, now+askWait, now
	r.asked++
	b.host.Probe(s.ID)
	return true
}

// Probed takes the result of a probe.
func (b *Balancer) Probed(now time.Duration, id ServerID, ok bool, l Load) {
	s := b.server(id)
	told := s != nil && ok && l.Has&HasInFlight != 0
	again := s != nil && s == b.sampled && (!told || s.toldAt > 0 && now-s.toldAt >= toldFor)
	if again && b.inquiry.Comparing() {
		b.inquiry.Compare(told && l != s.load)
	}
	if told {
		s.toldAt, s.load, s.others = now, l, max(0, l.InFlight-float64(s.out))
	} else if s != nil && b.inquiry.ShouldProbe(s.strain) { // it can't tell: the turn is the next one's
		s.toldAt, s.others = now, math.Inf(1)
		if now-s.askedAt < askWait { // it said so at once: a connection broke, maybe, so that is soon forgotten
			s.toldAt -= 4 * toldFor
		}
	}
	if s != nil && b.inquiry.ProbesSuspect(s.strain) && b.fuller(now, nil, s) {
		s.due = b.turn + b.gap(now, s) // it had its turn
	}
	for _, r := range b.open {
		if s != nil && r.asks == s && !r.over {
			r.asks = nil
			b.place(now, r)
		}
	}
}

// fuller says that a server reports to hold its part of all balancers' requests, or that
// it has not reported and the request met only such ones.
func (b *Balancer) fuller(now time.Duration, r *request, s *server) bool {
	if s.toldAt == 0 || now-s.toldAt >= 5*toldFor {
		return b.inquiry.ProbesAll() && r.asked >= askMost
	}
	return s.others+float64(s.out) >= partRoom+b.part(b.mean, s)*b.short
}

// finish is the one place that answers: refused where that is true, failed where it is not.
func (b *Balancer) finish(r *request) {
	switch c := r.class; {
	case r.over:
		return
	case r.ran() == nil || c.Effect == Idempotent || c.Effect == Deduplicated && c.Scope == ScopeAll:
		b.count.Refused++
		pause := time.Duration((1 + b.rng.Float64()) * float64(b.pace)) // spread: not all at once
		b.host.Refuse(r.id, min(b.cfg.MaxRetryAfter, pause))
	default:
		b.count.Failed++
		b.host.Fail(r.id)
	}
	b.settle(r)
}

// settle closes a request that has its answer: out of the queue, attempts called off.
func (b *Balancer) settle(r *request) {
	r.over = true
	if i := slices.Index(r.home.queue, r); i >= 0 {
		r.home.queue = slices.Delete(r.home.queue, i, i+1)
	}
	for i := range r.attempts {
		if r.attempts[i].state == inFlight && b.cfg.MayCancel {
			b.host.Cancel(r.id, i)
		}
	}
	if r.out == 0 {
		b.forget(r)
	}
}
