package emulator

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"caperarch/internal/lab/virtualtime"
	"caperarch/internal/proxy/engine"
	"caperarch/policy"
)

// probeTime is how long a probe waits for an answer.
const probeTime = 250 * time.Millisecond

// answerSlack is how much later than its deadline a request may be answered, as in the settings.
const answerSlack = 20 * time.Millisecond

// sidecar is one module with its clients.
type sidecar struct {
	f         *Fleet
	m         engine.Module
	index     int
	lastID    policy.RequestID
	open      map[policy.RequestID]*request
	throttled uint64 // away at once, as counted so far
}

// request is one attempt of a client's request.
type request struct {
	id       policy.RequestID
	first    *clientRequest
	try      int
	deadline time.Duration
	attempts []*attempt
	out      int
	over     bool
}

// clientRequest is what a client wants, over all its attempts.
type clientRequest struct {
	class, tenant int
	at            time.Duration // on the fleet's clock
	work          float64
	bucket        int
}

type attempt struct {
	job   *job
	limit *virtualtime.Timer
	ended bool
	ran   bool
}

// module gives the sidecar a module that knows nothing yet.
func (s *sidecar) module() (err error) {
	c := s.f.cfg.Module
	c.Balancers, c.Index = s.f.cfg.Sidecars, s.index
	if s.f.cfg.ArcStart != nil {
		c.ArcStart = func() float64 { return s.f.cfg.ArcStart(s.index) }
	}
	s.m, err = s.f.cfg.New(c, s.f.rng.Uint64(), s)
	return err
}

// callOff ends an attempt that is out, and its work.
func (a *attempt) callOff() {
	a.ended = true
	a.limit.Stop()
	if a.job != nil {
		a.job.giveUp()
	}
}

// ask is a client's first attempt.
func (s *sidecar) ask(class, tenant int) {
	f := s.f
	w := &clientRequest{class: class, tenant: tenant, at: f.clock.Now, work: f.work(&f.cfg.Classes[class]),
		bucket: int(f.Now() / f.cfg.Bucket)}
	b := f.bucket(f.Now())
	b.Requests++
	b.Tenant[tenant].Requests++
	b.Value += f.cfg.Module.Classes[class].Value
	b.Work += w.work
	s.try(w, 0)
}

func (s *sidecar) try(w *clientRequest, n int) {
	f := s.f
	deadline := w.at + f.cfg.Module.Classes[w.class].Deadline
	if f.clock.Now >= deadline {
		f.buckets[w.bucket].Failed++
		return
	}
	if part := f.cfg.Clients.AttemptShare; part > 0 {
		deadline = min(deadline, f.clock.Now+time.Duration(part*float64(f.cfg.Module.Classes[w.class].Deadline)))
	}
	s.lastID++
	r := &request{id: s.lastID, first: w, try: n, deadline: deadline}
	s.open[r.id] = r
	s.event(func() {
		s.m.Request(f.clock.Now, policy.Request{ID: r.id, Class: w.class, Tenant: w.tenant,
			TimeLeft: deadline - f.clock.Now, IsRetry: n > 0})
	})
	f.clock.After(deadline-f.clock.Now+answerSlack, func() {
		if !r.over {
			f.err = fmt.Errorf("emulator: request %d had no answer by its deadline", r.id)
		}
	})
}

// event hands an event to the module, and counts whom it turned away at once.
func (s *sidecar) event(do func()) {
	do()
	if t := s.m.Counters().Throttled; t != s.throttled {
		s.f.bucket(s.f.Now()).Throttled += int(t - s.throttled)
		s.throttled = t
	}
}

// Send starts an attempt.
func (s *sidecar) Send(id policy.RequestID, to policy.ServerID, timeout time.Duration) {
	f, r := s.f, s.open[id]
	number := len(r.attempts)
	a := new(attempt)
	r.attempts = append(r.attempts, a)
	r.out++
	f.buckets[r.first.bucket].Attempts++
	if f.cfg.Module.Classes[r.first.class].Effect == policy.NonIdempotent {
		for _, before := range r.attempts[:number] {
			if before.ran {
				f.err = fmt.Errorf("emulator: unsafe request %d was sent again, and may have run", id)
			}
		}
	}
	a.ran = true
	end := func(e policy.Ending) {
		if a.ended {
			return
		}
		a.ended = true
		a.ran = !e.NeverRan()
		a.limit.Stop()
		s.outcome(r, number, e)
	}
	a.limit = f.clock.After(min(timeout, r.deadline-f.clock.Now), func() {
		if a.job != nil {
			a.job.giveUp()
		}
		end(policy.TimedOut)
	})
	f.clock.After(f.cfg.RoundTrip/2, func() {
		if a.ended {
			return
		}
		if f.cfg.Arrived != nil {
			f.cfg.Arrived(s.index, to)
		}
		n := f.byID[to]
		work := r.first.work
		if noise := f.cfg.Classes[r.first.class].Noise; noise > 0 {
			work *= math.Exp(noise*f.rng.NormFloat64() - noise*noise/2)
		}
		a.job = n.take(work, func(e policy.Ending) { f.clock.After(f.cfg.RoundTrip/2, func() { end(e) }) })
	})
}

// outcome tells the module how an attempt ended, and the client if it was served.
func (s *sidecar) outcome(r *request, number int, e policy.Ending) {
	r.out--
	if !r.over && e == policy.Served {
		r.over = true
		f := s.f
		b, class := &f.buckets[r.first.bucket], &f.cfg.Module.Classes[r.first.class]
		if f.clock.Now-r.first.at <= class.LatencyTarget {
			b.InTime++
			b.Earned += class.Value
			b.Tenant[r.first.tenant].InTime++
		} else {
			b.Late++
		}
	}
	o := policy.Outcome{ID: r.id, Attempt: number, Ending: e, Finished: r.over}
	s.event(func() { s.m.Outcome(s.f.clock.Now, o) })
	if r.over && r.out == 0 {
		delete(s.open, r.id)
	}
}

// Refuse ends a request; its client may come back.
func (s *sidecar) Refuse(id policy.RequestID, pause time.Duration) { s.answer(s.open[id], pause, true) }

// Fail ends a request with no promise. Its client comes back where the class allows that.
func (s *sidecar) Fail(id policy.RequestID) { s.answer(s.open[id], 0, false) }

func (s *sidecar) answer(r *request, pause time.Duration, refused bool) {
	f := s.f
	if r.over {
		f.err = fmt.Errorf("emulator: request %d was answered twice", r.id)
		return
	}
	r.over = true
	if r.out == 0 {
		delete(s.open, r.id)
	}
	again := r.try < f.cfg.Clients.Retries &&
		(refused || f.cfg.Module.Classes[r.first.class].Effect != policy.NonIdempotent)
	wait := max(pause, f.jitter(f.cfg.Clients.backoff(r.try)))
	if again && f.clock.Now+wait < r.first.at+f.cfg.Module.Classes[r.first.class].Deadline {
		f.clock.After(wait, func() { s.try(r.first, r.try+1) })
		return
	}
	b := &f.buckets[r.first.bucket]
	if refused {
		b.Refused++
		b.Tenant[r.first.tenant].Refused++
	} else {
		b.Failed++
	}
}

// Cancel calls an attempt off.
func (s *sidecar) Cancel(id policy.RequestID, number int) {
	r := s.open[id]
	if r == nil || r.attempts[number].ended {
		return
	}
	r.attempts[number].callOff()
	s.f.clock.After(0, func() { s.outcome(r, number, policy.Cancelled) })
}

// Wake asks for a call.
func (s *sidecar) Wake(d time.Duration) {
	s.f.clock.After(d, func() { s.event(func() { s.m.Wake(s.f.clock.Now) }) })
}

// Probe asks a server for its load.
func (s *sidecar) Probe(to policy.ServerID) {
	f := s.f
	f.bucket(f.Now()).Probes++
	f.clock.After(f.cfg.RoundTrip, func() {
		n, wait := f.byID[to], time.Duration(0)
		ok, load := n.report()
		if n.state.Silent { // it says nothing at all, not even no
			wait = probeTime
		}
		f.clock.After(wait, func() { s.event(func() { s.m.Probed(f.clock.Now, to, ok, load) }) })
	})
}

// CloseIdleConnections has no use here: connections are not played.
func (s *sidecar) CloseIdleConnections(policy.ServerID) {}

// WatchList has none: the list comes by itself.
func (s *sidecar) WatchList() {}

// Log says nothing.
func (s *sidecar) Log(string) {}

// Err is the first rule that was broken, or nil.
func (f *Fleet) Err() error { return f.err }

// restart ends the sidecar as a kill does, and begins it anew: what it held breaks off, and its clients come again.
func (s *sidecar) restart() error {
	if err := s.module(); err != nil {
		return err
	}
	f, held := s.f, s.open
	s.open, s.throttled = make(map[policy.RequestID]*request), 0
	s.m.Start(f.clock.Now)
	s.m.List(f.clock.Now, policy.ListCached, f.list())
	for _, id := range slices.Sorted(maps.Keys(held)) {
		r := held[id]
		for _, a := range r.attempts {
			if !a.ended {
				a.callOff()
			}
		}
		if !r.over {
			s.answer(r, 0, false)
		}
	}
	return nil
}
