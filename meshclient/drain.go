package meshclient

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"caperarch/meshapi"
)

// drainMargin is added to the time for which a draining upstream goes on serving: its state may be
// acknowledged before every sidecar has it.
const drainMargin = 300 * time.Millisecond

// Drain ends the upstream's part in the mesh. It has Run report draining until that is
// acknowledged, waits DrainTimeout and a margin of 0.3 s, during which the upstream goes on serving
// and Run goes on sending heartbeats, ends Run, waits for a heartbeat in flight, and deregisters the
// instance. It needs a Run that is under way.
//
// When ctx ends before the acknowledgement, or before the time to serve is over, Drain returns an
// *Error of kind Undetermined, and Run goes on saying that the upstream is draining; when it ends while
// the last heartbeat is in flight, the kind is the same, and Run ends. Without addresses the kind is
// InvalidUsage; an error of the deregistration is that of any call of the Client.
func (h *Heartbeats) Drain(ctx context.Context) error {
	if h.Client == nil || len(h.Client.Addresses) == 0 {
		return &Error{Kind: InvalidUsage, Message: "the client has no addresses"}
	}
	h.once.Do(h.start)
	h.startDraining()
	select {
	case <-h.drainAcknowledged:
	case <-ctx.Done():
		return &Error{Kind: Undetermined, Message: "draining was not acknowledged in time", cause: context.Cause(ctx)}
	}
	served := time.NewTimer(h.DrainTimeout + drainMargin)
	defer served.Stop()
	select {
	case <-served.C:
	case <-ctx.Done():
		return &Error{Kind: Undetermined, Message: "the context ended before the drain timeout", cause: context.Cause(ctx)}
	}
	h.stop()
	select { // a heartbeat that arrived behind the deregistration would be one of an instance that has ended
	case <-h.finished:
	case <-ctx.Done():
		return &Error{Kind: Undetermined, Message: "the context ended before the last heartbeat", cause: context.Cause(ctx)}
	}
	path := meshapi.InstancePath(meshapi.DeregisterPattern, h.Instance.ID)
	_, err := call[json.RawMessage](ctx, h.Client, http.MethodPost, path, []byte("{}"))
	return err
}

// startDraining makes Run report at once that the upstream is draining.
func (h *Heartbeats) startDraining() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draining = true
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// stop ends Run.
func (h *Heartbeats) stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.isStopped() {
		close(h.stopped)
	}
}
