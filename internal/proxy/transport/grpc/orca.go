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

// loadTrailer brings a server's load report with an answer (gRFC A51, Custom Backend Metrics Support).
const loadTrailer = "endpoint-load-metrics-bin"

// load reads the report that came with an answer; one that can't be read counts as none.
func (t *Transport) load(trailer metadata.MD) policy.Load {
	text := only(trailer, loadTrailer)
	if text == "" {
		return policy.Load{}
	}
	var r orcapb.OrcaLoadReport
	if proto.Unmarshal([]byte(text), &r) != nil {
		return policy.Load{}
	}
	return t.fromORCA(&r)
}

// fromORCA maps a report's fields to the module's: cpu_utilization is Busy, eps Errors, rps_fractional less eps
// Served. ORCA has none for requests held, waiting and their time, so these are named_metrics under names that
// the configuration gives, as any other; they come last, and so win. A value that is no usable number, and a
// utilization or rate of 0, which proto3 can't tell from none, count as absent.
func (t *Transport) fromORCA(r *orcapb.OrcaLoadReport) policy.Load {
	var l policy.Load
	set := func(field policy.LoadFields, v float64) { wire.SetLoad(&l, field, v) }
	if r.GetCpuUtilization() > 0 {
		set(policy.HasBusy, r.GetCpuUtilization())
	}
	if r.GetRpsFractional() > 0 {
		set(policy.HasServed, max(0, r.GetRpsFractional()-r.GetEps()))
		set(policy.HasErrors, r.GetEps())
	}
	for name, field := range t.cfg.Report {
		if v, told := r.GetNamedMetrics()[name]; told {
			set(field, v)
		}
	}
	return l
}

// Probe asks for a load report over ORCA's out-of-band service: the first one of a stream that is then given up.
func (h *host) Probe(told func(ok bool, load policy.Load)) {
	t := h.t
	t.running.Add(1)
	go func() {
		defer t.running.Done()
		ok, load := h.probe()
		told(ok, load)
	}()
}

func (h *host) probe() (bool, policy.Load) {
	t := h.t
	if !t.cfg.Probes {
		return false, policy.Load{}
	}
	sub, err := t.hold(h)
	if err != nil {
		return false, policy.Load{}
	}
	defer func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		sub.out--
		t.closeIfDone(sub)
	}()
	ctx, cancel := context.WithTimeout(t.ctx, t.cfg.DialTimeout)
	defer cancel()
	stream, err := orcasvc.NewOpenRcaServiceClient(sub.cc).StreamCoreMetrics(ctx, &orcasvc.OrcaLoadReportRequest{
		ReportInterval: durationpb.New(time.Minute), // only the first is wanted
	}, grpc.MaxCallRecvMsgSize(64<<10))
	if err != nil {
		return false, policy.Load{}
	}
	r, err := stream.Recv()
	if err != nil {
		return false, policy.Load{}
	}
	return true, t.fromORCA(r)
}
