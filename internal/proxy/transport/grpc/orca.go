package grpc

import (
	"context"
	"time"

	orcapb "github.com/cncf/xds/go/xds/data/orca/v3"
	orcasvc "github.com/cncf/xds/go/xds/service/orca/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"caperarch/internal/proxy/wire"
	"caperarch/policy"
)

// loadTrailer has a server's load report in a response (gRFC A51, Custom Backend Metrics Support).
const loadTrailer = "endpoint-load-metrics-bin"

// parseLoad parses the load report of a response; one that can't be parsed counts as none.
func (t *Transport) parseLoad(trailer metadata.MD) policy.Load {
	text := singleValue(trailer, loadTrailer)
	if text == "" {
		return policy.Load{}
	}
	var r orcapb.OrcaLoadReport
	if proto.Unmarshal([]byte(text), &r) != nil {
		return policy.Load{}
	}
	return t.loadFromORCA(&r)
}

// loadFromORCA maps a report's fields to the policy's: cpu_utilization is Busy, eps Errors, rps_fractional less eps
// Served. ORCA has none for requests held, waiting and their time, so these are named_metrics under names that
// the configuration gives, as any other; they come last, and so win. A value that is no usable number, and a
// utilization or rate of 0, which proto3 can't tell from none, count as absent.
func (t *Transport) loadFromORCA(r *orcapb.OrcaLoadReport) policy.Load {
	var l policy.Load
	set := func(field policy.LoadFields, v float64) { wire.SetLoad(&l, field, v) }
	if r.GetCpuUtilization() > 0 {
		set(policy.HasBusy, r.GetCpuUtilization())
	}
	if r.GetRpsFractional() > 0 {
		set(policy.HasServed, max(0, r.GetRpsFractional()-r.GetEps()))
		set(policy.HasErrors, r.GetEps())
	}
	for name, field := range t.cfg.LoadMetrics {
		if v, ok := r.GetNamedMetrics()[name]; ok {
			set(field, v)
		}
	}
	return l
}

// Probe asks for a load report over ORCA's out-of-band service: the first one of a stream that is cancelled then.
func (h *host) Probe(done func(ok bool, load policy.Load)) {
	t := h.transport
	t.running.Add(1)
	go func() {
		defer t.running.Done()
		ok, load := h.probe()
		done(ok, load)
	}()
}

// probe returns the load report, and whether there is one.
func (h *host) probe() (bool, policy.Load) {
	t := h.transport
	if !t.cfg.ORCAProbes {
		return false, policy.Load{}
	}
	sub, err := t.acquire(h)
	if err != nil {
		return false, policy.Load{}
	}
	defer func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		sub.calls--
		t.closeIfDone(sub)
	}()
	ctx, cancel := context.WithTimeout(t.ctx, t.cfg.DialTimeout)
	defer cancel()
	stream, err := orcasvc.NewOpenRcaServiceClient(sub.clientConn).StreamCoreMetrics(ctx, &orcasvc.OrcaLoadReportRequest{
		ReportInterval: durationpb.New(time.Minute), // only the first is wanted
	}, grpc.MaxCallRecvMsgSize(64<<10))
	if err != nil {
		return false, policy.Load{}
	}
	r, err := stream.Recv()
	if err != nil {
		return false, policy.Load{}
	}
	return true, t.loadFromORCA(r)
}
