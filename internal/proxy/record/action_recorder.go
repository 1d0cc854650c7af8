package record

import (
	"time"

	"caperarch/internal/proxy/record/recordpb"
	"caperarch/policy"
)

// ActionRecorder is a policy.Host that calls a function with a record of each action, and does nothing else.
type ActionRecorder func(*recordpb.Record)

// Send records an action, as do the other methods.
func (r ActionRecorder) Send(id policy.RequestID, to policy.ServerID, timeout time.Duration) {
	send := &recordpb.Send{Id: uint64(id), Server: uint64(to), Timeout: int64(timeout)}
	r(&recordpb.Record{What: &recordpb.Record_Send{Send: send}})
}

// Refuse records an action.
func (r ActionRecorder) Refuse(id policy.RequestID, pause time.Duration) {
	r(&recordpb.Record{What: &recordpb.Record_Refuse{Refuse: &recordpb.Refuse{Id: uint64(id), Pause: int64(pause)}}})
}

// Fail records an action.
func (r ActionRecorder) Fail(id policy.RequestID) {
	r(&recordpb.Record{What: &recordpb.Record_Fail{Fail: &recordpb.Fail{Id: uint64(id)}}})
}

// Cancel records an action.
func (r ActionRecorder) Cancel(id policy.RequestID, attempt int) {
	r(&recordpb.Record{What: &recordpb.Record_Cancel{Cancel: &recordpb.Cancel{Id: uint64(id), Attempt: int32(attempt)}}})
}

// Wake records an action.
func (r ActionRecorder) Wake(d time.Duration) {
	r(&recordpb.Record{What: &recordpb.Record_Alarm{Alarm: &recordpb.Alarm{After: int64(d)}}})
}

// CloseIdleConnections records an action.
func (r ActionRecorder) CloseIdleConnections(to policy.ServerID) {
	r(&recordpb.Record{What: &recordpb.Record_Close{Close: &recordpb.Close{Server: uint64(to)}}})
}

// Probe records an action.
func (r ActionRecorder) Probe(to policy.ServerID) {
	r(&recordpb.Record{What: &recordpb.Record_Probe{Probe: &recordpb.Probe{Server: uint64(to)}}})
}

// WatchList records an action.
func (r ActionRecorder) WatchList() {
	r(&recordpb.Record{What: &recordpb.Record_Watch{Watch: &recordpb.Watch{}}})
}

// Log records an action.
func (r ActionRecorder) Log(line string) {
	r(&recordpb.Record{What: &recordpb.Record_Log{Log: &recordpb.Log{Line: line}}})
}
