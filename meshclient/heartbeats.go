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
	// acknowledgementTimeout is how long an acknowledgement may take. A later one counts as none.
	acknowledgementTimeout = time.Second
	// maxAcknowledgementBytes bounds an acknowledgement. A longer one counts as none.
	maxAcknowledgementBytes = 4 << 10
)

// Instance is one run of an upstream.
type Instance struct {
	// ID is new with each start of the upstream. It is required.
	ID string
	// Service is the name of its service. It is required.
	Service string
	// Address is where the upstream listens, host:port. It is required.
	Address string
	// Zone is where the upstream runs.
	Zone string
	// Version is that of the upstream's software.
	Version string
	// Slots is how many requests the upstream can run at once.
	Slots int
	// Warmup is for how long after the start of Heartbeats.Run the upstream is slow.
	Warmup time.Duration
}

// Heartbeats announces an upstream to the mesh: Run sends heartbeats, Drain drains and deregisters.
// The exported fields are set before Run and not changed afterwards. Run is called once; Drain may
// be called from other goroutines.
type Heartbeats struct {
	// Client has the addresses to send to; a heartbeat that is not acknowledged is followed by one
	// to the next address.
	Client *Client
	// Instance is the upstream.
	Instance Instance
	// Interval is the time between two heartbeats.
	Interval time.Duration
	// DrainTimeout is how long the upstream goes on serving once it is known to be draining.
	DrainTimeout time.Duration
	// OnError, where not nil, is called by Run with an *Error for each heartbeat that was not acknowledged.
	OnError func(error)

	once              sync.Once
	startedAt         time.Time
	wake              chan struct{} // holds one element when a heartbeat is to be sent at once
	drainAcknowledged chan struct{} // closed when a heartbeat that says draining was acknowledged
	stopped           chan struct{} // closed when no further heartbeat is to be sent
	finished          chan struct{} // closed when Run has returned: no heartbeat is in flight

	// mu guards draining, the closing of stopped, and what wake holds while draining changes.
	mu       sync.Mutex
	draining bool

	// The remaining fields belong to the goroutine of Run.
	sequence        int64
	endpoint        string // where heartbeats go, host:port; empty: to the Client's addresses
	drainIsNotified bool   // drainAcknowledged is closed
}

func (h *Heartbeats) start() {
	h.startedAt = time.Now()
	h.wake = make(chan struct{}, 1)
	h.drainAcknowledged = make(chan struct{})
	h.stopped = make(chan struct{})
	h.finished = make(chan struct{})
	h.Client.once.Do(h.Client.start)
}

// Run sends heartbeats until Drain has finished, and then returns nil, or until ctx ends, and then
// returns its cause. After one that fails the next follows with a backoff of at most Interval.
// Without the required fields it returns an *Error of kind InvalidUsage.
func (h *Heartbeats) Run(ctx context.Context) error {
	if !h.configured() {
		const message = "heartbeats need a client with addresses, an interval, and an instance with id, service and address"
		return &Error{Kind: InvalidUsage, Message: message}
	}
	h.once.Do(h.start)
	defer close(h.finished)
	retry := newBackoff(h.Interval)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-h.stopped:
			return nil
		case <-ctx.Done():
			return eris.Wrap(context.Cause(ctx), "heartbeats ended")
		case <-h.wake:
		case <-timer.C:
		}
		if h.isStopped() { // at the same moment
			return nil
		}
		if failure := h.send(ctx); failure != nil {
			timer.Reset(retry.delay(failure.retryAfter))
			if h.OnError != nil && ctx.Err() == nil {
				h.OnError(&failure.err)
			}
			continue
		}
		retry = newBackoff(h.Interval)
		timer.Reset(h.Interval)
	}
}

// isStopped reports whether no further heartbeat is to be sent.
func (h *Heartbeats) isStopped() bool {
	select {
	case <-h.stopped:
		return true
	default:
		return false
	}
}

// configured reports whether the required fields are set.
func (h *Heartbeats) configured() bool {
	instance := &h.Instance
	return instance.ID != "" && instance.Service != "" && instance.Address != "" &&
		h.Interval > 0 && h.Client != nil && len(h.Client.Addresses) > 0
}

// send sends one heartbeat; nil means that it was acknowledged.
func (h *Heartbeats) send(ctx context.Context) *attemptFailure {
	state := h.stateToSend()
	address := h.endpoint
	if address == "" {
		address = h.Client.address()
	}
	request := &callRequest{
		method:           http.MethodPost,
		path:             meshapi.InstancePath(meshapi.HeartbeatPattern, h.Instance.ID),
		body:             h.nextMessage(state),
		maxResponseBytes: maxAcknowledgementBytes,
	}
	ctx, cancel := context.WithTimeout(ctx, acknowledgementTimeout)
	defer cancel()
	body, failure := request.attempt(ctx, h.Client.httpClient, address)
	if failure != nil {
		if failure.err.Kind == 0 {
			failure.err.Kind = kindWithoutAnswer(failure.sent)
		}
		h.leaveAddress(address)
		return failure
	}
	// A 2xx acknowledges, whatever its body is.
	var acknowledgement meshapi.HeartbeatResponse
	if json.Unmarshal(body, &acknowledgement) == nil && acknowledgement.HeartbeatEndpoint != "" {
		h.endpoint = acknowledgement.HeartbeatEndpoint
	}
	if state == meshapi.StateDraining && !h.drainIsNotified {
		h.drainIsNotified = true
		close(h.drainAcknowledged)
	}
	return nil
}

// stateToSend returns the upstream's state, and drops a pending wake: this heartbeat carries what
// it was for.
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

// nextMessage encodes the next heartbeat.
func (h *Heartbeats) nextMessage(state string) []byte {
	h.sequence++
	instance := &h.Instance
	// A struct of strings and finite numbers always encodes.
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

// leaveAddress goes back from the endpoint that the mesh named to the Client's addresses, or on to
// the next of those.
func (h *Heartbeats) leaveAddress(address string) {
	if h.endpoint != "" {
		h.endpoint = ""
		return
	}
	h.Client.moveOn(address)
}
