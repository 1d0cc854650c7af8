package replay

import (
	"time"

	"caperarch/internal/lab/virtualtime"
	"caperarch/internal/proxy/record/recordpb"
	"caperarch/policy"
)

// OutcomeCounts counts requests by outcome, and their attempts.
type OutcomeCounts struct {
	InTime, Late, Refused, Failed, Attempts int
}

func (f *OutcomeCounts) served(took, aim time.Duration) {
	if took <= aim {
		f.InTime++
	} else {
		f.Late++
	}
}

func (f *OutcomeCounts) add(g OutcomeCounts) {
	f.InTime += g.InTime
	f.Late += g.Late
	f.Refused += g.Refused
	f.Failed += g.Failed
	f.Attempts += g.Attempts
}

// Second counts the requests that arrived in one second of the recording.
type Second struct {
	Second            int
	Requests          int
	Recorded, Present OutcomeCounts
}

// Estimation compares the outcomes with the present decision module to the recorded ones.
type Estimation struct {
	Seconds           []*Second
	Requests          int
	Recorded, Present OutcomeCounts
}

// timeline counts the outcomes per second.
type timeline struct{ seconds []*Second }

func (s *timeline) at(since time.Duration) *Second {
	n := max(0, int(since/time.Second))
	for len(s.seconds) <= n {
		s.seconds = append(s.seconds, &Second{Second: len(s.seconds)})
	}
	return s.seconds[n]
}

// Estimate passes the recorded requests and server lists to the present module. It answers an attempt or a probe with
// the result of the nearest recorded one. Servers don't react to the changed behaviour of the module, and clients retry
// as recorded. The estimate is therefore useful for changes of which requests are rejected or retried, but not for
// changes of how much load the servers get.
func Estimate(from Source) (*Estimation, error) {
	all, start, tally, err := read(from)
	if err != nil {
		return nil, err
	}
	for number := range len(all) { // instances are numbered from 0
		if p := all[uint32(number)]; p != nil {
			if err := p.play(start, tally); err != nil {
				return nil, err
			}
		}
	}
	e := &Estimation{Seconds: tally.seconds}
	for _, s := range e.Seconds {
		e.Requests += s.Requests
		e.Recorded.add(s.Recorded)
		e.Present.add(s.Present)
	}
	return e, nil
}

// run runs the present module with recorded results.
type run struct {
	p     *past
	start time.Duration
	tally *timeline
	b     *policy.Balancer
	clock virtualtime.Clock
	open  map[policy.RequestID]*replayed
}

// replayed is a request that the present module handles.
type replayed struct {
	class int32
	at    time.Duration
	ends  time.Duration
	tries []*virtualtime.Timer
	over  bool
}

// play replays one instance from its beginning to its end.
func (p *past) play(start time.Duration, tally *timeline) error {
	r := &run{p: p, start: start, tally: tally, open: make(map[policy.RequestID]*replayed)}
	var err error
	if r.b, err = Open(p.opened, r); err != nil {
		return err
	}
	for _, e := range p.events {
		r.clock.RunTo(max(r.clock.Now, time.Duration(e.At)))
		if q := e.GetRequest(); q != nil {
			r.open[policy.RequestID(q.Id)] = &replayed{class: q.Class, at: r.clock.Now,
				ends: r.clock.Now + time.Duration(q.Left)}
		}
		if g := e.GetGone(); g != nil {
			if q := r.open[policy.RequestID(g.Id)]; q == nil || q.over {
				continue
			} else {
				q.over = true
			}
		}
		if err := Apply(r.b, &recordpb.Record{At: int64(r.clock.Now), What: e.What}); err != nil {
			return err
		}
	}
	if n := len(p.events); n > 0 {
		r.clock.RunTo(r.clock.Now + 10*time.Second) // open requests end by their deadlines
	}
	return nil
}

// Send implements policy.Host: it answers an attempt with the result of the nearest recorded attempt.
func (r *run) Send(id policy.RequestID, to policy.ServerID, timeout time.Duration) {
	q := r.open[id]
	r.tally.at(q.at-r.start).Present.Attempts++
	s := r.p.attempt(uint64(id), uint64(to), q.class, r.clock.Now)
	o := policy.Outcome{ID: id, Attempt: len(q.tries), Ending: policy.NoConnection}
	took := time.Millisecond
	if s != nil {
		took, o.Ending, o.Load = s.took, s.ending, s.load
	}
	if most := min(timeout, q.ends-r.clock.Now); took > most || o.Ending == policy.TimedOut {
		took, o.Ending = max(0, most), policy.TimedOut
	}
	q.tries = append(q.tries, r.clock.After(took, func() { r.outcome(o) }))
}

func (r *run) outcome(o policy.Outcome) {
	q := r.open[o.ID]
	q.tries[o.Attempt] = nil
	if !q.over && o.Ending == policy.Served {
		q.over = true
		r.tally.at(q.at-r.start).Present.served(r.clock.Now-q.at, r.p.classes[q.class].LatencyTarget)
	}
	o.Finished = q.over
	r.b.Outcome(r.clock.Now, o)
}

// Refuse implements policy.Host: it counts a rejected request.
func (r *run) Refuse(id policy.RequestID, _ time.Duration) { r.end(id).Refused++ }

// Fail implements policy.Host: it counts a failed request.
func (r *run) Fail(id policy.RequestID) { r.end(id).Failed++ }

func (r *run) end(id policy.RequestID) *OutcomeCounts {
	q := r.open[id]
	q.over = true
	return &r.tally.at(q.at - r.start).Present
}

// Cancel implements policy.Host: it cancels an attempt.
func (r *run) Cancel(id policy.RequestID, attempt int) {
	if e := r.open[id].tries[attempt]; e != nil {
		e.Stop()
		r.clock.After(0, func() { r.outcome(policy.Outcome{ID: id, Attempt: attempt, Ending: policy.Cancelled}) })
	}
}

// Wake implements policy.Host: it schedules a call of the module after d.
func (r *run) Wake(d time.Duration) { r.clock.After(max(0, d), func() { r.b.Wake(r.clock.Now) }) }

// Probe implements policy.Host: it answers with the result of the recorded probe nearest in time.
func (r *run) Probe(to policy.ServerID) {
	s := nearest(r.p.probes[uint64(to)], r.clock.Now, func(*sample) bool { return true })
	if s == nil {
		r.clock.After(time.Millisecond, func() { r.b.Probed(r.clock.Now, to, false, policy.Load{}) })
		return
	}
	r.clock.After(s.took, func() { r.b.Probed(r.clock.Now, to, s.ok, s.load) })
}

// CloseIdleConnections implements policy.Host. It does nothing, as connections are not simulated.
func (r *run) CloseIdleConnections(policy.ServerID) {}

// WatchList implements policy.Host. It does nothing, as lists arrive as recorded.
func (r *run) WatchList() {}

// Log implements policy.Host. It discards the message.
func (r *run) Log(string) {}
