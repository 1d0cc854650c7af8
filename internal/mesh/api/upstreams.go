// Package api takes what upstreams tell of themselves and what operators ask: the calls of the control
// plane's address, the same on every machine. Who settles a call is the caller's: an UpstreamHandler for
// upstreams, an OperatorHandler for operators.
package api

import (
	"net/http"

	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/registry"
	"caperarch/internal/mesh/rpc"
	"caperarch/meshapi"
)

// maxHeartbeatBytes bounds a heartbeat's body.
const maxHeartbeatBytes = 16 << 10

// upstreamOf is what a heartbeat says of an instance.
func upstreamOf(instance string, b *meshapi.HeartbeatRequest) (registry.Upstream, error) {
	u := registry.Upstream{
		Instance:        instance,
		Service:         b.NodeInfo.ServiceName,
		Address:         b.Address,
		Zone:            b.NodeInfo.Zone,
		Version:         b.NodeInfo.ConfigVersion,
		Slots:           b.NodeInfo.CapacitySlots,
		WarmupRemaining: b.Status.WarmupRemainingS,
		Sequence:        b.Status.CallSequence,
	}
	switch b.Status.State {
	case meshapi.StateReady:
		u.State = registry.Ready
	case meshapi.StateDraining:
		u.State = registry.Draining
	default:
		return u, errs.New(errs.Invalid, "status.state: %.32q is neither ready nor draining", b.Status.State)
	}
	if b.Address == "" {
		return u, errs.New(errs.Invalid, "address: missing")
	}
	return u, u.Check()
}

// UpstreamHandler takes what upstreams say.
type UpstreamHandler interface {
	// Heartbeat takes a heartbeat. With no error it is acknowledged: what it says holds from now on.
	Heartbeat(u registry.Upstream) error
	// Deregister takes that an instance has ended.
	Deregister(instance string) error
}

// RegisterUpstreamRoutes serves what upstreams call.
func RegisterUpstreamRoutes(mux *http.ServeMux, to UpstreamHandler) {
	heartbeat := func(r *http.Request, b *meshapi.HeartbeatRequest) (*meshapi.HeartbeatResponse, error) {
		u, err := upstreamOf(r.PathValue("id"), b)
		if err != nil {
			return nil, err
		}
		return &meshapi.HeartbeatResponse{}, to.Heartbeat(u)
	}
	deregister := func(r *http.Request, _ []byte) (*meshapi.HeartbeatResponse, error) {
		return &meshapi.HeartbeatResponse{}, to.Deregister(r.PathValue("id"))
	}
	rpc.Handle(mux, "POST "+meshapi.HeartbeatPattern, maxHeartbeatBytes, heartbeat)
	rpc.HandleRaw(mux, "POST "+meshapi.DeregisterPattern, maxHeartbeatBytes, deregister)
}
