package record

import (
	"time"

	"caperarch/internal/proxy/record/recordpb"
	"caperarch/policy"
)

// The words of the module and those of the file, both ways.

func fromRequest(q policy.Request) *recordpb.Request {
	return &recordpb.Request{
		Id: uint64(q.ID), Class: int32(q.Class), Tenant: int32(q.Tenant), Key: q.Key, Left: int64(q.TimeLeft), Work: int64(q.Work), Repeat: q.IsRetry,
	}
}

// Request is a recorded request.
func Request(q *recordpb.Request) policy.Request {
	return policy.Request{
		ID: policy.RequestID(q.Id), Class: int(q.Class), Tenant: int(q.Tenant), Key: q.Key,
		TimeLeft: time.Duration(q.Left), Work: time.Duration(q.Work), IsRetry: q.Repeat,
	}
}

func fromLoad(l policy.Load) *recordpb.Load {
	if l == (policy.Load{}) {
		return nil
	}
	return &recordpb.Load{
		Has: uint32(l.Has), InFlight: l.InFlight, Queued: l.Queued, Busy: l.Busy, Service: int64(l.Service), Served: l.Served, Errors: l.Errors,
	}
}

// Load is a recorded load report; nil is none.
func Load(l *recordpb.Load) policy.Load {
	return policy.Load{
		Has: policy.LoadFields(l.GetHas()), InFlight: l.GetInFlight(), Queued: l.GetQueued(), Busy: l.GetBusy(),
		Service: time.Duration(l.GetService()), Served: l.GetServed(), Errors: l.GetErrors(),
	}
}

func fromOutcome(o policy.Outcome) *recordpb.Outcome {
	return &recordpb.Outcome{
		Id: uint64(o.ID), Attempt: int32(o.Attempt), Ending: int32(o.Ending), Settled: o.Finished, Load: fromLoad(o.Load),
	}
}

// Outcome is a recorded end of an attempt.
func Outcome(o *recordpb.Outcome) policy.Outcome {
	return policy.Outcome{
		ID: policy.RequestID(o.Id), Attempt: int(o.Attempt), Ending: policy.Ending(o.Ending), Finished: o.Settled, Load: Load(o.Load),
	}
}

func fromList(kind policy.ListKind, entries []policy.Server) *recordpb.List {
	l := &recordpb.List{Kind: int32(kind)}
	for _, s := range entries {
		l.Servers = append(l.Servers, &recordpb.Server{
			Id: uint64(s.ID), Zone: int32(s.Zone), Cell: int32(s.Cell), State: int32(s.State), Weight: s.Weight, Started: int64(s.Started),
		})
	}
	return l
}

// List is a recorded list of servers.
func List(l *recordpb.List) (policy.ListKind, []policy.Server) {
	var entries []policy.Server
	for _, s := range l.Servers {
		entries = append(entries, policy.Server{
			ID: policy.ServerID(s.Id), Zone: int(s.Zone), Cell: int(s.Cell), State: policy.State(s.State), Weight: s.Weight,
			Started: time.Duration(s.Started),
		})
	}
	return policy.ListKind(l.Kind), entries
}
