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

// near is how far off in time an attempt of the same class may be before one of any class that is nearer is taken.
const near = 500 * time.Millisecond

// past is what is known of one instance's servers from a recording: how each attempt and each probe went, and when.
type past struct {
	opened   *recordpb.Opened
	classes  []policy.Class
	events   []*recordpb.Record // those that come from outside: requests, clients that go, lists
	asked    map[uint64]*asked
	attempts map[key]*sample // by request and number
	byServer map[uint64][]*sample
	all      []*sample
	probes   map[uint64][]*sample
	probing  map[uint64][]time.Duration // probes under way, by server
}

type key struct {
	id     uint64
	number int32
}

// asked is one request and its end as recorded.
type asked struct {
	class int32
	at    time.Duration
	sends int32
	over  bool
}

// sample is one attempt or probe as it went.
type sample struct {
	server uint64
	class  int32
	at     time.Duration
	took   time.Duration
	ending policy.Ending
	ok     bool // a probe's
	load   policy.Load
	known  bool // it has ended, by itself
}

// read reads a whole recording. tally is told of what was recorded, second by second.
func read(from Source) (all map[uint32]*past, begun time.Duration, tally *side, err error) {
	all, tally = make(map[uint32]*past), new(side)
	for n := 1; ; n++ {
		r, err := from.Next()
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			for _, p := range all {
				p.sort()
			}
			return all, begun, tally, nil
		}
		if err != nil {
			return nil, 0, nil, err
		}
		if begun == 0 {
			begun = time.Duration(r.At)
		}
		if o := r.GetOpened(); o != nil {
			cfg, err := Config(o)
			if err != nil {
				return nil, 0, nil, fmt.Errorf("record %d: %w", n, err)
			}
			all[r.Instance] = &past{
				opened: o, classes: cfg.Classes, asked: make(map[uint64]*asked), attempts: make(map[key]*sample),
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
		if err := p.take(r, begun, tally); err != nil {
			return nil, 0, nil, fmt.Errorf("record %d: %w", n, err)
		}
	}
}

// take takes one record in.
func (p *past) take(r *recordpb.Record, begun time.Duration, tally *side) error {
	now := time.Duration(r.At)
	switch what := r.What.(type) {
	case *recordpb.Record_Start, *recordpb.Record_List:
		p.events = append(p.events, r)
	case *recordpb.Record_Gone:
		p.events = append(p.events, r)
		if a := p.asked[what.Gone.Id]; a != nil {
			a.over = true
		}
	case *recordpb.Record_Request:
		if int(what.Request.Class) >= len(p.classes) || what.Request.Class < 0 {
			return fmt.Errorf("class %d is none", what.Request.Class)
		}
		p.events = append(p.events, r)
		p.asked[what.Request.Id] = &asked{class: what.Request.Class, at: now}
		tally.at(now-begun).Requests++
	case *recordpb.Record_Send:
		a := p.asked[what.Send.Id]
		if a == nil {
			return fmt.Errorf("a send for request %d, which was not recorded", what.Send.Id)
		}
		s := &sample{server: what.Send.Server, class: a.class, at: now}
		p.attempts[key{what.Send.Id, a.sends}] = s
		a.sends++
		p.byServer[s.server] = append(p.byServer[s.server], s)
		p.all = append(p.all, s)
		tally.at(a.at-begun).Recorded.Attempts++
	case *recordpb.Record_Outcome:
		o := record.DecodeOutcome(what.Outcome)
		a, s := p.asked[what.Outcome.Id], p.attempts[key{what.Outcome.Id, what.Outcome.Attempt}]
		if s != nil && o.Ending != policy.Cancelled && o.Ending != policy.NotSent {
			s.took, s.ending, s.load, s.known = now-s.at, o.Ending, o.Load, true
		}
		if a != nil && !a.over && o.Ending == policy.Served {
			a.over = true
			tally.at(a.at-begun).Recorded.served(now-a.at, p.classes[a.class].LatencyTarget)
		}
	case *recordpb.Record_Refuse:
		if a := p.asked[what.Refuse.Id]; a != nil && !a.over {
			a.over = true
			tally.at(a.at-begun).Recorded.Refused++
		}
	case *recordpb.Record_Fail:
		if a := p.asked[what.Fail.Id]; a != nil && !a.over {
			a.over = true
			tally.at(a.at-begun).Recorded.Failed++
		}
	case *recordpb.Record_Probe:
		p.probing[what.Probe.Server] = append(p.probing[what.Probe.Server], now)
	case *recordpb.Record_Probed:
		if sent := p.probing[what.Probed.Server]; len(sent) > 0 { // in the order of their sending, as good as
			p.probing[what.Probed.Server] = sent[1:]
			p.probes[what.Probed.Server] = append(p.probes[what.Probed.Server], &sample{
				at: sent[0], took: now - sent[0], ok: what.Probed.Ok,
				load: record.DecodeLoad(what.Probed.Load), known: true,
			})
		}
	}
	return nil
}

// sort leaves the attempts out that did not end by themselves.
func (p *past) sort() {
	tidy := func(list []*sample) []*sample {
		list = slices.DeleteFunc(list, func(s *sample) bool { return !s.known })
		slices.SortStableFunc(list, func(a, b *sample) int { return cmp.Compare(a.at, b.at) })
		return list
	}
	for id, list := range p.byServer {
		p.byServer[id] = tidy(list)
	}
	for id, list := range p.probes {
		p.probes[id] = tidy(list)
	}
	p.all = tidy(p.all)
}

// attempt is how an attempt would go: as this request's went at this server, else as the one that
// was sent there nearest in time went, of the same class if there is one near; else as the nearest
// anywhere. nil: nothing was ever sent.
func (p *past) attempt(id, server uint64, class int32, at time.Duration) *sample {
	if a := p.asked[id]; a != nil {
		for i := range a.sends {
			if s := p.attempts[key{id, i}]; s.server == server && s.known {
				return s
			}
		}
	}
	list := p.byServer[server]
	if s := nearest(list, at, func(s *sample) bool { return s.class == class }); s != nil && (s.at-at).Abs() <= near {
		return s
	}
	any := func(*sample) bool { return true }
	if s := nearest(list, at, any); s != nil {
		return s
	}
	return nearest(p.all, at, any)
}

// nearest finds the sample that was sent nearest to a time. The list is in order of time.
func nearest(list []*sample, at time.Duration, fits func(*sample) bool) *sample {
	i, _ := slices.BinarySearchFunc(list, at, func(s *sample, at time.Duration) int { return cmp.Compare(s.at, at) })
	var after, before *sample
	for j := i; j < len(list) && after == nil; j++ {
		if fits(list[j]) {
			after = list[j]
		}
	}
	for j := i - 1; j >= 0 && before == nil; j-- {
		if fits(list[j]) {
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
