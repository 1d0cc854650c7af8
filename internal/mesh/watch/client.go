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

// ClientConfig is what a Client is made of. All fields but Zone, Seeds and
// Services are required. The callbacks OnConfig and OnRegistry are called one at
// a time, from Run.
type ClientConfig struct {
	Node string
	// Incarnation is likely to grow with each run of the process, for example its
	// start in nanoseconds. Where it did not, as the machine's clock went back, the
	// Client goes by a larger one.
	Incarnation registry.Incarnation
	Zone        string
	// Seeds are internal addresses of core machines to begin with.
	Seeds []string
	// HTTP must have no Timeout of its own, since watches last: see NewHTTPClient.
	HTTP *http.Client
	// State returns the Upstream, Applied and Leaving of this sidecar's lease,
	// with the warm-up that remains now.
	State func() registry.Lease
	// ConfigVersion is the configuration version applied. OnConfig applies a
	// change or a full configuration, skips versions that are applied already,
	// and returns false to be sent the full configuration.
	ConfigVersion func() int64
	OnConfig      func(frame json.RawMessage) (ok bool)
	// OnRegistry applies upserts and removals; if full, the upserts replace all.
	OnRegistry func(full bool, upserts []registry.Upstream, removals []string)
	// Services names the services this sidecar calls; nil or none means all.
	Services func() []string
	Log      *zap.Logger
}

// NewHTTPClient returns the HTTP client that a Client needs: its connections bear a
// slow link, as the Client itself notices a member that is silent.
func NewHTTPClient() *http.Client {
	return httpclient.NewWithTimeouts(httpclient.Timeouts{Dial: slowLinkTimeout, User: slowLinkTimeout})
}

// Client is the sidecar's side: it keeps a lease and a watch at one core machine,
// and goes to another when that one fails.
type Client struct {
	cfg ClientConfig

	// These channels of capacity one wake the goroutine that renews the lease.
	renewNow    chan struct{}
	resubscribe chan struct{}
	// The current member says that it has no contact, or says nothing.
	lookElsewhere chan struct{}

	// mu guards the fields below.
	mu            sync.Mutex
	incarnation   registry.Incarnation
	outgrew       bool // incarnation was raised once
	leaseSequence registry.Sequence
	left          bool // Leave was called
	connected     bool
	counts        registry.Counts // as last received
	renewedAt     time.Time       // when the last lease was sent that a member in contact answered, or the start
	seeds         []string
	discovered    []Peer
	peersDigest   PeersDigest // of the list that discovered was replaced with, 0 if it was changed since
	current       string      // the member that the session is with, or was last with
	moveTarget    string      // the member to go to from one without contact
	// confirmedAt is the latest time at which what is applied is known to have
	// been the newest.
	confirmedAt time.Time
	record      sessionRecord

	// The rest belongs to the goroutine of Run.

	attempted map[string]bool // the members tried in this round
	// registryEpoch and registryNumber are the registry state that is complete
	// here; an epoch of 0 means that none is.
	registryEpoch   registry.Epoch
	registryNumber  registry.ChangeNumber
	services        []string // those that the registry state is limited to
	needsFullConfig bool
}

// The reasons for which a Client leaves a member that did not fail.
var (
	errResubscribe  = errs.New(errs.Internal, "the watch is opened anew")
	errCloserMember = errs.New(errs.Internal, "a member of the same zone is available")
	// errMoved is for leaving a member that has lost its contact.
	errMoved = errs.New(errs.NoQuorum, "another member is in contact with a majority")
)

// NewClient makes a Client; Run starts it.
func NewClient(cfg ClientConfig) *Client {
	return &Client{
		cfg:           cfg,
		incarnation:   cfg.Incarnation,
		renewedAt:     time.Now(),
		renewNow:      make(chan struct{}, 1),
		resubscribe:   make(chan struct{}, 1),
		lookElsewhere: make(chan struct{}, 1),
		seeds:         slices.Clone(cfg.Seeds),
		attempted:     map[string]bool{},
	}
}

// Run keeps a lease and a watch at a core machine until ctx ends. It is called
// once.
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

// Connected reports whether updates arrive: a member serves the watch now.
func (c *Client) Connected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.connected
}

// Counts are the numbers of sidecars, as last received. A member that may not know
// all sidecars only raises them.
func (c *Client) Counts() registry.Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

// ShareHolders is how many sidecars may hold a share of the tenants' limits, this one
// among them. It is 0 while no number was heard, and once the core may have forgotten
// this sidecar: it holds no share then.
func (c *Client) ShareHolders() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.renewedAt) >= registry.SilentRetention-forgottenMargin {
		return 0
	}
	return max(c.counts.ShareHolders, c.counts.Peak)
}

// Peers returns the internal addresses of the core machines known, the current
// one first, then in the order in which they would be tried.
func (c *Client) Peers() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	order := c.memberOrder()
	if i := slices.Index(order, c.current); i > 0 {
		order = slices.Insert(slices.Delete(order, i, i+1), 0, c.current)
	}
	return order
}

// SetSeeds replaces the seeds. Members discovered since are kept.
func (c *Client) SetSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = slices.Clone(seeds)
}

// RenewNow renews the lease at once, since what State returns has changed.
func (c *Client) RenewNow() { signal(c.renewNow) }

// LookElsewhere has another member looked for: there is something newer than what the
// current one has sent.
func (c *Client) LookElsewhere() { signal(c.lookElsewhere) }

// Resubscribe opens the watch anew, since what Services returns has changed.
func (c *Client) Resubscribe() { signal(c.resubscribe) }

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
