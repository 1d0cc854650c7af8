package record

import (
	"encoding/json"
	"fmt"
	"time"

	"caperarch/internal/proxy/record/recordpb"
	"caperarch/policy"
)

// RecordedBalancer records each event of an engine and each action of its balancer, and forwards them unchanged. It
// takes the balancer's place before the engine (it is an engine.Module).
type RecordedBalancer struct {
	writer   *Writer
	instance uint32
	now      time.Duration // of the current event
	balancer *policy.Balancer
	host     policy.Host
}

// NewBalancer makes a balancer that is recorded, or returns the balancer's error. instance identifies it among others
// in the same file.
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

// append appends a record to the file.
func (b *RecordedBalancer) append(r *recordpb.Record) {
	r.At, r.Instance = int64(b.now), b.instance
	b.writer.Append(r)
}

// recordEvent records an event.
func (b *RecordedBalancer) recordEvent(now time.Duration, r *recordpb.Record) {
	b.now = now
	b.append(r)
}

// Start forwards an event, as do the other methods.
func (b *RecordedBalancer) Start(now time.Duration) {
	b.recordEvent(now, &recordpb.Record{What: &recordpb.Record_Start{Start: &recordpb.Start{}}})
	b.balancer.Start(now)
}

// Request forwards an event.
func (b *RecordedBalancer) Request(now time.Duration, q policy.Request) {
	b.recordEvent(now, &recordpb.Record{What: &recordpb.Record_Request{Request: encodeRequest(q)}})
	b.balancer.Request(now, q)
}

// Outcome forwards an event.
func (b *RecordedBalancer) Outcome(now time.Duration, o policy.Outcome) {
	b.recordEvent(now, &recordpb.Record{What: &recordpb.Record_Outcome{Outcome: encodeOutcome(o)}})
	b.balancer.Outcome(now, o)
}

// Wake forwards an event.
func (b *RecordedBalancer) Wake(now time.Duration) {
	b.recordEvent(now, &recordpb.Record{What: &recordpb.Record_Wake{Wake: &recordpb.Wake{}}})
	b.balancer.Wake(now)
}

// List forwards an event.
func (b *RecordedBalancer) List(now time.Duration, kind policy.ListKind, entries []policy.Server) {
	b.recordEvent(now, &recordpb.Record{What: &recordpb.Record_List{List: encodeList(kind, entries)}})
	b.balancer.List(now, kind, entries)
}

// Probed forwards an event.
func (b *RecordedBalancer) Probed(now time.Duration, id policy.ServerID, ok bool, l policy.Load) {
	probed := &recordpb.Probed{Server: uint64(id), Ok: ok, Load: encodeLoad(l)}
	b.recordEvent(now, &recordpb.Record{What: &recordpb.Record_Probed{Probed: probed}})
	b.balancer.Probed(now, id, ok, l)
}

// ClientGone forwards an event.
func (b *RecordedBalancer) ClientGone(now time.Duration, id policy.RequestID) {
	b.recordEvent(now, &recordpb.Record{What: &recordpb.Record_Gone{Gone: &recordpb.Gone{Id: uint64(id)}}})
	b.balancer.ClientGone(now, id)
}

// StreamStarted forwards an event.
func (b *RecordedBalancer) StreamStarted(id policy.RequestID) {
	b.append(&recordpb.Record{What: &recordpb.Record_Begun{Begun: &recordpb.Begun{Id: uint64(id)}}})
	b.balancer.StreamStarted(id)
}

// Reconfigure forwards an event.
func (b *RecordedBalancer) Reconfigure(now time.Duration, l policy.Limits) error {
	raw, err := json.Marshal(l)
	if err != nil {
		return fmt.Errorf("limits: %w", err)
	}
	reconfigure := &recordpb.Reconfigure{Limits: raw}
	b.recordEvent(now, &recordpb.Record{What: &recordpb.Record_Reconfigure{Reconfigure: reconfigure}})
	return b.balancer.Reconfigure(now, l)
}

// Counters are the balancer's.
func (b *RecordedBalancer) Counters() policy.Counters { return b.balancer.Counters() }

// recordingHost is the balancer's host: the engine's, with each action recorded before it is carried out.
type recordingHost struct{ balancer *RecordedBalancer }

func (h recordingHost) recorder() ActionRecorder { return h.balancer.append }

// Send records and forwards an action.
func (h recordingHost) Send(id policy.RequestID, to policy.ServerID, timeout time.Duration) {
	h.recorder().Send(id, to, timeout)
	h.balancer.host.Send(id, to, timeout)
}

// Refuse records and forwards an action.
func (h recordingHost) Refuse(id policy.RequestID, pause time.Duration) {
	h.recorder().Refuse(id, pause)
	h.balancer.host.Refuse(id, pause)
}

// Fail records and forwards an action.
func (h recordingHost) Fail(id policy.RequestID) {
	h.recorder().Fail(id)
	h.balancer.host.Fail(id)
}

// Cancel records and forwards an action.
func (h recordingHost) Cancel(id policy.RequestID, attempt int) {
	h.recorder().Cancel(id, attempt)
	h.balancer.host.Cancel(id, attempt)
}

// Wake records and forwards an action.
func (h recordingHost) Wake(d time.Duration) {
	h.recorder().Wake(d)
	h.balancer.host.Wake(d)
}

// CloseIdleConnections records and forwards an action.
func (h recordingHost) CloseIdleConnections(to policy.ServerID) {
	h.recorder().CloseIdleConnections(to)
	h.balancer.host.CloseIdleConnections(to)
}

// Probe records and forwards an action.
func (h recordingHost) Probe(to policy.ServerID) {
	h.recorder().Probe(to)
	h.balancer.host.Probe(to)
}

// WatchList records and forwards an action.
func (h recordingHost) WatchList() {
	h.recorder().WatchList()
	h.balancer.host.WatchList()
}

// Log records and forwards an action.
func (h recordingHost) Log(line string) {
	h.recorder().Log(line)
	h.balancer.host.Log(line)
}
