package record

import (
	"time"

	"caperarch/internal/proxy/record/recordpb"
	"caperarch/policy"
)

// Scribe is a policy.Host that makes a record of each action, and does nothing else.
type Scribe func(*recordpb.Record)

// Send writes an action down, as do the following.
func (s Scribe) Send(id policy.RequestID, to policy.ServerID, timeout time.Duration) {
	s(&recordpb.Record{What: &recordpb.Record_Send{Send: &recordpb.Send{Id: uint64(id), Server: uint64(to), Timeout: int64(timeout)}}})
}

func (s Scribe) Refuse(id policy.RequestID, pause time.Duration) {
	s(&recordpb.Record{What: &recordpb.Record_Refuse{Refuse: &recordpb.Refuse{Id: uint64(id), Pause: int64(pause)}}})
}

func (s Scribe) Fail(id policy.RequestID) {
	s(&recordpb.Record{What: &recordpb.Record_Fail{Fail: &recordpb.Fail{Id: uint64(id)}}})
}

func (s Scribe) Cancel(id policy.RequestID, attempt int) {
	s(&recordpb.Record{What: &recordpb.Record_Cancel{Cancel: &recordpb.Cancel{Id: uint64(id), Attempt: int32(attempt)}}})
}

func (s Scribe) Wake(d time.Duration) {
	s(&recordpb.Record{What: &recordpb.Record_Alarm{Alarm: &recordpb.Alarm{After: int64(d)}}})
}

func (s Scribe) Close(to policy.ServerID) {
	s(&recordpb.Record{What: &recordpb.Record_Close{Close: &recordpb.Close{Server: uint64(to)}}})
}

func (s Scribe) Probe(to policy.ServerID) {
	s(&recordpb.Record{What: &recordpb.Record_Probe{Probe: &recordpb.Probe{Server: uint64(to)}}})
}

func (s Scribe) WatchList() {
	s(&recordpb.Record{What: &recordpb.Record_Watch{Watch: &recordpb.Watch{}}})
}

func (s Scribe) Log(line string) {
	s(&recordpb.Record{What: &recordpb.Record_Log{Log: &recordpb.Log{Line: line}}})
}
