package meshclient

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"caperarch/meshapi"
)

const (
	// acknowledgementTimeout is the time limit for the acknowledgement of a heartbeat. When it expires, the heartbeat
	// has failed.
	acknowledgementTimeout = time.Second
	// maxAcknowledgementBytes is the maximum body size of an acknowledgement. If the body is longer, the heartbeat
	// has failed.
	maxAcknowledgementBytes = 4 << 10
)

// Instance describes one run of an upstream, from its start to its end.
type Instance struct {
	// ID identifies the instance. Each start of the upstream requires a new ID. The field is required.
	ID string
	// Service is the name of the upstream's service. The field is required.
	Service string
	// Address is the address on which the upstream listens, in the form host:port. The field is required.
	Address string
	// Zone is the zone in which the upstream runs.
	Zone string
	// Version is the version of the upstream's software.
	Version string
	// Slots is the number of requests that the upstream can process concurrently.
	Slots int
	// Warmup is how long the upstream is slower than normal after the call of Heartbeats.Run.
	Warmup time.Duration
}

// Heartbeats registers an upstream with the mesh. Run sends heartbeats, and Drain drains and deregisters the
// upstream. The exported fields must be set before Run is called, and must not be changed afterwards. Run must be
// called only once. Drain may be called from another goroutine than Run.
type Heartbeats struct {
	// Client provides the control plane addresses. If a heartbeat is not acknowledged, the next heartbeat is sent to
	// the next address.
	Client *Client
	// Instance is the upstream instance that the heartbeats report.
	Instance Instance
	// Interval is the time between two heartbeats. It must be positive.
	Interval time.Duration
	// DrainTimeout is how long the upstream continues to serve requests after its draining state was acknowledged.
	DrainTimeout time.Duration
	// OnError is called by Run with an *Error for each heartbeat that was not acknowledged, unless the context of Run
	// has ended. It may be nil.
	OnError func(error)

	once              sync.Once
	startedAt         time.Time
	wake              chan struct{} // holds one element if a heartbeat must be sent immediately
	drainAcknowledged chan struct{} // closed when a heartbeat with the state draining was acknowledged
	stopped           chan struct{} // closed when no further heartbeat may be sent
	finished          chan struct{} // closed when Run returns, so that no heartbeat is in flight

	// mu guards draining and the closing of stopped. It also makes a change of draining and the related change of
	// wake atomic.
	mu       sync.Mutex
	draining bool

	// The remaining fields are accessed only by the goroutine of Run.
	sequence      int64  // number of the last heartbeat that was sent
	endpoint      string // host:port that the mesh named for heartbeats; empty if they go to the Client's addresses
	drainSignaled bool   // whether drainAcknowledged is closed
}

// initialize sets the unexported fields and initializes the Client. It is called once.
func (h *Heartbeats) initialize() {
	h.startedAt = time.Now()
	h.wake = make(chan struct{}, 1)
	h.drainAcknowledged = make(chan struct{})
	h.stopped = make(chan struct{})
	h.finished = make(chan struct{})
	h.Client.once.Do(h.Client.initialize)
}

// Run sends heartbeats until Drain stops it or ctx ends. It returns nil if Drain has stopped it, and the cause of ctx
// if ctx has ended. After a failed heartbeat, it sends the next one after a backoff delay of at most Interval. If a
// required field is not set, it returns an *Error of kind InvalidUsage.
func (h *Heartbeats) Run(ctx context.Context) error {
	if !h.hasRequiredFields() {
		const message = "heartbeats require client addresses, an interval, and an instance with ID, service and address"
		return &Error{Kind: InvalidUsage, Message: message}
	}
	h.once.Do(h.initialize)
	defer close(h.finished)
	retryBackoff := newBackoff(h.Interval)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-h.stopped:
			return nil
		case <-ctx.Done():
			return eris.Wrap(context.Cause(ctx), "heartbeats stopped because the context ended")
		case <-h.wake:
		case <-timer.C:
		}
		if h.isStopped() { // select chooses at random if several channels are ready
			return nil
		}
		if failure := h.send(ctx); failure != nil {
			timer.Reset(retryBackoff.delay(failure.retryAfter))
			if h.OnError != nil && ctx.Err() == nil {
				h.OnError(&failure.err)
			}
			continue
		}
		retryBackoff = newBackoff(h.Interval)
		timer.Reset(h.Interval)
	}
}

// isStopped reports whether stopped is closed, so that no further heartbeat may be sent.
func (h *Heartbeats) isStopped() bool {
	select {
	case <-h.stopped:
		return true
	default:
		return false
	}
}

// hasRequiredFields reports whether all required fields are set.
func (h *Heartbeats) hasRequiredFields() bool {
	instance := &h.Instance
	return instance.ID != "" && instance.Service != "" && instance.Address != "" &&
		h.Interval > 0 && h.Client != nil && len(h.Client.Addresses) > 0
}

// send sends one heartbeat. It returns nil if the heartbeat was acknowledged.
func (h *Heartbeats) send(ctx context.Context) *attemptFailure {
	state := h.stateToSend()
	address := h.endpoint
	if address == "" {
		address = h.Client.address()
	}
	request := &callRequest{
		method:           http.MethodPost,
		path:             meshapi.InstancePath(meshapi.HeartbeatPattern, h.Instance.ID),
		body:             h.encodeHeartbeat(state),
		maxResponseBytes: maxAcknowledgementBytes,
	}
	ctx, cancel := context.WithTimeout(ctx, acknowledgementTimeout)
	defer cancel()
	body, failure := request.attempt(ctx, h.Client.httpClient, address)
	if failure != nil {
		if failure.err.Kind == 0 {
			failure.err.Kind = kindWithoutResponse(failure.sent)
		}
		h.switchAddress(address)
		return failure
	}
	// A 2xx response acknowledges the heartbeat, even if its body is empty or cannot be decoded.
	var acknowledgement meshapi.HeartbeatResponse
	if json.Unmarshal(body, &acknowledgement) == nil && acknowledgement.HeartbeatEndpoint != "" {
		h.endpoint = acknowledgement.HeartbeatEndpoint
	}
	if state == meshapi.StateDraining && !h.drainSignaled {
		h.drainSignaled = true
		close(h.drainAcknowledged)
	}
	return nil
}

// stateToSend returns the state for the next heartbeat. It also clears wake, because the next heartbeat reports the
// state change that wake was set for.
func (h *Heartbeats) stateToSend() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.wake:
	default:
	}
	if h.draining {
		return meshapi.StateDraining
	}
	return meshapi.StateReady
}

// encodeHeartbeat increments the sequence number and returns the body of the next heartbeat.
func (h *Heartbeats) encodeHeartbeat(state string) []byte {
	h.sequence++
	instance := &h.Instance
	// Encoding cannot fail, because all fields are strings or finite numbers.
	body, _ := json.Marshal(meshapi.HeartbeatRequest{
		Address: instance.Address,
		NodeInfo: meshapi.InstanceInfo{
			ServiceName:   instance.Service,
			ConfigVersion: instance.Version,
			Zone:          instance.Zone,
			CapacitySlots: instance.Slots,
		},
		Status: meshapi.InstanceStatus{
			State:            state,
			CallSequence:     h.sequence,
			WarmupRemainingS: max(0, instance.Warmup-time.Since(h.startedAt)).Seconds(),
		},
	})
	return body
}

// switchAddress selects another address after a failed heartbeat: a Client address instead of the endpoint that the
// mesh named, or the next Client address.
func (h *Heartbeats) switchAddress(address string) {
	if h.endpoint != "" {
		h.endpoint = ""
		return
	}
	h.Client.rotateAddress(address)
}
