package meshclient

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"caperarch/meshapi"
)

// drainMargin is added to Heartbeats.DrainTimeout, because the mesh may acknowledge the draining state before all
// sidecars have received it.
const drainMargin = 300 * time.Millisecond

// Drain removes the upstream from the mesh. Run must be running when Drain is called. Drain works in these steps:
//
//   - It makes Run report the state draining, and waits until a heartbeat with this state is acknowledged.
//   - It waits for DrainTimeout and a margin of 0.3 s. During this time, the upstream must continue to serve requests,
//     and Run continues to send heartbeats.
//   - It stops Run, waits for the heartbeat that is in flight, and deregisters the instance.
//
// If ctx ends during the first two steps, Drain returns an *Error of kind Undetermined, and Run continues to report
// the state draining. If ctx ends while the last heartbeat is in flight, the error has the same kind, but Run
// returns. If the Client has no addresses, the error is of kind InvalidUsage. An error of the deregistration has the
// kinds that any call of the Client can return.
func (h *Heartbeats) Drain(ctx context.Context) error {
	if h.Client == nil || len(h.Client.Addresses) == 0 {
		return &Error{Kind: InvalidUsage, Message: "client has no control plane addresses"}
	}
	h.once.Do(h.initialize)
	h.startDraining()
	select {
	case <-h.drainAcknowledged:
	case <-ctx.Done():
		return &Error{
			Kind:    Undetermined,
			Message: "context ended before the draining state was acknowledged",
			cause:   context.Cause(ctx),
		}
	}
	drainTimer := time.NewTimer(h.DrainTimeout + drainMargin)
	defer drainTimer.Stop()
	select {
	case <-drainTimer.C:
	case <-ctx.Done():
		return &Error{
			Kind:    Undetermined,
			Message: "context ended before the drain timeout expired",
			cause:   context.Cause(ctx),
		}
	}
	h.stop()
	// A heartbeat that is received after the deregistration would announce the instance again although it has ended.
	select {
	case <-h.finished:
	case <-ctx.Done():
		return &Error{
			Kind:    Undetermined,
			Message: "context ended while the last heartbeat was in flight",
			cause:   context.Cause(ctx),
		}
	}
	path := meshapi.InstancePath(meshapi.DeregisterPattern, h.Instance.ID)
	_, err := call[json.RawMessage](ctx, h.Client, http.MethodPost, path, []byte("{}"))
	return err
}

// startDraining makes Run immediately send a heartbeat with the state draining.
func (h *Heartbeats) startDraining() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draining = true
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// stop makes Run return and send no further heartbeats. It may be called more than once.
func (h *Heartbeats) stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.isStopped() {
		close(h.stopped)
	}
}
