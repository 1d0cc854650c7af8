package record

import (
	"time"

	"caperarch/internal/proxy/record/recordpb"
	"caperarch/policy"
)

// This file converts between the types of package policy and the types of package recordpb.

func encodeRequest(q policy.Request) *recordpb.Request {
	return &recordpb.Request{
		Id: uint64(q.ID), Class: int32(q.Class), Tenant: int32(q.Tenant), Key: q.Key,
		Left: int64(q.TimeLeft), Work: int64(q.Work), Repeat: q.IsRetry,
	}
}

// DecodeRequest converts a recorded request.
func DecodeRequest(q *recordpb.Request) policy.Request {
	return policy.Request{
		ID: policy.RequestID(q.Id), Class: int(q.Class), Tenant: int(q.Tenant), Key: q.Key,
		TimeLeft: time.Duration(q.Left), Work: time.Duration(q.Work), IsRetry: q.Repeat,
	}
}

func encodeLoad(l policy.Load) *recordpb.Load {
	if l == (policy.Load{}) {
		return nil
	}
	return &recordpb.Load{
		Has: uint32(l.Has), InFlight: l.InFlight, Queued: l.Queued, Busy: l.Busy,
		Service: int64(l.Service), Served: l.Served, Errors: l.Errors,
	}
}

// DecodeLoad converts a recorded load report. nil is converted to an empty load report.
func DecodeLoad(l *recordpb.Load) policy.Load {
	return policy.Load{
		Has: policy.LoadFields(l.GetHas()), InFlight: l.GetInFlight(), Queued: l.GetQueued(), Busy: l.GetBusy(),
		Service: time.Duration(l.GetService()), Served: l.GetServed(), Errors: l.GetErrors(),
	}
}

func encodeOutcome(o policy.Outcome) *recordpb.Outcome {
	return &recordpb.Outcome{
		Id: uint64(o.ID), Attempt: int32(o.Attempt), Ending: int32(o.Ending), Settled: o.Finished, Load: encodeLoad(o.Load),
	}
}

// DecodeOutcome converts the recorded outcome of an attempt.
func DecodeOutcome(o *recordpb.Outcome) policy.Outcome {
	return policy.Outcome{
		ID: policy.RequestID(o.Id), Attempt: int(o.Attempt), Ending: policy.Ending(o.Ending),
		Finished: o.Settled, Load: DecodeLoad(o.Load),
	}
}

func encodeList(kind policy.ListKind, entries []policy.Server) *recordpb.List {
	l := &recordpb.List{Kind: int32(kind)}
	for _, s := range entries {
		l.Servers = append(l.Servers, &recordpb.Server{
			Id: uint64(s.ID), Zone: int32(s.Zone), Cell: int32(s.Cell), State: int32(s.State),
			Weight: s.Weight, Started: int64(s.Started),
		})
	}
	return l
}

// DecodeList converts a recorded server list.
func DecodeList(l *recordpb.List) (policy.ListKind, []policy.Server) {
	var entries []policy.Server
	for _, s := range l.Servers {
		entries = append(entries, policy.Server{
			ID: policy.ServerID(s.Id), Zone: int(s.Zone), Cell: int(s.Cell), State: policy.State(s.State), Weight: s.Weight,
			Started: time.Duration(s.Started),
		})
	}
	return policy.ListKind(l.Kind), entries
}
