package record

import (
	"time"

	"caperarch/internal/proxy/record/recordpb"
	"caperarch/policy"
)

// ActionRecorder is a policy.Host that passes a record of each action to a function and does not perform the action.
type ActionRecorder func(*recordpb.Record)

// Send implements policy.Host.
func (r ActionRecorder) Send(id policy.RequestID, to policy.ServerID, timeout time.Duration) {
	send := &recordpb.Send{Id: uint64(id), Server: uint64(to), Timeout: int64(timeout)}
	r(&recordpb.Record{What: &recordpb.Record_Send{Send: send}})
}

// Refuse implements policy.Host.
func (r ActionRecorder) Refuse(id policy.RequestID, pause time.Duration) {
	r(&recordpb.Record{What: &recordpb.Record_Refuse{Refuse: &recordpb.Refuse{Id: uint64(id), Pause: int64(pause)}}})
}

// Fail implements policy.Host.
func (r ActionRecorder) Fail(id policy.RequestID) {
	r(&recordpb.Record{What: &recordpb.Record_Fail{Fail: &recordpb.Fail{Id: uint64(id)}}})
}

// Cancel implements policy.Host.
func (r ActionRecorder) Cancel(id policy.RequestID, attempt int) {
	r(&recordpb.Record{What: &recordpb.Record_Cancel{Cancel: &recordpb.Cancel{Id: uint64(id), Attempt: int32(attempt)}}})
}

// Wake implements policy.Host.
func (r ActionRecorder) Wake(d time.Duration) {
	r(&recordpb.Record{What: &recordpb.Record_Alarm{Alarm: &recordpb.Alarm{After: int64(d)}}})
}

// CloseIdleConnections implements policy.Host.
func (r ActionRecorder) CloseIdleConnections(to policy.ServerID) {
	r(&recordpb.Record{What: &recordpb.Record_Close{Close: &recordpb.Close{Server: uint64(to)}}})
}

// Probe implements policy.Host.
func (r ActionRecorder) Probe(to policy.ServerID) {
	r(&recordpb.Record{What: &recordpb.Record_Probe{Probe: &recordpb.Probe{Server: uint64(to)}}})
}

// WatchList implements policy.Host.
func (r ActionRecorder) WatchList() {
	r(&recordpb.Record{What: &recordpb.Record_Watch{Watch: &recordpb.Watch{}}})
}

// Log implements policy.Host.
func (r ActionRecorder) Log(line string) {
	r(&recordpb.Record{What: &recordpb.Record_Log{Log: &recordpb.Log{Line: line}}})
}
