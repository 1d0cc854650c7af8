// Package replay passes recorded events (internal/proxy/record) to the present decision module, either to find where
// its actions differ from the recorded ones, or to estimate the outcomes it would have had. The package does no I/O.
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

// Source returns records one after the other, and io.EOF after the last: a record.Reader, or a slice in tests.
type Source interface {
	Next() (*recordpb.Record, error)
}

// Departure is a difference between the recorded actions and those of the present module.
type Departure struct {
	Record   int              // number of the event, from 1
	Instance uint32           // number of the module in the process
	At       time.Duration    // since the start of the recording
	Event    string           // the event that preceded the action
	Recorded *recordpb.Record // nil if there was no further recorded action
	Present  *recordpb.Record // nil if the present module takes no further action
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

// Comparison is the result of an exact replay.
type Comparison struct {
	Events, Actions int // numbers of records
	Departures      int // after the first one, the states of the two modules differ
	First           []Departure
	Ended           string // why the recording ended before its process; "" if it did not
	Cut             bool   // the file ends within a record
}

// Exact passes the recorded events to the present module at their recorded times and compares its actions with the
// recorded ones. It keeps the first most departures. An error means that the file is not valid.
func Exact(from Source, most int) (Comparison, error) {
	var c Comparison
	all := make(map[uint32]*exact)
	var start int64
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
		if start == 0 {
			start = r.At
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
		x.reportRemaining(&c, most)
		x.number, x.event, x.at = n, r, time.Duration(r.At-start)
		if err := Apply(x.b, r); err != nil {
			return c, fmt.Errorf("record %d: %w", n, err)
		}
	}
}

func finish(c Comparison, all map[uint32]*exact, most int) Comparison {
	for _, x := range all {
		if !c.Cut && c.Ended == "" { // otherwise the actions of the last event may be missing
			x.reportRemaining(&c, most)
		}
	}
	return c
}

// exact is an instance that is being compared.
type exact struct {
	b        *policy.Balancer
	instance uint32
	actions  []*recordpb.Record // actions of the present module that have not been compared yet
	number   int
	event    *recordpb.Record
	at       time.Duration
}

// Config decodes the configuration of a recorded module.
func Config(o *recordpb.Opened) (cfg policy.Config, err error) {
	if err = json.Unmarshal(o.Config, &cfg); err != nil {
		err = fmt.Errorf("decode the recorded module configuration: %w", err)
	}
	return cfg, err
}

// Open creates the present module with the configuration of a recorded one.
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
		x.actions = append(x.actions, r)
	}))
	return x, err
}

// expect compares a recorded action with the next action of the present module.
func (x *exact) expect(c *Comparison, want *recordpb.Record, most int) {
	var have *recordpb.Record
	if len(x.actions) > 0 {
		have, x.actions = x.actions[0], x.actions[1:]
	}
	if have != nil {
		have.At = want.At
		if proto.Equal(want, have) {
			return
		}
	}
	x.addDeparture(c, want, have, most)
}

// reportRemaining reports the actions that the recorded module did not take.
func (x *exact) reportRemaining(c *Comparison, most int) {
	for _, have := range x.actions {
		x.addDeparture(c, nil, have, most)
	}
	x.actions = x.actions[:0]
}

func (x *exact) addDeparture(c *Comparison, want, have *recordpb.Record, most int) {
	c.Departures++
	if len(c.First) < most {
		c.First = append(c.First, Departure{x.number, x.instance, x.at, text(x.event), want, have})
	}
}

// isAction reports whether a record is an action of a module and not an event.
func isAction(r *recordpb.Record) bool {
	switch r.What.(type) {
	case *recordpb.Record_Send, *recordpb.Record_Refuse, *recordpb.Record_Fail, *recordpb.Record_Cancel,
		*recordpb.Record_Alarm,
		*recordpb.Record_Close, *recordpb.Record_Probe, *recordpb.Record_Watch, *recordpb.Record_Log:
		return true
	}
	return false
}

// Apply passes a recorded event to a module, at its recorded time.
func Apply(b *policy.Balancer, r *recordpb.Record) error {
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
			return fmt.Errorf("decode the recorded limits: %w", err)
		}
		_ = b.Reconfigure(now, l) // the recorded module rejected the same limits
	default:
		return fmt.Errorf("record of unknown type %T, expected an event of this version", r.What)
	}
	return nil
}
