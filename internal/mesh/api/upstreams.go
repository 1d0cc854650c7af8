package api

import (
	"net/http"

	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/registry"
	"caperarch/internal/mesh/rpc"
	"caperarch/meshapi"
)

// maxHeartbeatBytes bounds the body of a heartbeat or deregistration.
const maxHeartbeatBytes = 16 << 10

// UpstreamHandler processes the requests of upstreams. Its methods are called concurrently, and their
// errors are of the kinds of package errs.
type UpstreamHandler interface {
	// Heartbeat applies a heartbeat. If the error is nil, the heartbeat is acknowledged and takes effect
	// immediately.
	Heartbeat(u registry.Upstream) error
	// Deregister removes an upstream instance that has ended.
	Deregister(instance string) error
}

// RegisterUpstreamRoutes registers the routes of upstreams' requests, which the handler processes.
func RegisterUpstreamRoutes(mux *http.ServeMux, handler UpstreamHandler) {
	heartbeat := func(r *http.Request, request *meshapi.HeartbeatRequest) (*meshapi.HeartbeatResponse, error) {
		upstream, err := parseUpstream(r.PathValue("id"), request)
		if err != nil {
			return nil, err
		}
		return &meshapi.HeartbeatResponse{}, handler.Heartbeat(upstream)
	}
	deregister := func(r *http.Request, _ []byte) (*meshapi.HeartbeatResponse, error) {
		return &meshapi.HeartbeatResponse{}, handler.Deregister(r.PathValue("id"))
	}
	rpc.Handle(mux, "POST "+meshapi.HeartbeatPattern, maxHeartbeatBytes, heartbeat)
	rpc.HandleRaw(mux, "POST "+meshapi.DeregisterPattern, maxHeartbeatBytes, deregister)
}

// parseUpstream returns the state of the instance that a heartbeat reports. The error is of kind
// Invalid.
func parseUpstream(instance string, heartbeat *meshapi.HeartbeatRequest) (registry.Upstream, error) {
	upstream := registry.Upstream{
		Instance:        instance,
		Service:         heartbeat.NodeInfo.ServiceName,
		Address:         heartbeat.Address,
		Zone:            heartbeat.NodeInfo.Zone,
		Version:         heartbeat.NodeInfo.ConfigVersion,
		Slots:           heartbeat.NodeInfo.CapacitySlots,
		WarmupRemaining: heartbeat.Status.WarmupRemainingS,
		Sequence:        heartbeat.Status.CallSequence,
	}
	switch heartbeat.Status.State {
	case meshapi.StateReady:
		upstream.State = registry.Ready
	case meshapi.StateDraining:
		upstream.State = registry.Draining
	default:
		return upstream, errs.New(errs.Invalid,
			"status.state: %.32q is neither ready nor draining", heartbeat.Status.State)
	}
	if heartbeat.Address == "" {
		return upstream, errs.New(errs.Invalid, "address: missing")
	}
	return upstream, upstream.Check()
}
