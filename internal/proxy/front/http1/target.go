package http1

import (
	"cmp"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/h1"
	"caperarch/internal/proxy/metrics"
	"caperarch/policy"
)

// Engine replies to the requests that the front accepts: see engine.Engine. Its methods are safe for concurrent use.
type Engine interface {
	// Submit submits a request. The reply is sent on the channel, which must have buffer space for it.
	Submit(q policy.Request, m *call.Message, deadline time.Duration, reply chan<- call.Answer) policy.RequestID
	// ClientGone reports that the client of a request has left. A reply that crosses this call is discarded.
	ClientGone(id policy.RequestID)
	// Done returns a channel that is closed once the engine accepts no more requests and has replied to all that it
	// accepted.
	Done() <-chan struct{}
}

// Target is a destination of requests: an engine, the requests that it accepts, and how many may be open at once.
// Each target has its own counts and its own set of open request ids: the same X-Request-ID at two targets means two
// different requests. The exported fields must be set before the first use; the methods are safe for concurrent use.
type Target struct {
	Engine       Engine
	Classes      map[string]int // index in ClassOf by class name
	ClassOf      []policy.Class
	Tenants      map[string]int   // tenant by name; empty: there are no tenants
	MaxOpen      int              // limit on open requests; 0: only the limits on connections apply
	MaxBodyBytes int64            // limit on the buffered body bytes of open requests
	Metrics      []*metrics.Class // by class; nil: requests are not counted

	sharedLimits    atomic.Pointer[SharedLimits]
	owner           owner        // of connections; guarded by the acceptor's lock
	maxOpenOverride atomic.Int64 // limit on open requests that replaces MaxOpen; 0: MaxOpen applies
	processes       atomic.Int64 // number of processes that share MaxBodyBytes; 0: one
	permitFlow      atomic.Int64 // the target's flow in readPermits
	openRequests    atomic.Int64 // requests without a response yet
	openBodyBytes   atomic.Int64 // reserved body bytes of these requests

	mu      sync.Mutex
	openIDs map[string]bool // ids of the requests without a response yet; guarded by mu
}

// SharedLimits are limits that several targets share. The methods are safe for concurrent use.
type SharedLimits interface {
	// BeginRead reserves a place for a connection whose request body is to be read, and returns whether a place was
	// free.
	BeginRead() bool
	// EndRead releases that place.
	EndRead()
	// Reserve reserves a place for a request with a body of size bytes, and returns whether there was one.
	Reserve(size int64) bool
	// HasCapacity returns whether Reserve would succeed now. It reserves nothing.
	HasCapacity(size int64) bool
	// Release releases what Reserve reserved.
	Release(size int64)
}

// RouteTo returns a Config.Route function that routes all requests to one target.
func RouteTo(t *Target) func(*h1.Head) (*Target, *Rejection) {
	return func(*h1.Head) (*Target, *Rejection) { return t, nil }
}

// SetSharedLimits sets limits that apply, in addition to the target's own, to all requests accepted from now on. nil
// removes them.
func (t *Target) SetSharedLimits(l SharedLimits) {
	if l == nil {
		t.sharedLimits.Store(nil)
		return
	}
	t.sharedLimits.Store(&l)
}

// classMetrics returns the metrics of a class; nil: requests are not counted.
func (t *Target) classMetrics(class int) *metrics.Class {
	if class < len(t.Metrics) {
		return t.Metrics[class]
	}
	return nil
}

// OpenRequests returns how many requests have no response yet.
func (t *Target) OpenRequests() int64 { return t.openRequests.Load() }

// SetMaxOpen sets a limit on open requests that replaces MaxOpen; 0 restores MaxOpen. Requests that are already open
// beyond the limit stay open.
func (t *Target) SetMaxOpen(limit int) { t.maxOpenOverride.Store(int64(limit)) }

// SetProcessCount divides MaxBodyBytes equally among the given number of processes.
func (t *Target) SetProcessCount(processes int) { t.processes.Store(int64(processes)) }

// maxOpen returns how many requests may be open now.
func (t *Target) maxOpen() int64 {
	if limit := t.maxOpenOverride.Load(); limit > 0 {
		return limit
	}
	return int64(cmp.Or(max(0, t.MaxOpen), math.MaxInt64))
}

// maxBodyBytes returns how many body bytes the open requests may have reserved now.
func (t *Target) maxBodyBytes() int64 { return t.MaxBodyBytes / max(1, t.processes.Load()) }

// hasCapacity returns whether the given number of additional requests, with the given body bytes in all, could be
// open now. It reserves nothing.
func (t *Target) hasCapacity(requests, bodyBytes int64) bool {
	return t.openRequests.Load()+requests <= t.maxOpen() && t.openBodyBytes.Load()+bodyBytes <= t.maxBodyBytes()
}

// reserve reserves capacity for a request with the given number of body bytes, and returns whether there was enough.
func (t *Target) reserve(bodyBytes int64) bool {
	requests, bytes := t.openRequests.Add(1), t.openBodyBytes.Add(bodyBytes)
	if requests > t.maxOpen() || bytes > t.maxBodyBytes() {
		t.release(bodyBytes)
		return false
	}
	return true
}

// release releases what reserve reserved.
func (t *Target) release(bodyBytes int64) {
	t.openRequests.Add(-1)
	t.openBodyBytes.Add(-bodyBytes)
}

// registerID registers the id of an open request. It returns false if another open request has the same id: an
// upstream would take the second request for a duplicate of the first.
func (t *Target) registerID(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.openIDs[id] {
		return false
	}
	if t.openIDs == nil {
		t.openIDs = make(map[string]bool)
	}
	t.openIDs[id] = true
	return true
}

func (t *Target) unregisterID(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.openIDs, id)
}
