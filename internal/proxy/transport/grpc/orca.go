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

// loadTrailer is the trailer of a response that contains the server's load report (gRFC A51, Custom Backend Metrics
// Support).
const loadTrailer = "endpoint-load-metrics-bin"

// parseLoad parses the load report in a response's trailers. A malformed report is treated as an absent report.
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

// loadFromORCA converts an ORCA load report to a policy.Load: Busy is cpu_utilization, Errors is eps, and Served is
// rps_fractional minus eps. ORCA has no fields for requests in flight, queued requests and service time, so these are
// read from named_metrics, under the names in Config.LoadMetrics. Named metrics are applied last and override the other
// fields. An invalid number is treated as absent, and so is a utilization or rate of 0, because proto3 does not
// distinguish 0 from an absent field.
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

// Probe requests a load report from the server's ORCA out-of-band service. It takes the first report of the stream and
// then cancels the stream.
func (h *host) Probe(done func(ok bool, load policy.Load)) {
	t := h.transport
	t.running.Add(1)
	go func() {
		defer t.running.Done()
		ok, load := h.probe()
		done(ok, load)
	}()
}

// probe returns the load report, and whether the server sent a report.
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
		ReportInterval: durationpb.New(time.Minute), // only the first report is read
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
