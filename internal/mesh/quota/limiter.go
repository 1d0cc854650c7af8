package quota

import (
	"math"
	"math/rand/v2"
	"time"

	"caperarch/internal/mesh/errs"
)

const (
	// askSpacing is the shortest time between two asks. It guards the sequencer against an ask for each request.
	askSpacing = 60 * time.Millisecond
	// askScarce is the time between two asks when only tenants run short whose last ask wasn't granted in full. It
	// guards the sequencer against many sidecars under pressure, where asking sooner brings no more.
	askScarce = 120 * time.Millisecond
	// askIdle is the longest time between two asks. It is half of dealerHold, so that one late ask doesn't cost a
	// sidecar's share.
	askIdle = 250 * time.Millisecond
	// askCalm is the longest time between two asks where all tenants are post-paid and calm. It guards the sequencer
	// against many sidecars.
	askCalm = time.Second
	// answerGrowth is how many times what came before an answer a local bucket holds after it, up to growthBound of a
	// second's rate. They guard a tenant that comes to few sidecars.
	answerGrowth, growthBound = 2, 0.25
	// answerMissed is how long an answer may be missing before the local buckets of post-paid tenants are no larger than
	// their floors and stop filling. It guards against a sidecar out of contact that lets in as if it were heard.
	answerMissed = 600 * time.Millisecond
	// newDuty is how long after the first answer of a new dealer what the last one closed stays closed. It guards against
	// a hot tenant that the new dealer hasn't heard of from all sidecars.
	newDuty = askCalm
	// horizon is the time ahead for which tokens are held.
	horizon = 250 * time.Millisecond
	// headroom is how many standard deviations above the predicted demand are held. It guards against refusals by chance.
	headroom = 2
	// leastWant is the smallest ask. It guards against calls that carry crumbs.
	leastWant = 0.01
	// runningShort is the part of what should be held below which the dealer is asked soon. It guards against a purse
	// that is empty before the next regular ask.
	runningShort = 0.7
	// averaged is the time constant of the averages that follow a change of the demand.
	averaged = 300 * time.Millisecond
	// averagedLong is the time constant of the average that stands between two requests of a small demand. It guards
	// against a purse that lets its tokens go whenever nothing came for a moment.
	averagedLong = 3 * time.Second
	// leastRetry and mostRetry bound what refused clients are told. They guard against a herd that comes back at once
	// and against clients that stay away when there is room again.
	leastRetry, mostRetry = 100 * time.Millisecond, 2 * time.Second
)

// LocalLimiter is what one sidecar may spend for each tenant: tokens that the dealer gave and a floor of its own, or, of post-paid
// tenants, what it lets in and reports. Which requests of a closed tenant run is left to chance.
type LocalLimiter struct {
	rules   Rules
	limits  map[string]Limit
	tenants map[string]*pocket
	members tally
	planned int // members that the plans are made for

	epoch     uint64
	at        time.Duration // up to when free is counted
	free      float64       // seconds in which floors have filled
	heldUntil time.Duration // floors don't fill before
	calmUntil time.Duration // the dealer counts this member in for post-paid tenants
	missing   time.Duration // when the first ask that has no answer yet was made, if awaiting
	dutyFrom  time.Duration // the first answer of the epoch
	prePaid   bool          // a tenant is dealt tokens
	chance    *rand.Rand    // which requests of a closed tenant run
	asked     time.Duration
	everAsked bool
	awaiting  bool // the last Asks has no answer yet
	urgent    bool // a tenant runs short since the last ask, or has much to report
	hot       bool // a closed tenant has something to report
	pressed   bool // a tenant whose last ask wasn't granted in full does
}

// pocket is one tenant's part of a purse.
type pocket struct {
	plan
	lots           []lot // by expiry, the first first
	floor, free    float64
	demand, served average
	usual          average // the demand over a longer time
	wanted         float64 // in the last ask
	scarce         bool    // the last ask wasn't granted in full

	// Of a post-paid tenant:
	closed     bool
	share      float64       // of its requests that may run
	local      float64       // what may run here
	localAt    time.Duration // up to when local is counted
	cut        bool          // contact ended since the last answer
	phase      float64       // of a token, that is left when contact ends for a closed tenant
	came, used float64       // since the last answered ask
	sent       Demand        // in the last ask
}

type lot struct {
	tokens  float64
	expires time.Duration
}

// average is a moving average of events a second.
type average struct {
	rate float64
	at   time.Duration
}

func (a *average) value(now, over time.Duration) float64 {
	if now > a.at {
		a.rate *= math.Exp(-(now - a.at).Seconds() / over.Seconds())
		a.at = now
	}
	return a.rate
}

func (a *average) count(now, over time.Duration) { a.rate = a.value(now, over) + 1/over.Seconds() }

// NewLocalLimiter returns a purse that knows no tenant yet.
func NewLocalLimiter(rules Rules) (*LocalLimiter, error) {
	if err := rules.check(); err != nil {
		return nil, err
	}
	p := &LocalLimiter{rules: rules, tenants: map[string]*pocket{}, chance: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
	p.members.set(0, 1)
	return p, nil
}

// Configure sets the limits of all tenants and the number of sidecars. A lower limit holds at once for the floor, and
// within TokenTTL for what was dealt before. A tenant that is new starts with a full floor. Limits that can't be used
// change nothing.
func (p *LocalLimiter) Configure(now time.Duration, limits map[string]Limit, members int) error {
	if err := checkLimits(limits, members); err != nil {
		return err
	}
	p.settle(now)
	p.members.set(now, members)
	p.limits = limited(limits)
	p.replan(now)
	return nil
}

// replan brings the plans in line with limits and members. Floors are filled first under the plans that held so far.
func (p *LocalLimiter) replan(now time.Duration) {
	p.planned = p.members.at(now)
	for name, t := range p.tenants {
		if _, ok := p.limits[name]; !ok {
			delete(p.tenants, name)
			continue
		}
		t.settle(now, p.free)
	}
	p.prePaid = false
	for name, l := range p.limits {
		t := p.tenants[name]
		if t == nil {
			t = &pocket{free: p.free, floor: math.Inf(1), local: math.Inf(1), localAt: now, share: 1, phase: p.chance.Float64()}
			p.tenants[name] = t
		}
		t.plan = p.rules.plan(l, p.planned)
		t.floor = min(t.floor, t.floorDepth)
		if t.local > mostAmount {
			t.local = t.floorDepth
		}
		p.prePaid = p.prePaid || !t.postPaid
	}
}

// settle counts the time in which floors fill, up to now.
func (p *LocalLimiter) settle(now time.Duration) {
	if from := max(p.at, p.heldUntil); now > from {
		p.free += (now - from).Seconds()
	}
	p.at = max(p.at, now)
	if p.members.at(now) != p.planned {
		p.replan(now)
	}
}

// settle fills the floor and drops into it what has expired, up to its depth.
func (t *pocket) settle(now time.Duration, free float64) {
	t.floor += t.floorRate * (free - t.free)
	t.free = free
	gone := 0
	for gone < len(t.lots) && t.lots[gone].expires <= now {
		t.floor += t.lots[gone].tokens
		gone++
	}
	t.lots = append(t.lots[:0], t.lots[gone:]...)
	t.floor = min(t.floor, t.floorDepth)
}

func (t *pocket) held() float64 {
	sum := t.floor
	for _, l := range t.lots {
		sum += l.tokens
	}
	return sum
}

// spend takes one token, of those that expire first first and of the floor last.
func (t *pocket) spend() {
	left, gone := 1.0, 0
	for gone < len(t.lots) && t.lots[gone].tokens <= left {
		left -= t.lots[gone].tokens
		gone++
	}
	t.lots = append(t.lots[:0], t.lots[gone:]...)
	if len(t.lots) > 0 {
		t.lots[0].tokens -= left
		return
	}
	t.floor = max(0, t.floor-left)
}

// target is what the pocket should hold: the demand of the horizon with headroom, and no less than a full floor. A
// single request is no sign of more, so the short average counts less one.
func (t *pocket) target(now time.Duration) float64 {
	lately := t.demand.value(now, averaged) - 1/averaged.Seconds()
	expected := max(lately, t.usual.value(now, averagedLong)) * horizon.Seconds()
	return max(expected+headroom*math.Sqrt(expected), t.floorDepth)
}

// Allow says whether a request of the tenant may run now, and spends a token on it if so. It belongs right before the
// send, as the quota counts runs. A tenant that the limits don't name, or whose rate is 0, has no limit.
func (p *LocalLimiter) Allow(now time.Duration, tenant string) bool {
	p.settle(now)
	t := p.tenants[tenant]
	if t == nil {
		return true
	}
	t.settle(now, p.free)
	t.demand.count(now, averaged)
	if t.postPaid {
		return p.let(now, t)
	}
	t.usual.count(now, averagedLong)
	held := t.held()
	taken := held >= whole
	if taken {
		t.spend()
		t.served.count(now, averaged)
		held--
	}
	if !taken || held < runningShort*t.target(now) {
		if t.scarce {
			p.pressed = true
		} else {
			p.urgent = true
		}
	}
	return taken
}

// let is Take for a post-paid tenant. In contact, the dealer's share of the requests runs, up to the local bucket; out of
// contact the floor alone decides, and what it lets in isn't reported, as the dealer leaves this member its part.
func (p *LocalLimiter) let(now time.Duration, t *pocket) bool {
	t.fill(now, p.contact(), p.calmUntil)
	contact := now <= p.calmUntil
	taken := t.local >= whole && (!contact || t.share >= 1 || p.chance.Float64() < t.share)
	if taken {
		t.local = max(0, t.local-1)
		t.served.count(now, averaged)
	}
	if contact {
		t.came++
		if taken {
			t.used++
		}
	}
	switch {
	case t.closed:
		p.hot = true
	case t.local < whole || t.used-t.sent.Used >= t.report:
		p.urgent = true
	}
	return taken
}

// contact is until when the local buckets of open tenants fill.
func (p *LocalLimiter) contact() time.Duration {
	if p.awaiting {
		return min(p.calmUntil, p.missing+answerMissed)
	}
	return p.calmUntil
}

// fill fills the local bucket: as an open one's until the contact ends, and as a floor once the dealer leaves this member
// its part. Depth that an answer gave stays until it is spent or the contact ends.
// A closed tenant is then left a part of a token that differs by sidecar, so that the floors of all don't hold a token
// each at once.
func (t *pocket) fill(now, contact, counted time.Duration) {
	if in := min(now, contact); in > t.localAt {
		t.local = max(t.local, min(t.local+t.openRate*(in-t.localAt).Seconds(), t.openDepth))
		t.localAt = in
	}
	if now > contact {
		if t.closed && !t.cut {
			t.local = min(t.local, t.phase)
		}
		t.cut = true
		out := max(0, now-max(t.localAt, counted))
		t.local = min(t.local+t.floorRate*out.Seconds(), t.floorDepth)
		t.localAt = max(t.localAt, now)
	}
}

// Demands returns what to ask the dealer for now; it is empty when nothing is wanted. The call is made all the same, as
// its answer renews the lease. One call is under way at a time; the tokens that it brings live from here.
func (p *LocalLimiter) Demands(now time.Duration) []Demand {
	p.settle(now)
	if !p.awaiting {
		p.missing = now
	}
	p.asked, p.everAsked, p.awaiting = now, true, true
	p.urgent, p.pressed, p.hot = false, false, false
	var asks []Demand
	for name, t := range p.tenants {
		if t.postPaid {
			t.sent, t.wanted = Demand{name, t.came, t.used}, 0
			if t.came > 0 {
				asks = append(asks, t.sent)
			}
			continue
		}
		t.settle(now, p.free)
		t.wanted = t.target(now) - t.held()
		if t.wanted >= leastWant {
			asks = append(asks, Demand{Tenant: name, Want: t.wanted})
		} else {
			t.wanted = 0
		}
	}
	return asks
}

// NextRequest returns when the dealer is to be asked again: soon if something runs short, in time for the lease otherwise.
// It is to be looked at again after a Take.
func (p *LocalLimiter) NextRequest(now time.Duration) time.Duration {
	switch {
	case !p.everAsked:
		return now
	case p.urgent:
		return p.asked + askSpacing
	case p.pressed:
		return p.asked + askScarce
	case p.prePaid, p.hot, p.awaiting:
		return p.asked + askIdle
	}
	return p.asked + askCalm
}

// ApplyGrants takes the answer to the last Asks in; a post-paid tenant that isn't among the closed ones is open. The floors are held back until purseHold after that ask. An answer of an
// older epoch than one seen before is Stale and changes nothing, as is one that wasn't asked for.
func (p *LocalLimiter) ApplyGrants(now time.Duration, epoch uint64, grants []Grant, closed []Throttled) error {
	if !p.awaiting {
		return errs.New(errs.Stale, "grants of epoch %d that nobody awaits", epoch)
	}
	if epoch < p.epoch {
		return errs.New(errs.Stale, "grants of epoch %d, the newest seen is %d", epoch, p.epoch)
	}
	for _, g := range grants {
		if !amount(g.Tokens) {
			return errs.New(errs.Invalid, "tenant %q: %v tokens can't be granted", g.Tenant, g.Tokens)
		}
	}
	for _, c := range closed {
		if !(c.Share >= 0 && c.Share <= 1) {
			return errs.New(errs.Invalid, "tenant %q: %v isn't a share", c.Tenant, c.Share)
		}
	}
	p.settle(now)
	if epoch > p.epoch {
		p.dutyFrom = now
	}
	contact := p.contact()
	p.epoch, p.awaiting = epoch, false
	p.heldUntil = max(p.heldUntil, p.asked+purseHold)
	for _, t := range p.tenants {
		t.scarce = t.wanted > 0
		if t.postPaid {
			t.answered(now, contact, p.calmUntil)
			if now-p.dutyFrom >= newDuty {
				t.closed, t.share = false, 1
			}
		}
	}
	p.calmUntil = max(p.calmUntil, p.asked+calmHold)
	for _, c := range closed {
		if t := p.tenants[c.Tenant]; t != nil {
			t.closed, t.share = true, c.Share
		}
	}
	for _, g := range grants {
		if t := p.tenants[g.Tenant]; t != nil {
			t.scarce = g.Tokens < t.wanted*whole
			t.settle(now, p.free)
			t.lots = append(t.lots, lot{g.Tokens, p.asked + TokenTTL})
		}
	}
	return nil
}

// answered fills the local bucket and takes off what the dealer now knows.
func (t *pocket) answered(now, contact, counted time.Duration) {
	t.fill(now, contact, counted)
	t.local = max(t.openDepth, min(answerGrowth*t.sent.Want, growthBound*t.rate))
	t.came, t.used = t.came-t.sent.Want, t.used-t.sent.Used
	t.sent, t.cut = Demand{}, false
}

// RetryAfter returns when a refused client of the tenant should try again: the longer, the further the demand here is
// above what was served here lately.
func (p *LocalLimiter) RetryAfter(now time.Duration, tenant string) time.Duration {
	t := p.tenants[tenant]
	if t == nil {
		return leastRetry
	}
	served := max(t.served.value(now, averaged), t.rate/float64(p.planned))
	if served <= 0 {
		return mostRetry
	}
	wait := averaged.Seconds() * min(t.demand.value(now, averaged)/served, mostRetry.Seconds()/averaged.Seconds())
	return max(leastRetry, time.Duration(wait*float64(time.Second)))
}
