// Package replay runs recorded events (internal/proxy/record) through the present decision module:
// to find where it departs from what was done, or to estimate how it would have fared. It is free
// of I/O.
package replay

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"google.golang.org/protobuf/proto"

	"caperarch/internal/proxy/record"
	"caperarch/internal/proxy/record/recordpb"
	"caperarch/policy"
)

// Source gives one record after the other, io.EOF behind the last: record.Reader, or a slice in tests.
type Source interface {
	Next() (*recordpb.Record, error)
}

// Departure is an action that the present module takes and the recorded one did not, or the other way round.
type Departure struct {
	Record   int              // number of the event, from 1
	Instance uint32           // which module of the process
	At       time.Duration    // since the beginning of the recording
	Event    string           // what was handed in
	Recorded *recordpb.Record // nil: it did nothing more
	Present  *recordpb.Record // nil: it does nothing more
}

// String describes the departure in one line.
func (d Departure) String() string {
	return fmt.Sprintf("record %d, instance %d, %.3f s, on %s: recorded %s, present %s",
		d.Record, d.Instance, d.At.Seconds(), d.Event, text(d.Recorded), text(d.Present))
}

func text(r *recordpb.Record) string {
	if r == nil {
		return "nothing more"
	}
	bare := proto.Clone(r).(*recordpb.Record)
	bare.At, bare.Instance = 0, 0
	return fmt.Sprint(bare)
}

// Comparison is what came of a replay.
type Comparison struct {
	Events, Actions int // recorded
	Departures      int // all of them; after the first one the module's state is another
	First           []Departure
	Ended           string // why the recording ended before its process; "" where it did not
	Cut             bool   // the file ends within a record
}

// Exact hands the recorded events to the present module at their times and compares what it does,
// action by action. It keeps the first most departures. An error is one of the file.
func Exact(from Source, most int) (Comparison, error) {
	var c Comparison
	all := make(map[uint32]*exact)
	var begun int64
	for n := 1; ; n++ {
		r, err := from.Next()
		switch {
		case errors.Is(err, io.EOF):
			return finish(c, all, most), nil
		case errors.Is(err, io.ErrUnexpectedEOF):
			c.Cut = true
			return finish(c, all, most), nil
		case err != nil:
			return c, err
		}
		if begun == 0 {
			begun = r.At
		}
		x := all[r.Instance]
		switch what := r.What.(type) {
		case *recordpb.Record_Ended:
			c.Ended = what.Ended.Reason
			continue
		case *recordpb.Record_Opened:
			if x, err = open(what.Opened, r.Instance); err != nil {
				return c, fmt.Errorf("record %d: %w", n, err)
			}
			all[r.Instance] = x
			continue
		}
		if x == nil {
			return c, fmt.Errorf("record %d: instance %d was not opened", n, r.Instance)
		}
		if isAction(r) {
			c.Actions++
			x.expect(&c, r, most)
			continue
		}
		c.Events++
		x.rest(&c, most)
		x.number, x.event, x.at = n, r, time.Duration(r.At-begun)
		if err := Hand(x.b, r); err != nil {
			return c, fmt.Errorf("record %d: %w", n, err)
		}
	}
}

func finish(c Comparison, all map[uint32]*exact, most int) Comparison {
	for _, x := range all {
		if !c.Cut && c.Ended == "" { // else the last event's actions may be missing
			x.rest(&c, most)
		}
	}
	return c
}

// exact is one instance under comparison.
type exact struct {
	b        *policy.Balancer
	instance uint32
	acts     []*recordpb.Record // the present module's, not compared yet
	number   int
	event    *recordpb.Record
	at       time.Duration
}

// Config is the settings that a recorded module was made with.
func Config(o *recordpb.Opened) (cfg policy.Config, err error) {
	if err = json.Unmarshal(o.Config, &cfg); err != nil {
		err = fmt.Errorf("config: %w", err)
	}
	return cfg, err
}

// Open makes the present module as a recorded one was made.
func Open(o *recordpb.Opened, host policy.Host) (*policy.Balancer, error) {
	cfg, err := Config(o)
	if err != nil {
		return nil, err
	}
	return policy.New(cfg, o.Seed, host)
}

func open(o *recordpb.Opened, instance uint32) (*exact, error) {
	x := &exact{instance: instance}
	var err error
	x.b, err = Open(o, record.ActionRecorder(func(r *recordpb.Record) {
		r.Instance = instance
		x.acts = append(x.acts, r)
	}))
	return x, err
}

// expect compares a recorded action with the present module's next one.
func (x *exact) expect(c *Comparison, want *recordpb.Record, most int) {
	var have *recordpb.Record
	if len(x.acts) > 0 {
		have, x.acts = x.acts[0], x.acts[1:]
	}
	if have != nil {
		have.At = want.At
		if proto.Equal(want, have) {
			return
		}
	}
	x.depart(c, want, have, most)
}

// rest tells of actions that the recorded module did not take.
func (x *exact) rest(c *Comparison, most int) {
	for _, have := range x.acts {
		x.depart(c, nil, have, most)
	}
	x.acts = x.acts[:0]
}

func (x *exact) depart(c *Comparison, want, have *recordpb.Record, most int) {
	c.Departures++
	if len(c.First) < most {
		c.First = append(c.First, Departure{x.number, x.instance, x.at, text(x.event), want, have})
	}
}

// isAction says whether a record is what a module did, not what it was handed.
func isAction(r *recordpb.Record) bool {
	switch r.What.(type) {
	case *recordpb.Record_Send, *recordpb.Record_Refuse, *recordpb.Record_Fail, *recordpb.Record_Cancel,
		*recordpb.Record_Alarm,
		*recordpb.Record_Close, *recordpb.Record_Probe, *recordpb.Record_Watch, *recordpb.Record_Log:
		return true
	}
	return false
}

// Hand hands a recorded event to a module, at its time.
func Hand(b *policy.Balancer, r *recordpb.Record) error {
	now := time.Duration(r.At)
	switch what := r.What.(type) {
	case *recordpb.Record_Start:
		b.Start(now)
	case *recordpb.Record_Request:
		b.Request(now, record.DecodeRequest(what.Request))
	case *recordpb.Record_Outcome:
		b.Outcome(now, record.DecodeOutcome(what.Outcome))
	case *recordpb.Record_Wake:
		b.Wake(now)
	case *recordpb.Record_List:
		kind, entries := record.DecodeList(what.List)
		b.List(now, kind, entries)
	case *recordpb.Record_Probed:
		b.Probed(now, policy.ServerID(what.Probed.Server), what.Probed.Ok, record.DecodeLoad(what.Probed.Load))
	case *recordpb.Record_Gone:
		b.ClientGone(now, policy.RequestID(what.Gone.Id))
	case *recordpb.Record_Begun:
		b.StreamStarted(policy.RequestID(what.Begun.Id))
	case *recordpb.Record_Reconfigure:
		var l policy.Limits
		if err := json.Unmarshal(what.Reconfigure.Limits, &l); err != nil {
			return fmt.Errorf("limits: %w", err)
		}
		_ = b.Reconfigure(now, l) // refused then as now
	default:
		return fmt.Errorf("no event of this version: %T", r.What)
	}
	return nil
}
