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
	// Submit hands a request over; the reply comes on the channel, which has space for it.
	Submit(q policy.Request, m *call.Message, deadline time.Duration, reply chan<- call.Answer) policy.RequestID
	// ClientGone reports that a request's client has left. A reply that crosses this is discarded.
	ClientGone(id policy.RequestID)
	// Done is closed once the engine accepts no more requests and has replied to all it had accepted.
	Done() <-chan struct{}
}

// Target is where requests go: an engine, which requests it takes and how many at once. Its counts are its own, and so
// are the ids of open requests: the same X-Request-ID at two targets is two requests. The exported fields are set
// before it is used; its methods are safe for concurrent use.
type Target struct {
	Engine       Engine
	Classes      map[string]int // index in ClassOf by class name
	ClassOf      []policy.Class
	Tenants      map[string]int   // tenant by name; empty where there are none
	MaxOpen      int              // open requests at most; 0: no limit but that on connections
	MaxBodyBytes int64            // bytes of their bodies at most
	Metrics      []*metrics.Class // by class; nil: nobody counts

	sharedLimits    atomic.Pointer[SharedLimits]
	owner           owner        // of connections, under the acceptor's lock
	maxOpenOverride atomic.Int64 // limit on open requests in place of MaxOpen; 0: MaxOpen holds
	processes       atomic.Int64 // processes that MaxBodyBytes is divided among; 0: one
	permitFlow      atomic.Int64 // its flow in readPermits
	openRequests    atomic.Int64 // requests without a response yet
	openBodyBytes   atomic.Int64 // bytes of their bodies

	mu      sync.Mutex
	openIDs map[string]bool // ids of the requests without a response yet; guarded by mu
}

// SharedLimits are limits that several targets share. They are safe for concurrent use.
type SharedLimits interface {
	// BeginRead reserves a place for a connection on which a request's body is to be read, and returns whether there
	// was one.
	BeginRead() bool
	// EndRead releases that place.
	EndRead()
	// Reserve reserves a place for a request with a body of size bytes, and returns whether there was one.
	Reserve(size int64) bool
	// HasCapacity returns whether Reserve would succeed now. It reserves nothing.
	HasCapacity(size int64) bool
	// Release releases what Reserve has reserved.
	Release(size int64)
}

// RouteTo routes all requests to one target.
func RouteTo(t *Target) func(*h1.Head) (*Target, *Rejection) {
	return func(*h1.Head) (*Target, *Rejection) { return t, nil }
}

// SetSharedLimits has requests that are accepted from now on count against these limits too; nil: no longer.
func (t *Target) SetSharedLimits(l SharedLimits) {
	if l == nil {
		t.sharedLimits.Store(nil)
		return
	}
	t.sharedLimits.Store(&l)
}

// classMetrics are the metrics of a class; nil: nobody counts.
func (t *Target) classMetrics(class int) *metrics.Class {
	if class < len(t.Metrics) {
		return t.Metrics[class]
	}
	return nil
}

// OpenRequests is how many requests have no response yet.
func (t *Target) OpenRequests() int64 { return t.openRequests.Load() }

// SetMaxOpen limits open requests in place of MaxOpen; 0: MaxOpen holds again. Open requests beyond it stay.
func (t *Target) SetMaxOpen(limit int) { t.maxOpenOverride.Store(int64(limit)) }

// SetProcessCount divides MaxBodyBytes among so many processes; this one has one share of it.
func (t *Target) SetProcessCount(processes int) { t.processes.Store(int64(processes)) }

// maxOpen is how many requests may be open now.
func (t *Target) maxOpen() int64 {
	if limit := t.maxOpenOverride.Load(); limit > 0 {
		return limit
	}
	return int64(cmp.Or(max(0, t.MaxOpen), math.MaxInt64))
}

// maxBodyBytes is how many bytes of bodies the open requests may have now.
func (t *Target) maxBodyBytes() int64 { return t.MaxBodyBytes / max(1, t.processes.Load()) }

// hasCapacity returns whether so many more requests could be open now, with so many more bytes of bodies. It reserves
// nothing.
func (t *Target) hasCapacity(requests, bodyBytes int64) bool {
	return t.openRequests.Load()+requests <= t.maxOpen() && t.openBodyBytes.Load()+bodyBytes <= t.maxBodyBytes()
}

// reserve reserves a place for a request with a body of so many bytes, and returns whether there was one.
func (t *Target) reserve(bodyBytes int64) bool {
	requests, bytes := t.openRequests.Add(1), t.openBodyBytes.Add(bodyBytes)
	if requests > t.maxOpen() || bytes > t.maxBodyBytes() {
		t.release(bodyBytes)
		return false
	}
	return true
}

// release releases what reserve has reserved.
func (t *Target) release(bodyBytes int64) {
	t.openRequests.Add(-1)
	t.openBodyBytes.Add(-bodyBytes)
}

// registerID registers an open request's id, and returns false if another request is open under it: upstreams would
// take the second one for a copy of the first.
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
