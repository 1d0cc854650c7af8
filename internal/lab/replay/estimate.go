package replay

import (
	"time"

	"caperarch/internal/lab/virtualtime"
	"caperarch/internal/proxy/record/recordpb"
	"caperarch/policy"
)

// Fate counts requests by how they ended, and the attempts made for them.
type Fate struct {
	InTime, Late, Refused, Failed, Attempts int
}

func (f *Fate) served(took, aim time.Duration) {
	if took <= aim {
		f.InTime++
	} else {
		f.Late++
	}
}

func (f *Fate) add(g Fate) {
	f.InTime += g.InTime
	f.Late += g.Late
	f.Refused += g.Refused
	f.Failed += g.Failed
	f.Attempts += g.Attempts
}

// Second counts the requests that came in one second of the recording.
type Second struct {
	Second            int
	Requests          int
	Recorded, Present Fate
}

// Estimation is how the present module would have fared beside what was recorded.
type Estimation struct {
	Seconds           []*Second
	Requests          int
	Recorded, Present Fate
}

// side counts second by second.
type side struct{ seconds []*Second }

func (s *side) at(since time.Duration) *Second {
	n := max(0, int(since/time.Second))
	for len(s.seconds) <= n {
		s.seconds = append(s.seconds, &Second{Second: len(s.seconds)})
	}
	return s.seconds[n]
}

// Estimate hands the recorded requests and lists to the present module and answers what it does by
// what happened then: an attempt goes as the recorded one nearest to it went, a probe likewise.
// Servers don't feel what the module does otherwise, and clients retry as they did: so it is good
// for changes of who is turned away and who is tried again, and for none of how much servers bear.
func Estimate(from Source) (*Estimation, error) {
	all, begun, tally, err := read(from)
	if err != nil {
		return nil, err
	}
	for number := range len(all) { // instances are numbered from 0
		if p := all[uint32(number)]; p != nil {
			if err := p.play(begun, tally); err != nil {
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

// run is the present module among recorded answers.
type run struct {
	p     *past
	begun time.Duration
	tally *side
	b     *policy.Balancer
	clock virtualtime.Clock
	open  map[policy.RequestID]*played
}

// played is a request in the present module's hands.
type played struct {
	class int32
	at    time.Duration
	ends  time.Duration
	tries []*virtualtime.Timer
	over  bool
}

// play runs one instance from its beginning to its end.
func (p *past) play(begun time.Duration, tally *side) error {
	r := &run{p: p, begun: begun, tally: tally, open: make(map[policy.RequestID]*played)}
	var err error
	if r.b, err = Open(p.opened, r); err != nil {
		return err
	}
	for _, e := range p.events {
		r.clock.RunTo(max(r.clock.Now, time.Duration(e.At)))
		if q := e.GetRequest(); q != nil {
			r.open[policy.RequestID(q.Id)] = &played{class: q.Class, at: r.clock.Now,
				ends: r.clock.Now + time.Duration(q.Left)}
		}
		if g := e.GetGone(); g != nil {
			if q := r.open[policy.RequestID(g.Id)]; q == nil || q.over {
				continue
			} else {
				q.over = true
			}
		}
		if err := Hand(r.b, &recordpb.Record{At: int64(r.clock.Now), What: e.What}); err != nil {
			return err
		}
	}
	if n := len(p.events); n > 0 {
		r.clock.RunTo(r.clock.Now + 10*time.Second) // what is open ends by its deadline
	}
	return nil
}

// Send answers an attempt as the recorded one nearest to it went.
func (r *run) Send(id policy.RequestID, to policy.ServerID, timeout time.Duration) {
	q := r.open[id]
	r.tally.at(q.at-r.begun).Present.Attempts++
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
		r.tally.at(q.at-r.begun).Present.served(r.clock.Now-q.at, r.p.classes[q.class].LatencyTarget)
	}
	o.Finished = q.over
	r.b.Outcome(r.clock.Now, o)
}

// Refuse counts a request that was rejected.
func (r *run) Refuse(id policy.RequestID, _ time.Duration) { r.end(id).Refused++ }

// Fail counts a request that failed.
func (r *run) Fail(id policy.RequestID) { r.end(id).Failed++ }

func (r *run) end(id policy.RequestID) *Fate {
	q := r.open[id]
	q.over = true
	return &r.tally.at(q.at - r.begun).Present
}

// Cancel calls an attempt off.
func (r *run) Cancel(id policy.RequestID, attempt int) {
	if e := r.open[id].tries[attempt]; e != nil {
		e.Stop()
		r.clock.After(0, func() { r.outcome(policy.Outcome{ID: id, Attempt: attempt, Ending: policy.Cancelled}) })
	}
}

// Wake asks for a call after d.
func (r *run) Wake(d time.Duration) { r.clock.After(max(0, d), func() { r.b.Wake(r.clock.Now) }) }

// Probe answers as the recorded probe nearest in time.
func (r *run) Probe(to policy.ServerID) {
	s := nearest(r.p.probes[uint64(to)], r.clock.Now, func(*sample) bool { return true })
	if s == nil {
		r.clock.After(time.Millisecond, func() { r.b.Probed(r.clock.Now, to, false, policy.Load{}) })
		return
	}
	r.clock.After(s.took, func() { r.b.Probed(r.clock.Now, to, s.ok, s.load) })
}

// CloseIdleConnections does nothing: connections are not played.
func (r *run) CloseIdleConnections(policy.ServerID) {}

// WatchList does nothing: lists come as they were recorded.
func (r *run) WatchList() {}

// Log says nothing.
func (r *run) Log(string) {}
