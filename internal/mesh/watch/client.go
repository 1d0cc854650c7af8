package watch

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/registry"
)

const (
	// firstPause and lastPause bound the pauses between members that fail one
	// after the other, against a crowd that knocks without a break.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// steadyAfter is how long a member must have served for its failure to
	// count as a first one, against a fast round between members that all fail.
	stableAfter = time.Second
	// maxKnown bounds the members remembered, against a member gone wrong.
	maxKnownMembers = 64
	// largeFrame is the size from which a frame's buffer is let go, so that one
	// large configuration does not hold its memory for good.
	maxRetainedFrame = 256 << 10
	// maxRefusal bounds what is read of a refused watch.
	maxErrorBody = 4 << 10
)

// ClientConfig is what a Client is made of. All fields but Zone, Seeds,
// Services and Of are required. The callbacks OnConfig and OnRegistry are called
// one at a time, from Run.
type ClientConfig struct {
	Node string
	// Incarnation grows from process life to process life, for example its start in
	// nanoseconds.
	Incarnation uint64
	Zone        string
	// Seeds are internal addresses of core members to begin with.
	Seeds []string
	// Client must have no Timeout of its own, since watches last.
	HTTP *http.Client
	// State gives the Upstream, Applied and Leaving of this sidecar's lease,
	// with the warm-up that is left now.
	State func() registry.Lease
	// ConfigVersion is the configuration version held. OnConfig applies a change or
	// a whole configuration, passes over versions already held, and returns
	// false to be sent the whole.
	ConfigVersion func() int64
	OnConfig      func(frame json.RawMessage) (ok bool)
	// OnRegistry takes upserts and removals; if full, the upserts replace all.
	OnRegistry func(full bool, upserts []registry.Upstream, removals []string)
	// Services names the services this sidecar calls; nil or none means all.
	Services func() []string
	Log      *zap.Logger
}

// Client is the sidecar's side: it holds a lease and a watch at one core
// member and goes to another when that one fails.
type Client struct {
	cfg         ClientConfig
	renewNow    chan struct{}
	resubscribe chan struct{}
	contactLost chan struct{} // the member kept to says that it has no contact

	mu            sync.Mutex
	leaseSequence uint64
	left          bool
	connected     bool
	members       int
	peakMembers   int
	seeds         []string
	discovered    []Peer
	current       string
	moveTarget    string // the member found to go to, in place of one without contact
	// confirmedAt is the latest time at which what is applied is known to have
	// been the newest.
	confirmedAt time.Time

	// The rest belongs to Run.
	attempted       map[string]bool
	registryEpoch   uint64 // what is held is everything of this epoch and number,
	registryNumber  uint64 // or nothing is if the epoch is 0
	services        []string
	needsFullConfig bool
}

// The reasons for which a Client leaves a member that did not fail.
var (
	errResubscribe  = errs.New(errs.Internal, "the watch is opened anew")
	errCloserMember = errs.New(errs.Internal, "a member of the own zone is there")
	errIdleTimeout  = errs.New(errs.Unreachable, "the member says nothing")
)

// NewClient makes a Client; Run sets it going.
func NewClient(cfg ClientConfig) *Client {
	return &Client{
		cfg: cfg, renewNow: make(chan struct{}, 1), resubscribe: make(chan struct{}, 1), contactLost: make(chan struct{}, 1),
		seeds: slices.Clone(cfg.Seeds), attempted: map[string]bool{},
	}
}

// Connected says whether news comes in: a member serves the watch now.
func (c *Client) Connected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.connected
}

// Members is the number of sidecars with a live lease, as heard last. A member
// that may not have heard from everybody only raises it.
func (c *Client) Members() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.members
}

// PeakMembers is the largest number of sidecars lately, as heard last.
func (c *Client) PeakMembers() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peakMembers
}

// Peers gives the internal addresses of the core members known, the one kept to
// first, then in the order in which they would be tried.
func (c *Client) Peers() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	order := c.memberOrder()
	if i := slices.Index(order, c.current); i > 0 {
		order = slices.Insert(slices.Delete(order, i, i+1), 0, c.current)
	}
	return order
}

// SetSeeds replaces the seeds. Members learned since are kept.
func (c *Client) SetSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = slices.Clone(seeds)
}

// RenewNow renews the lease at once, since what State gives has changed.
func (c *Client) RenewNow() { signal(c.renewNow) }

// Resubscribe opens the watch anew, since what Services gives has changed.
func (c *Client) Resubscribe() { signal(c.resubscribe) }

func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
