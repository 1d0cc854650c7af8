package replay

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"caperarch/internal/proxy/record"
	"caperarch/internal/proxy/record/recordpb"
	"caperarch/policy"
)

// maxDistance is how far in time an attempt of the same class may be away before the nearest attempt of any class is
// used instead.
const maxDistance = 500 * time.Millisecond

// past is the recording of one instance: how each attempt and probe ended, and when.
type past struct {
	opened          *recordpb.Opened
	classes         []policy.Class
	events          []*recordpb.Record // external events: starts, requests, disconnects of clients, lists
	recordedRequest map[uint64]*recordedRequest
	attempts        map[key]*sample // by request and number of the attempt
	byServer        map[uint64][]*sample
	all             []*sample
	probes          map[uint64][]*sample
	probing         map[uint64][]time.Duration // send times of the probes in flight, by server
}

type key struct {
	id     uint64
	number int32
}

// recordedRequest is a request and its end as recorded.
type recordedRequest struct {
	class int32
	at    time.Duration
	sends int32
	over  bool
}

// sample is a recorded attempt or probe.
type sample struct {
	server uint64
	class  int32
	at     time.Duration
	took   time.Duration
	ending policy.Ending
	ok     bool // result of a probe
	load   policy.Load
	known  bool // it ended without being cancelled
}

// read reads a complete recording. The timeline counts the recorded outcomes.
func read(from Source) (all map[uint32]*past, start time.Duration, tally *timeline, err error) {
	all, tally = make(map[uint32]*past), new(timeline)
	for n := 1; ; n++ {
		r, err := from.Next()
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			for _, p := range all {
				p.sort()
			}
			return all, start, tally, nil
		}
		if err != nil {
			return nil, 0, nil, err
		}
		if start == 0 {
			start = time.Duration(r.At)
		}
		if o := r.GetOpened(); o != nil {
			cfg, err := Config(o)
			if err != nil {
				return nil, 0, nil, fmt.Errorf("record %d: %w", n, err)
			}
			all[r.Instance] = &past{
				opened: o, classes: cfg.Classes, recordedRequest: make(map[uint64]*recordedRequest),
				attempts: make(map[key]*sample),
				byServer: make(map[uint64][]*sample), probes: make(map[uint64][]*sample),
				probing: make(map[uint64][]time.Duration),
			}
			continue
		}
		if r.GetEnded() != nil {
			continue
		}
		p := all[r.Instance]
		if p == nil {
			return nil, 0, nil, fmt.Errorf("record %d: instance %d was not opened", n, r.Instance)
		}
		if err := p.add(r, start, tally); err != nil {
			return nil, 0, nil, fmt.Errorf("record %d: %w", n, err)
		}
	}
}

// add evaluates one record.
func (p *past) add(r *recordpb.Record, start time.Duration, tally *timeline) error {
	now := time.Duration(r.At)
	switch what := r.What.(type) {
	case *recordpb.Record_Start, *recordpb.Record_List:
		p.events = append(p.events, r)
	case *recordpb.Record_Gone:
		p.events = append(p.events, r)
		if a := p.recordedRequest[what.Gone.Id]; a != nil {
			a.over = true
		}
	case *recordpb.Record_Request:
		if int(what.Request.Class) >= len(p.classes) || what.Request.Class < 0 {
			return fmt.Errorf("request class %d is not configured", what.Request.Class)
		}
		p.events = append(p.events, r)
		p.recordedRequest[what.Request.Id] = &recordedRequest{class: what.Request.Class, at: now}
		tally.at(now-start).Requests++
	case *recordpb.Record_Send:
		a := p.recordedRequest[what.Send.Id]
		if a == nil {
			return fmt.Errorf("attempt for request %d, which was not recorded", what.Send.Id)
		}
		s := &sample{server: what.Send.Server, class: a.class, at: now}
		p.attempts[key{what.Send.Id, a.sends}] = s
		a.sends++
		p.byServer[s.server] = append(p.byServer[s.server], s)
		p.all = append(p.all, s)
		tally.at(a.at-start).Recorded.Attempts++
	case *recordpb.Record_Outcome:
		o := record.DecodeOutcome(what.Outcome)
		a, s := p.recordedRequest[what.Outcome.Id], p.attempts[key{what.Outcome.Id, what.Outcome.Attempt}]
		if s != nil && o.Ending != policy.Cancelled && o.Ending != policy.NotSent {
			s.took, s.ending, s.load, s.known = now-s.at, o.Ending, o.Load, true
		}
		if a != nil && !a.over && o.Ending == policy.Served {
			a.over = true
			tally.at(a.at-start).Recorded.served(now-a.at, p.classes[a.class].LatencyTarget)
		}
	case *recordpb.Record_Refuse:
		if a := p.recordedRequest[what.Refuse.Id]; a != nil && !a.over {
			a.over = true
			tally.at(a.at-start).Recorded.Refused++
		}
	case *recordpb.Record_Fail:
		if a := p.recordedRequest[what.Fail.Id]; a != nil && !a.over {
			a.over = true
			tally.at(a.at-start).Recorded.Failed++
		}
	case *recordpb.Record_Probe:
		p.probing[what.Probe.Server] = append(p.probing[what.Probe.Server], now)
	case *recordpb.Record_Probed:
		// Probes of a server are assumed to end in the order of their sending.
		if sent := p.probing[what.Probed.Server]; len(sent) > 0 {
			p.probing[what.Probed.Server] = sent[1:]
			p.probes[what.Probed.Server] = append(p.probes[what.Probed.Server], &sample{
				at: sent[0], took: now - sent[0], ok: what.Probed.Ok,
				load: record.DecodeLoad(what.Probed.Load), known: true,
			})
		}
	}
	return nil
}

// sort removes attempts without a known end, and sorts the others by time.
func (p *past) sort() {
	prepare := func(list []*sample) []*sample {
		list = slices.DeleteFunc(list, func(s *sample) bool { return !s.known })
		slices.SortStableFunc(list, func(a, b *sample) int { return cmp.Compare(a.at, b.at) })
		return list
	}
	for id, list := range p.byServer {
		p.byServer[id] = prepare(list)
	}
	for id, list := range p.probes {
		p.probes[id] = prepare(list)
	}
	p.all = prepare(p.all)
}

// attempt returns the recorded attempt that predicts a new one: the attempt of the same request at the same server;
// else the attempt at the server that is nearest in time, preferably of the same class and within maxDistance; else the
// nearest attempt at any server. It returns nil if no attempt was recorded.
func (p *past) attempt(id, server uint64, class int32, at time.Duration) *sample {
	if a := p.recordedRequest[id]; a != nil {
		for i := range a.sends {
			if s := p.attempts[key{id, i}]; s.server == server && s.known {
				return s
			}
		}
	}
	list := p.byServer[server]
	if s := nearest(list, at, func(s *sample) bool { return s.class == class }); s != nil &&
		(s.at-at).Abs() <= maxDistance {
		return s
	}
	any := func(*sample) bool { return true }
	if s := nearest(list, at, any); s != nil {
		return s
	}
	return nearest(p.all, at, any)
}

// nearest returns the matching sample that was sent nearest to a time. The list is sorted by time.
func nearest(list []*sample, at time.Duration, matches func(*sample) bool) *sample {
	i, _ := slices.BinarySearchFunc(list, at, func(s *sample, at time.Duration) int { return cmp.Compare(s.at, at) })
	var after, before *sample
	for j := i; j < len(list) && after == nil; j++ {
		if matches(list[j]) {
			after = list[j]
		}
	}
	for j := i - 1; j >= 0 && before == nil; j-- {
		if matches(list[j]) {
			before = list[j]
		}
	}
	switch {
	case after == nil:
		return before
	case before == nil || after.at-at <= at-before.at:
		return after
	}
	return before
}
