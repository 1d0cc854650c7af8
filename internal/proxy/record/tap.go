package record

import (
	"encoding/json"
	"fmt"
	"time"

	"caperarch/internal/proxy/record/recordpb"
	"caperarch/policy"
)

// Tap stands between an engine and its module (it is an engine.Module): it writes down each event, each action, and passes them on unchanged.
type Tap struct {
	w        *Writer
	instance uint32
	now      time.Duration // of the event under way
	module   *policy.Balancer
	host     policy.Host
}

// Open makes a module behind a tap, or returns the module's error. instance tells it from others in the same file.
func (w *Writer) Open(instance uint32, cfg policy.Config, seed uint64, host policy.Host) (*Tap, error) {
	raw, err := json.Marshal(cfg)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	t := &Tap{w: w, instance: instance, host: host}
	if t.module, err = policy.New(cfg, seed, actions{t}); err != nil {
		return nil, err
	}
	t.put(&recordpb.Record{What: &recordpb.Record_Opened{Opened: &recordpb.Opened{Seed: seed, Config: raw}}})
	return t, nil
}

func (t *Tap) put(r *recordpb.Record) {
	r.At, r.Instance = int64(t.now), t.instance
	t.w.Append(r)
}

// event writes an event down.
func (t *Tap) event(now time.Duration, r *recordpb.Record) {
	t.now = now
	t.put(r)
}

// Start passes an event on, as do the following.
func (t *Tap) Start(now time.Duration) {
	t.event(now, &recordpb.Record{What: &recordpb.Record_Start{Start: &recordpb.Start{}}})
	t.module.Start(now)
}

func (t *Tap) Request(now time.Duration, q policy.Request) {
	t.event(now, &recordpb.Record{What: &recordpb.Record_Request{Request: fromRequest(q)}})
	t.module.Request(now, q)
}

func (t *Tap) Outcome(now time.Duration, o policy.Outcome) {
	t.event(now, &recordpb.Record{What: &recordpb.Record_Outcome{Outcome: fromOutcome(o)}})
	t.module.Outcome(now, o)
}

func (t *Tap) Wake(now time.Duration) {
	t.event(now, &recordpb.Record{What: &recordpb.Record_Wake{Wake: &recordpb.Wake{}}})
	t.module.Wake(now)
}

func (t *Tap) List(now time.Duration, kind policy.ListKind, entries []policy.Server) {
	t.event(now, &recordpb.Record{What: &recordpb.Record_List{List: fromList(kind, entries)}})
	t.module.List(now, kind, entries)
}

func (t *Tap) Probed(now time.Duration, id policy.ServerID, ok bool, l policy.Load) {
	t.event(now, &recordpb.Record{What: &recordpb.Record_Probed{Probed: &recordpb.Probed{Server: uint64(id), Ok: ok, Load: fromLoad(l)}}})
	t.module.Probed(now, id, ok, l)
}

func (t *Tap) ClientGone(now time.Duration, id policy.RequestID) {
	t.event(now, &recordpb.Record{What: &recordpb.Record_Gone{Gone: &recordpb.Gone{Id: uint64(id)}}})
	t.module.ClientGone(now, id)
}

func (t *Tap) StreamBegun(id policy.RequestID) {
	t.put(&recordpb.Record{What: &recordpb.Record_Begun{Begun: &recordpb.Begun{Id: uint64(id)}}})
	t.module.StreamBegun(id)
}

func (t *Tap) Reconfigure(now time.Duration, l policy.Limits) error {
	raw, err := json.Marshal(l)
	if err != nil {
		return fmt.Errorf("limits: %w", err)
	}
	t.event(now, &recordpb.Record{What: &recordpb.Record_Reconfigure{Reconfigure: &recordpb.Reconfigure{Limits: raw}}})
	return t.module.Reconfigure(now, l)
}

func (t *Tap) Counters() policy.Counters { return t.module.Counters() }

// actions is the module's host: the engine's, with each action written down before it is carried out.
type actions struct{ t *Tap }

func (a actions) scribe() Scribe { return a.t.put }

func (a actions) Send(id policy.RequestID, to policy.ServerID, timeout time.Duration) {
	a.scribe().Send(id, to, timeout)
	a.t.host.Send(id, to, timeout)
}

func (a actions) Refuse(id policy.RequestID, pause time.Duration) {
	a.scribe().Refuse(id, pause)
	a.t.host.Refuse(id, pause)
}

func (a actions) Fail(id policy.RequestID) {
	a.scribe().Fail(id)
	a.t.host.Fail(id)
}

func (a actions) Cancel(id policy.RequestID, attempt int) {
	a.scribe().Cancel(id, attempt)
	a.t.host.Cancel(id, attempt)
}

func (a actions) Wake(d time.Duration) {
	a.scribe().Wake(d)
	a.t.host.Wake(d)
}

func (a actions) Close(to policy.ServerID) {
	a.scribe().Close(to)
	a.t.host.Close(to)
}

func (a actions) Probe(to policy.ServerID) {
	a.scribe().Probe(to)
	a.t.host.Probe(to)
}

func (a actions) WatchList() {
	a.scribe().WatchList()
	a.t.host.WatchList()
}

func (a actions) Log(line string) {
	a.scribe().Log(line)
	a.t.host.Log(line)
}
