package api

import (
	"net/http"

	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/registry"
	"caperarch/internal/mesh/rpc"
	"caperarch/meshapi"
)

// maxHeartbeatBytes bounds the body of a heartbeat.
const maxHeartbeatBytes = 16 << 10

// UpstreamHandler handles the requests of upstreams. Its methods are called from many goroutines,
// and their errors are of the kinds of package errs.
type UpstreamHandler interface {
	// Heartbeat applies a heartbeat. Without an error it is acknowledged, and in force from now on.
	Heartbeat(u registry.Upstream) error
	// Deregister removes an instance that has ended.
	Deregister(instance string) error
}

// RegisterUpstreamRoutes registers the routes of upstreams' requests, served by the handler.
func RegisterUpstreamRoutes(mux *http.ServeMux, handler UpstreamHandler) {
	heartbeat := func(r *http.Request, request *meshapi.HeartbeatRequest) (*meshapi.HeartbeatResponse, error) {
		up, err := upstreamOf(r.PathValue("id"), request)
		if err != nil {
			return nil, err
		}
		return &meshapi.HeartbeatResponse{}, handler.Heartbeat(up)
	}
	deregister := func(r *http.Request, _ []byte) (*meshapi.HeartbeatResponse, error) {
		return &meshapi.HeartbeatResponse{}, handler.Deregister(r.PathValue("id"))
	}
	rpc.Handle(mux, "POST "+meshapi.HeartbeatPattern, maxHeartbeatBytes, heartbeat)
	rpc.HandleRaw(mux, "POST "+meshapi.DeregisterPattern, maxHeartbeatBytes, deregister)
}

// upstreamOf returns what a heartbeat says of its instance. The error is Invalid.
func upstreamOf(instance string, heartbeat *meshapi.HeartbeatRequest) (registry.Upstream, error) {
	up := registry.Upstream{
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
		up.State = registry.Ready
	case meshapi.StateDraining:
		up.State = registry.Draining
	default:
		return up, errs.New(errs.Invalid,
			"status.state: %.32q is neither ready nor draining", heartbeat.Status.State)
	}
	if heartbeat.Address == "" {
		return up, errs.New(errs.Invalid, "address: missing")
	}
	return up, up.Check()
}
