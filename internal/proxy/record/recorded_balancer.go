package record

import (
	"encoding/json"
	"fmt"
	"time"

	"caperarch/internal/proxy/record/recordpb"
	"caperarch/policy"
)

// RecordedBalancer records each event of an engine and each action of its balancer, and forwards both unchanged. It
// implements engine.Module, so that the engine uses it in place of the balancer.
type RecordedBalancer struct {
	writer   *Writer
	instance uint32
	now      time.Duration // time of the current event
	balancer *policy.Balancer
	host     policy.Host
}

// NewBalancer returns a new balancer that is recorded, or the error of policy.New. instance identifies the balancer
// among other balancers in the same file.
func (w *Writer) NewBalancer(
	instance uint32, cfg policy.Config, seed uint64, host policy.Host,
) (*RecordedBalancer, error) {
	raw, err := json.Marshal(cfg)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	b := &RecordedBalancer{writer: w, instance: instance, host: host}
	if b.balancer, err = policy.New(cfg, seed, recordingHost{b}); err != nil {
		return nil, err
	}
	b.append(&recordpb.Record{What: &recordpb.Record_Opened{Opened: &recordpb.Opened{Seed: seed, Config: raw}}})
	return b, nil
}

// append sets the record's time and instance and appends the record to the file.
func (b *RecordedBalancer) append(r *recordpb.Record) {
	r.At, r.Instance = int64(b.now), b.instance
	b.writer.Append(r)
}

// recordEvent records an event at the given time, which also applies to the actions that follow.
func (b *RecordedBalancer) recordEvent(now time.Duration, r *recordpb.Record) {
	b.now = now
	b.append(r)
}

// Start implements engine.Module. Like the other methods, it records the event and forwards it to the balancer.
func (b *RecordedBalancer) Start(now time.Duration) {
	b.recordEvent(now, &recordpb.Record{What: &recordpb.Record_Start{Start: &recordpb.Start{}}})
	b.balancer.Start(now)
}

// Request implements engine.Module.
func (b *RecordedBalancer) Request(now time.Duration, q policy.Request) {
	b.recordEvent(now, &recordpb.Record{What: &recordpb.Record_Request{Request: encodeRequest(q)}})
	b.balancer.Request(now, q)
}

// Outcome implements engine.Module.
func (b *RecordedBalancer) Outcome(now time.Duration, o policy.Outcome) {
	b.recordEvent(now, &recordpb.Record{What: &recordpb.Record_Outcome{Outcome: encodeOutcome(o)}})
	b.balancer.Outcome(now, o)
}

// Wake implements engine.Module.
func (b *RecordedBalancer) Wake(now time.Duration) {
	b.recordEvent(now, &recordpb.Record{What: &recordpb.Record_Wake{Wake: &recordpb.Wake{}}})
	b.balancer.Wake(now)
}

// List implements engine.Module.
func (b *RecordedBalancer) List(now time.Duration, kind policy.ListKind, entries []policy.Server) {
	b.recordEvent(now, &recordpb.Record{What: &recordpb.Record_List{List: encodeList(kind, entries)}})
	b.balancer.List(now, kind, entries)
}

// Probed implements engine.Module.
func (b *RecordedBalancer) Probed(now time.Duration, id policy.ServerID, ok bool, l policy.Load) {
	probed := &recordpb.Probed{Server: uint64(id), Ok: ok, Load: encodeLoad(l)}
	b.recordEvent(now, &recordpb.Record{What: &recordpb.Record_Probed{Probed: probed}})
	b.balancer.Probed(now, id, ok, l)
}

// ClientGone implements engine.Module.
func (b *RecordedBalancer) ClientGone(now time.Duration, id policy.RequestID) {
	b.recordEvent(now, &recordpb.Record{What: &recordpb.Record_Gone{Gone: &recordpb.Gone{Id: uint64(id)}}})
	b.balancer.ClientGone(now, id)
}

// StreamStarted implements engine.Module.
func (b *RecordedBalancer) StreamStarted(id policy.RequestID) {
	b.append(&recordpb.Record{What: &recordpb.Record_Begun{Begun: &recordpb.Begun{Id: uint64(id)}}})
	b.balancer.StreamStarted(id)
}

// Reconfigure implements engine.Module.
func (b *RecordedBalancer) Reconfigure(now time.Duration, l policy.Limits) error {
	raw, err := json.Marshal(l)
	if err != nil {
		return fmt.Errorf("limits: %w", err)
	}
	reconfigure := &recordpb.Reconfigure{Limits: raw}
	b.recordEvent(now, &recordpb.Record{What: &recordpb.Record_Reconfigure{Reconfigure: reconfigure}})
	return b.balancer.Reconfigure(now, l)
}

// Counters returns the balancer's counters.
func (b *RecordedBalancer) Counters() policy.Counters { return b.balancer.Counters() }

// recordingHost is the balancer's policy.Host. It records each action and then forwards it to the engine's host.
type recordingHost struct{ balancer *RecordedBalancer }

func (h recordingHost) recorder() ActionRecorder { return h.balancer.append }

// Send implements policy.Host.
func (h recordingHost) Send(id policy.RequestID, to policy.ServerID, timeout time.Duration) {
	h.recorder().Send(id, to, timeout)
	h.balancer.host.Send(id, to, timeout)
}

// Refuse implements policy.Host.
func (h recordingHost) Refuse(id policy.RequestID, pause time.Duration) {
	h.recorder().Refuse(id, pause)
	h.balancer.host.Refuse(id, pause)
}

// Fail implements policy.Host.
func (h recordingHost) Fail(id policy.RequestID) {
	h.recorder().Fail(id)
	h.balancer.host.Fail(id)
}

// Cancel implements policy.Host.
func (h recordingHost) Cancel(id policy.RequestID, attempt int) {
	h.recorder().Cancel(id, attempt)
	h.balancer.host.Cancel(id, attempt)
}

// Wake implements policy.Host.
func (h recordingHost) Wake(d time.Duration) {
	h.recorder().Wake(d)
	h.balancer.host.Wake(d)
}

// CloseIdleConnections implements policy.Host.
func (h recordingHost) CloseIdleConnections(to policy.ServerID) {
	h.recorder().CloseIdleConnections(to)
	h.balancer.host.CloseIdleConnections(to)
}

// Probe implements policy.Host.
func (h recordingHost) Probe(to policy.ServerID) {
	h.recorder().Probe(to)
	h.balancer.host.Probe(to)
}

// WatchList implements policy.Host.
func (h recordingHost) WatchList() {
	h.recorder().WatchList()
	h.balancer.host.WatchList()
}

// Log implements policy.Host.
func (h recordingHost) Log(line string) {
	h.recorder().Log(line)
	h.balancer.host.Log(line)
}
