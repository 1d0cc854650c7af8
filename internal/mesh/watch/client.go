package watch

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/httpclient"
	"caperarch/internal/mesh/registry"
)

// ClientConfig configures a Client. All fields but Zone, Seeds, Services and OnDeregistered are required. Run calls
// OnConfig and OnRegistry, one at a time.
type ClientConfig struct {
	Node string
	// Incarnation identifies this run of the process and should grow with each run, for example the start
	// time in nanoseconds. If it did not grow because the machine's clock went back, the Client uses a larger
	// incarnation instead.
	Incarnation registry.Incarnation
	Zone        string
	// Seeds are the internal addresses of the core machines to try first.
	Seeds []string
	// HTTP must have no Timeout set, since a watch stays open indefinitely. NewHTTPClient returns a suitable
	// client.
	HTTP *http.Client
	// State returns a lease with Upstream, Applied and Leaving set, and with the remaining warm-up time as of
	// now.
	State func() registry.Lease
	// ConfigVersion returns the configuration version that is applied. OnConfig applies a configuration
	// change or a full configuration, and skips versions that are already applied. It returns false to
	// request the full configuration.
	ConfigVersion func() int64
	OnConfig      func(frame json.RawMessage) (ok bool)
	// OnRegistry applies upserts and removals. If full is true, upserts replaces all known upstreams.
	OnRegistry func(full bool, upserts []registry.Upstream, removals []string)
	// OnDeregistered is called when a core machine reports that an instance, which this sidecar has reported as its
	// upstream or named in CheckInstance, was deregistered. It may be called from any goroutine, and repeatedly.
	OnDeregistered func(instance string)
	// Services returns the services that this sidecar calls. It may be nil; nil or an empty result stands for
	// all services.
	Services func() []string
	Log      *zap.Logger
}

// NewHTTPClient returns an HTTP client for a Client. Its connections tolerate a slow link, since the Client
// itself detects a core machine that has become silent.
func NewHTTPClient() *http.Client {
	return httpclient.NewWithTimeouts(httpclient.Timeouts{Dial: slowLinkTimeout, User: slowLinkTimeout})
}

// Client keeps a sidecar's lease and watch at one core machine, and moves to another one when that machine
// fails.
type Client struct {
	cfg ClientConfig

	// These channels have capacity one and wake the goroutine that renews the lease.
	renewNow    chan struct{}
	resubscribe chan struct{}
	// searchNow requests a search for another core machine: the current one has lost contact, is silent, or
	// has sent a configuration that is outdated.
	searchNow chan struct{}

	// mu guards the fields below.
	mu                sync.Mutex
	incarnation       registry.Incarnation
	incarnationRaised bool // true once incarnation was raised
	leaseSequence     registry.Sequence
	left              bool // true once Leave was called
	connected         bool
	counts            registry.Counts // as received last
	// renewedAt is when the last lease was sent that a core machine in contact answered, or when the Client was
	// created if there is none.
	renewedAt  time.Time
	seeds      []string
	discovered []Peer
	// peersDigest is the digest of the list that discovered was replaced with, 0 if discovered has changed
	// since.
	peersDigest PeersDigest
	// current is the core machine of the current session or chosen for the next one. It is empty after a
	// failure.
	current    string
	moveTarget string // core machine of the next session, chosen in place of one without contact
	// confirmedAt is the latest time at which the applied configuration is known to have been the newest.
	confirmedAt time.Time
	sessions    sessionStats

	// Only the goroutine of Run accesses the fields below.

	attempted map[string]bool // core machines tried in the current round
	// registryEpoch and registryNumber identify the complete registry state that this Client holds;
	// registryEpoch is 0 if it holds none.
	registryEpoch   registry.Epoch
	registryNumber  registry.ChangeNumber
	services        []string // services that the registry state is limited to
	needsFullConfig bool
}

// Reasons for ending a session with a core machine that has not failed.
var (
	errResubscribe  = errs.New(errs.Internal, "the watch is reopened for a full configuration or other services")
	errCloserMember = errs.New(errs.Internal, "a core machine of the sidecar's own zone is available")
	// errMoved ends a session with a core machine that has lost contact or does not respond in time.
	errMoved = errs.New(errs.NoQuorum, "another core machine is in contact with a majority")
)

// NewClient returns a Client, which Run starts.
func NewClient(cfg ClientConfig) *Client {
	return &Client{
		cfg:         cfg,
		incarnation: cfg.Incarnation,
		renewedAt:   time.Now(),
		renewNow:    make(chan struct{}, 1),
		resubscribe: make(chan struct{}, 1),
		searchNow:   make(chan struct{}, 1),
		seeds:       slices.Clone(cfg.Seeds),
		attempted:   map[string]bool{},
	}
}

// Run keeps a lease and a watch at a core machine until ctx ends. It must be called only once.
func (c *Client) Run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		address := c.nextMember()
		began := time.Now()
		err := c.runSession(ctx, address)
		if c.chooseNextMember(address, err) {
			continue
		}
		c.disconnect()
		if time.Since(began) >= stableAfter+idleTimeout {
			failures = 0
			c.attempted = map[string]bool{address: true}
		}
		failures++
		c.recordFailure(err)
		c.cfg.Log.Debug("session with core member ended", zap.String("member", address), zap.Error(err))
		sleep(ctx, c.backoff(failures))
		c.findMemberAfterFailure(ctx, address)
	}
	c.disconnect()
}

// Connected reports whether a core machine currently serves the watch, so that updates arrive.
func (c *Client) Connected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.connected
}

// Counts returns the numbers of sidecars as received last. Counts from a core machine that has no contact or
// may not know all sidecars only raise them.
func (c *Client) Counts() registry.Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

// ShareHolders returns how many sidecars, this one included, may hold a share of the tenants' limits. It
// returns 0 until a count has been received, and again once the core machines may have forgotten this
// sidecar, which then holds no share.
func (c *Client) ShareHolders() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.renewedAt) >= registry.SilentRetention-retentionMargin {
		return 0
	}
	return max(c.counts.ShareHolders, c.counts.Peak)
}

// Peers returns the internal addresses of the known core machines: the current one first, then the others in
// the order in which the Client would try them.
func (c *Client) Peers() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	order := c.memberOrder()
	if i := slices.Index(order, c.current); i > 0 {
		order = slices.Insert(slices.Delete(order, i, i+1), 0, c.current)
	}
	return order
}

// SetSeeds replaces the seeds. Core machines that were discovered in the meantime are kept.
func (c *Client) SetSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = slices.Clone(seeds)
}

// RenewNow renews the lease at once. It is called after a change of the result of ClientConfig.State.
func (c *Client) RenewNow() { signal(c.renewNow) }

// SearchNow makes the Client search for another core machine. It is called when a newer configuration exists
// than the current core machine has sent.
func (c *Client) SearchNow() { signal(c.searchNow) }

// Resubscribe reopens the watch. It is called after a change of the result of ClientConfig.Services.
func (c *Client) Resubscribe() { signal(c.resubscribe) }

// sleep waits until d has passed or ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
