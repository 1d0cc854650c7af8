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
	// beatTime is how long an acknowledgement may take. A later one counts as none.
	beatTime = time.Second
	// beatLimit bounds an acknowledgement. A longer one counts as none.
	beatLimit = 4 << 10
	// drainMargin is added to the time for which a draining upstream goes on serving, against acknowledgements that were
	// sent before the news had reached every sidecar.
	drainMargin = 300 * time.Millisecond
)

// Instance is one life of an upstream.
type Instance struct {
	// ID is new in each life.
	ID      string
	Service string
	// Address is where the upstream listens.
	Address string
	Zone    string
	// Version is that of its software.
	Version string
	Slots   int
	// Warmup is how long after Heartbeats.Run begins the upstream stays slow.
	Warmup time.Duration
}

// Heartbeats tells the mesh of an upstream: Run beats, Drain takes leave. Its fields are set before Run and not changed.
type Heartbeats struct {
	// Client gives the addresses; a beat that is not acknowledged goes on to the next.
	Client   *Client
	Instance Instance
	// Interval is the time between beats.
	Interval time.Duration
	// DrainTimeout is how long the upstream goes on serving once its leaving is acknowledged.
	DrainTimeout time.Duration
	// OnError, where not nil, hears of each beat that was not acknowledged. It is called from Run.
	OnError func(error)

	once  sync.Once
	begun time.Time
	poke  chan struct{} // there is something to say now
	acked chan struct{} // closed when the leaving is acknowledged
	ended chan struct{} // closed when no beat is to follow

	mu       sync.Mutex
	draining bool
	finished bool

	// The rest belongs to Run.
	sequence int64
	endpoint string // where beats go, empty: to the Client's addresses
	told     bool   // the leaving is acknowledged
}

func (b *Heartbeats) start() {
	b.begun = time.Now()
	b.poke, b.acked, b.ended = make(chan struct{}, 1), make(chan struct{}), make(chan struct{})
	b.Client.once.Do(b.Client.start)
}

// Run beats until Drain has taken leave, and then gives nil, or until ctx ends, and then gives its error. A beat that
// fails is followed by the next after a pause that grows to the Interval. It is called once.
func (b *Heartbeats) Run(ctx context.Context) error {
	if in := b.Instance; in.ID == "" || in.Service == "" || in.Address == "" || b.Interval <= 0 || b.Client == nil || len(b.Client.Addresses) == 0 {
		return &Error{Kind: InvalidUsage, Message: "beats need a client with addresses, an interval, and an instance with id, service and address"}
	}
	b.once.Do(b.start)
	failing := newPause(b.Interval)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-b.ended:
			return nil
		case <-ctx.Done():
			return eris.Wrap(context.Cause(ctx), "the beats end")
		case <-b.poke:
		case <-timer.C:
		}
		if t := b.beat(ctx); t != nil {
			timer.Reset(failing.length(t.retryAfter))
			if b.OnError != nil && ctx.Err() == nil {
				b.OnError(&t.err)
			}
			continue
		}
		failing = newPause(b.Interval)
		timer.Reset(b.Interval)
	}
}

// beat says once how the upstream fares; nil: that was acknowledged.
func (b *Heartbeats) beat(ctx context.Context) *trouble {
	b.mu.Lock()
	draining := b.draining
	select {
	case <-b.poke: // this beat says what there was to say
	default:
	}
	b.mu.Unlock()
	state := meshapi.StateReady
	if draining {
		state = meshapi.StateDraining
	}
	b.sequence++
	in := b.Instance
	// A struct of texts and finite numbers always encodes.
	body, _ := json.Marshal(meshapi.HeartbeatRequest{
		Address: in.Address,
		NodeInfo: meshapi.InstanceInfo{
			ServiceName:   in.Service,
			ConfigVersion: in.Version,
			Zone:          in.Zone,
			CapacitySlots: in.Slots,
		},
		Status: meshapi.InstanceStatus{
			State:            state,
			CallSequence:     b.sequence,
			WarmupRemainingS: max(0, in.Warmup-time.Since(b.begun)).Seconds(),
		},
	})
	address := b.endpoint
	if address == "" {
		address = b.Client.address()
	}
	within, cancel := context.WithTimeout(ctx, beatTime)
	defer cancel()
	answer, t := attempt(within, b.Client.http, address, http.MethodPost, meshapi.InstancePath(meshapi.HeartbeatPattern, in.ID), body, beatLimit)
	if t != nil {
		if t.err.Kind == 0 {
			if t.err.Kind = Unreachable; t.sent {
				t.err.Kind = Undetermined
			}
		}
		if b.endpoint != "" {
			b.endpoint = ""
		} else {
			b.Client.moveOn(address)
		}
		return t
	}
	var said meshapi.HeartbeatResponse
	// A 2xx acknowledges whatever its body is.
	if json.Unmarshal(answer, &said) == nil && said.HeartbeatEndpoint != "" {
		b.endpoint = said.HeartbeatEndpoint
	}
	if draining && !b.told {
		b.told = true
		close(b.acked)
	}
	return nil
}

// Drain takes leave: it says that the upstream is draining until that is acknowledged, waits DrainTimeout and a little
// longer, during which the upstream goes on serving and Run goes on beating, ends Run and deregisters. It needs Run.
// When ctx ends before the acknowledgement, or before the time to serve is over, the error says so and Run goes on
// saying that the upstream is draining.
func (b *Heartbeats) Drain(ctx context.Context) error {
	if b.Client == nil || len(b.Client.Addresses) == 0 {
		return &Error{Kind: InvalidUsage, Message: "the client has no addresses"}
	}
	b.once.Do(b.start)
	b.mu.Lock()
	b.draining = true
	select {
	case b.poke <- struct{}{}:
	default:
	}
	b.mu.Unlock()
	select {
	case <-b.acked:
	case <-ctx.Done():
		return &Error{Kind: Undetermined, Message: "the leaving was not acknowledged", cause: context.Cause(ctx)}
	}
	served := time.NewTimer(b.DrainTimeout + drainMargin)
	defer served.Stop()
	select {
	case <-served.C:
	case <-ctx.Done():
		return &Error{Kind: Undetermined, Message: "the time to go on serving was cut short", cause: context.Cause(ctx)}
	}
	b.mu.Lock()
	if !b.finished {
		b.finished = true
		close(b.ended)
	}
	b.mu.Unlock()
	_, err := call[json.RawMessage](ctx, b.Client, http.MethodPost, meshapi.InstancePath(meshapi.DeregisterPattern, b.Instance.ID), []byte("{}"))
	return err
}
