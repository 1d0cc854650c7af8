// Package api takes what upstreams tell of themselves and what operators ask: the calls of the control
// plane's address, the same on every machine. Who settles a call is the caller's: an UpstreamHandler for
// upstreams, an OperatorHandler for operators.
package api

import (
	"net/http"

	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/registry"
	"caperarch/internal/mesh/rpc"
)

// beatLimit bounds a heartbeat's body.
const beatLimit = 16 << 10

// HeartbeatRequest is a heartbeat's body.
type HeartbeatRequest struct {
	Address  string   `json:"address"`
	NodeInfo NodeInfo `json:"nodeInfo"`
	Status   Status   `json:"status"`
}

// NodeInfo is what stays the same for an instance's life.
type NodeInfo struct {
	ServiceName   string `json:"serviceName"`
	ConfigVersion string `json:"configVersion"` // of its software
	Zone          string `json:"zone"`
	CapacitySlots int    `json:"capacitySlots"`
}

// Status is how it fares.
type Status struct {
	State            string  `json:"state"` // ready or draining
	CallSequence     int64   `json:"callSequence"`
	WarmupRemainingS float64 `json:"warmupRemainingS"`
}

// HeartbeatResponse is the answer to a heartbeat. Beats go on to where they came.
type HeartbeatResponse struct {
	HeartbeatEndpoint string `json:"heartbeatEndpoint,omitempty"`
}

// Upstream is what a beat says of an instance.
func (b *HeartbeatRequest) Upstream(instance string) (registry.Upstream, error) {
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
	case "ready":
		u.State = registry.Ready
	case "draining":
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
	rpc.Handle(mux, "POST /api/instances/{id}/heartbeat", beatLimit, func(r *http.Request, b *HeartbeatRequest) (*HeartbeatResponse, error) {
		u, err := b.Upstream(r.PathValue("id"))
		if err != nil {
			return nil, err
		}
		return &HeartbeatResponse{}, to.Heartbeat(u)
	})
	rpc.HandleRaw(mux, "POST /api/instances/{id}/deregister", beatLimit, func(r *http.Request, _ []byte) (*HeartbeatResponse, error) {
		return &HeartbeatResponse{}, to.Deregister(r.PathValue("id"))
	})
}
