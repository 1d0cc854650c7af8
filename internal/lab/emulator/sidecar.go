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

// probeTime is the time-out of a probe.
const probeTime = 250 * time.Millisecond

// answerSlack is how long after its deadline a request may be answered, as in the settings.
const answerSlack = 20 * time.Millisecond

// sidecar is a decision module with its clients.
type sidecar struct {
	f         *Fleet
	m         engine.Module
	index     int
	lastID    policy.RequestID
	open      map[policy.RequestID]*request
	throttled uint64 // the module's counter when it was last read
}

// request is one attempt of a client's request, as seen by the sidecar.
type request struct {
	id       policy.RequestID
	first    *clientRequest
	try      int
	deadline time.Duration
	attempts []*attempt
	out      int
	over     bool
}

// clientRequest is a client's request over all its attempts.
type clientRequest struct {
	class, tenant int
	at            time.Duration // when the client first sent it
	work          float64
	bucket        int
}

type attempt struct {
	job   *job
	limit *virtualtime.Timer
	ended bool
	ran   bool
}

// newModule creates a new decision module for the sidecar.
func (s *sidecar) newModule() (err error) {
	c := s.f.cfg.Module
	c.Balancers, c.Index = s.f.cfg.Sidecars, s.index
	if s.f.cfg.ArcStart != nil {
		c.ArcStart = func() float64 { return s.f.cfg.ArcStart(s.index) }
	}
	s.m, err = s.f.cfg.New(c, s.f.rng.Uint64(), s)
	return err
}

// abort cancels an attempt in progress and its work.
func (a *attempt) abort() {
	a.ended = true
	a.limit.Stop()
	if a.job != nil {
		a.job.cancel()
	}
}

// startRequest starts the first attempt of a new client request.
func (s *sidecar) startRequest(class, tenant int) {
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
			f.err = fmt.Errorf("emulator: request %d has no response at its deadline", r.id)
		}
	})
}

// event passes an event to the module and counts the requests that the module rejected at once.
func (s *sidecar) event(handle func()) {
	handle()
	if t := s.m.Counters().Throttled; t != s.throttled {
		s.f.bucket(s.f.Now()).Throttled += int(t - s.throttled)
		s.throttled = t
	}
}

// Send implements policy.Host: it starts an attempt at a server.
func (s *sidecar) Send(id policy.RequestID, to policy.ServerID, timeout time.Duration) {
	f, r := s.f, s.open[id]
	number := len(r.attempts)
	a := new(attempt)
	r.attempts = append(r.attempts, a)
	r.out++
	f.buckets[r.first.bucket].Attempts++
	if f.cfg.Module.Classes[r.first.class].Effect == policy.NonIdempotent {
		for _, earlier := range r.attempts[:number] {
			if earlier.ran {
				f.err = fmt.Errorf("emulator: unsafe request %d was sent again although it may have run", id)
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
			a.job.cancel()
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
		a.job = n.accept(work, func(e policy.Ending) { f.clock.After(f.cfg.RoundTrip/2, func() { end(e) }) })
	})
}

// outcome reports the end of an attempt to the module. If the attempt was served, the client has its response.
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

// Refuse implements policy.Host: it rejects a request, which the client may retry.
func (s *sidecar) Refuse(id policy.RequestID, pause time.Duration) { s.reject(s.open[id], pause, true) }

// Fail implements policy.Host: it fails a request that may have run. The client retries if the class allows it.
func (s *sidecar) Fail(id policy.RequestID) { s.reject(s.open[id], 0, false) }

func (s *sidecar) reject(r *request, pause time.Duration, refused bool) {
	f := s.f
	if r.over {
		f.err = fmt.Errorf("emulator: request %d was answered twice", r.id)
		return
	}
	r.over = true
	if r.out == 0 {
		delete(s.open, r.id)
	}
	retry := r.try < f.cfg.Clients.Retries &&
		(refused || f.cfg.Module.Classes[r.first.class].Effect != policy.NonIdempotent)
	wait := max(pause, f.jitter(f.cfg.Clients.backoff(r.try)))
	if retry && f.clock.Now+wait < r.first.at+f.cfg.Module.Classes[r.first.class].Deadline {
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

// Cancel implements policy.Host: it cancels an attempt.
func (s *sidecar) Cancel(id policy.RequestID, number int) {
	r := s.open[id]
	if r == nil || r.attempts[number].ended {
		return
	}
	r.attempts[number].abort()
	s.f.clock.After(0, func() { s.outcome(r, number, policy.Cancelled) })
}

// Wake implements policy.Host: it schedules a call of the module.
func (s *sidecar) Wake(d time.Duration) {
	s.f.clock.After(d, func() { s.event(func() { s.m.Wake(s.f.clock.Now) }) })
}

// Probe implements policy.Host: it probes a server for its load.
func (s *sidecar) Probe(to policy.ServerID) {
	f := s.f
	f.bucket(f.Now()).Probes++
	f.clock.After(f.cfg.RoundTrip, func() {
		n, wait := f.byID[to], time.Duration(0)
		ok, load := n.report()
		if n.state.Silent { // no answer at all, so the probe times out
			wait = probeTime
		}
		f.clock.After(wait, func() { s.event(func() { s.m.Probed(f.clock.Now, to, ok, load) }) })
	})
}

// CloseIdleConnections implements policy.Host. It does nothing, as connections are not simulated.
func (s *sidecar) CloseIdleConnections(policy.ServerID) {}

// WatchList implements policy.Host. It does nothing, as the fleet publishes the list.
func (s *sidecar) WatchList() {}

// Log implements policy.Host. It discards the message.
func (s *sidecar) Log(string) {}

// Err returns the first violation of a rule, or nil.
func (f *Fleet) Err() error { return f.err }

// restart simulates a kill and restart of the sidecar: its attempts are aborted, and its clients retry.
func (s *sidecar) restart() error {
	if err := s.newModule(); err != nil {
		return err
	}
	f, requests := s.f, s.open
	s.open, s.throttled = make(map[policy.RequestID]*request), 0
	s.m.Start(f.clock.Now)
	s.m.List(f.clock.Now, policy.ListCached, f.list())
	for _, id := range slices.Sorted(maps.Keys(requests)) {
		r := requests[id]
		for _, a := range r.attempts {
			if !a.ended {
				a.abort()
			}
		}
		if !r.over {
			s.reject(r, 0, false)
		}
	}
	return nil
}
