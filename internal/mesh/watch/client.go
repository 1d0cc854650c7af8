package watch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/registry"
	"caperarch/internal/mesh/rpc"
)

const (
	// firstPause and lastPause bound the pauses between members that fail one
	// after the other, against a crowd that knocks without a break.
	firstPause = 50 * time.Millisecond
	lastPause  = 800 * time.Millisecond
	// steadyAfter is how long a member must have served for its failure to
	// count as a first one, against a fast round between members that all fail.
	steadyAfter = time.Second
	// maxKnown bounds the members remembered, against a member gone wrong.
	maxKnown = 64
	// largeFrame is the size from which a frame's buffer is let go, so that one
	// large configuration does not hold its memory for good.
	largeFrame = 256 << 10
	// maxRefusal bounds what is read of a refused watch.
	maxRefusal = 4 << 10
)

// ClientConfig is what a Client is made of. All fields but Zone, Seeds,
// Services and Of are required. The callbacks OnConfig and OnRegistry are called
// one at a time, from Run.
type ClientConfig struct {
	Node string
	// Life grows from process life to process life, for example its start in
	// nanoseconds.
	Life uint64
	Zone string
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
	// Of says of an address whether it may be kept to; nil: every core machine's may. One that follows others itself must not go round in a circle.
	Of  func(address string) bool
	Log *zap.Logger
}

// Client is the sidecar's side: it holds a lease and a watch at one core
// member and goes to another when that one fails.
type Client struct {
	cfg   ClientConfig
	poke  chan struct{}
	again chan struct{}

	mu        sync.Mutex
	sequence  uint64
	left      bool
	connected bool
	members   int
	largest   int
	seeds     []string
	learned   []Peer
	current   string

	// The rest belongs to Run.
	tried    map[string]bool
	epoch    uint64 // what is held is everything of this epoch and number,
	number   uint64 // or nothing is if the epoch is 0
	services []string
	whole    bool
}

// The reasons for which a Client leaves a member that did not fail.
var (
	errAgain  = errs.New(errs.Internal, "the watch is opened anew")
	errNearer = errs.New(errs.Internal, "a member of the own zone is there")
	errSilent = errs.New(errs.Unreachable, "the member says nothing")
)

// NewClient makes a Client; Run sets it going.
func NewClient(cfg ClientConfig) *Client {
	return &Client{
		cfg: cfg, poke: make(chan struct{}, 1), again: make(chan struct{}, 1),
		seeds: slices.Clone(cfg.Seeds), tried: map[string]bool{},
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

// Largest is the largest number of sidecars lately, as heard last.
func (c *Client) Largest() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.largest
}

// Peers gives the internal addresses of the core members known, the one kept to
// first, then in the order in which they would be tried.
func (c *Client) Peers() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	order := c.order()
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

// Poke renews the lease at once, since what State gives has changed.
func (c *Client) Poke() { signal(c.poke) }

// Resubscribe opens the watch anew, since what Services gives has changed.
func (c *Client) Resubscribe() { signal(c.again) }

func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// Leave says that this sidecar has left, so that its upstream is gone from the
// table, and renews no more. It asks each member known until one answers.
func (c *Client) Leave(ctx context.Context) error {
	l := c.lease(true)
	err := errs.New(errs.Unreachable, "no core member is known")
	for _, address := range c.Peers() {
		if _, err = c.renew(ctx, address, l); err == nil {
			return nil
		}
	}
	return err
}

// Run keeps to a core member until ctx ends. It is called once.
func (c *Client) Run(ctx context.Context) {
	for failures := 0; ctx.Err() == nil; {
		address := c.next()
		began := time.Now()
		err := errs.New(errs.Unreachable, "no core member is known")
		if address != "" {
			err = c.attend(ctx, address)
		}
		if errors.Is(err, errAgain) || errors.Is(err, errNearer) {
			c.keep(address, errors.Is(err, errAgain))
			continue
		}
		c.leave()
		if time.Since(began) >= steadyAfter+silence {
			failures = 0
			c.tried = map[string]bool{address: true}
		}
		failures++
		c.cfg.Log.Debug("A core member is left.", zap.String("member", address), zap.Error(err))
		sleep(ctx, c.backOff(failures))
	}
	c.leave()
}

// backOff is the jittered pause before the next member is tried: none after the
// first failure, short ones within a round of the members, and one between
// rounds that grows, so that a single member that is there is found soon.
func (c *Client) backOff(failures int) time.Duration {
	c.mu.Lock()
	members := max(len(c.order()), 1)
	c.mu.Unlock()
	pause := firstPause
	switch {
	case failures == 1:
		return 0
	case failures%members == 0:
		pause = min(firstPause<<min(failures/members, 10), lastPause)
	}
	return pause/2 + rand.N(pause/2+1)
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// keep notes whether the next watch goes to the same member. Until it is known
// to fail, the sidecar counts as connected.
func (c *Client) keep(address string, same bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = ""
	if same {
		c.current = address
	}
}

// leave notes that the member failed.
func (c *Client) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current, c.connected = "", false
}

// next is the member to try: the one kept to, or else the first in order that
// was not tried in this round.
func (c *Client) next() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != "" {
		return c.current
	}
	order := c.order()
	if len(order) == 0 {
		return ""
	}
	for _, address := range order {
		if !c.tried[address] {
			c.tried[address] = true
			return address
		}
	}
	c.tried = map[string]bool{order[0]: true}
	return order[0]
}

// order lists the members known: the own zone's first, and within a zone by a
// hash with the node's name, which spreads the sidecars. The lock is held.
func (c *Client) order() []string {
	zones := map[string]string{}
	for _, address := range c.seeds {
		zones[address] = ""
	}
	for _, p := range c.learned {
		zones[p.Address] = p.Zone
	}
	type rank struct {
		near bool
		hash uint64
	}
	ranks := make(map[string]rank, len(zones))
	order := make([]string, 0, len(zones))
	for address, zone := range zones {
		sum := fnv.New64a()
		_, _ = io.WriteString(sum, address+"|"+c.cfg.Node)
		ranks[address] = rank{zone != "" && zone == c.cfg.Zone, sum.Sum64()}
		order = append(order, address)
	}
	slices.SortFunc(order, func(a, b string) int {
		x, y := ranks[a], ranks[b]
		if x.near != y.near {
			if x.near {
				return -1
			}
			return 1
		}
		if x.hash < y.hash {
			return -1
		}
		return 1
	})
	return order
}

// attend keeps the lease and the watch at one member until either fails.
func (c *Client) attend(ctx context.Context, address string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	var renewing sync.WaitGroup
	renewing.Go(func() { c.keepLease(ctx, cancel, address) })
	err := c.follow(ctx, cancel, address)
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	cancel(nil)
	renewing.Wait()
	return err
}

// keepLease renews until ctx ends, and ends it when the member fails, when a
// member of the own zone shows up, or when the watch is to be opened anew.
func (c *Client) keepLease(ctx context.Context, cancel context.CancelCauseFunc, address string) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.again:
			cancel(errAgain)
			return
		case <-c.poke:
		case <-timer.C:
		}
		l := c.lease(false)
		if l == nil {
			timer.Reset(renewEvery)
			continue
		}
		a, err := c.renew(ctx, address, l)
		if err != nil {
			cancel(err)
			return
		}
		if c.learn(a) {
			cancel(errNearer)
			return
		}
		timer.Reset(renewEvery)
	}
}

// lease makes the next lease to send. It is nil once the sidecar has left.
func (c *Client) lease(leave bool) *registry.Lease {
	l := c.cfg.State()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left && !leave {
		return nil
	}
	c.left = leave
	c.sequence++
	l.Node, l.Life, l.Zone, l.Sequence, l.Left = c.cfg.Node, c.cfg.Life, c.cfg.Zone, c.sequence, leave
	return &l
}

func (c *Client) renew(ctx context.Context, address string, l *registry.Lease) (*LeaseAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return rpc.Call[registry.Lease, LeaseAnswer](ctx, c.cfg.HTTP, "http://"+address+leasePath, l)
}

// learn takes what an answer says of the members. It reports whether a member
// of the own zone should be gone to: the answer is from another zone, and the
// own zone's member was not known as such before.
func (c *Client) learn(a *LeaseAnswer) (nearer bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count(a.Members, a.Largest, a.Young)
	if len(a.Peers) == 0 {
		return false
	}
	near := func(p Peer) bool { return p.Zone != "" && p.Zone == c.cfg.Zone }
	knew := slices.ContainsFunc(c.learned, near)
	zones := map[string]string{}
	for _, p := range c.learned {
		zones[p.Address] = p.Zone
	}
	peers := slices.Clone(a.Peers[:min(len(a.Peers), maxKnown)])
	for i, p := range peers {
		if p.Zone == "" {
			peers[i].Zone = zones[p.Address]
		}
	}
	if c.cfg.Of != nil {
		peers = slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return !c.cfg.Of(p.Address) })
	}
	c.learned = peers
	return !knew && a.Zone != c.cfg.Zone && slices.ContainsFunc(peers, near)
}

// count takes a count of the sidecars. The lock is held.
func (c *Client) count(members, largest int, young bool) {
	if young {
		members, largest = max(members, c.members), max(largest, c.largest)
	}
	c.members, c.largest = members, largest
}

// follow opens a watch and takes its frames until it fails.
func (c *Client) follow(ctx context.Context, cancel context.CancelCauseFunc, address string) error {
	watchdog := time.AfterFunc(silence, func() { cancel(errSilent) })
	defer watchdog.Stop()
	q := watchRequest{
		Node: c.cfg.Node, Life: c.cfg.Life, ConfigVersion: c.cfg.ConfigVersion(), Whole: c.whole, Epoch: c.epoch, Number: c.number,
	}
	if c.cfg.Services != nil {
		q.Services = c.cfg.Services()
	}
	if !slices.Equal(q.Services, c.services) {
		c.services, c.epoch, q.Epoch = slices.Clone(q.Services), 0, 0
	}
	body, err := json.Marshal(&q)
	if err != nil {
		return errs.Wrap(err, errs.Internal, "encode the watch request")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+watchPath, bytes.NewReader(body))
	if err != nil {
		return errs.Wrap(err, errs.Internal, "watch request to %s", address)
	}
	r.Header.Set("Content-Type", "application/json")
	answer, err := c.cfg.HTTP.Do(r)
	if err != nil {
		return errs.Wrap(err, errs.Unreachable, "no watch at %s", address)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		said, _ := io.ReadAll(io.LimitReader(answer.Body, maxRefusal))
		return errs.New(errs.Unreachable, "%s refuses the watch: %s %s", address, answer.Status, said)
	}
	in := &guarded{r: answer.Body, watchdog: watchdog, left: maxFrame}
	frames := json.NewDecoder(in)
	for {
		var f frame
		if err := frames.Decode(&f); err != nil {
			return errs.Wrap(err, errs.Unreachable, "the watch at %s broke off", address)
		}
		watchdog.Stop()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err := c.take(&f, address, q.Whole); err != nil {
			return err
		}
		if len(f.Config) > 0 {
			q.Whole = false
		}
		if len(f.Config) > largeFrame {
			frames = json.NewDecoder(io.MultiReader(frames.Buffered(), in))
		}
		in.left = maxFrame
		watchdog.Reset(silence)
	}
}

// take hands a frame on. A frame that was asked for whole and is refused still
// counts as the member's failure.
func (c *Client) take(f *frame, address string, whole bool) error {
	if len(f.Config) > 0 {
		c.whole = !c.cfg.OnConfig(f.Config)
		if c.whole && whole {
			return errs.New(errs.Internal, "the whole configuration of %s does not fit", address)
		}
		if c.whole {
			return errAgain
		}
	}
	if news := f.Registry; news != nil {
		if err := c.takeRegistry(news, address); err != nil {
			return err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if b := f.Beat; b != nil {
		c.count(b.Members, b.Largest, b.Young)
	}
	c.current, c.connected = address, true
	return nil
}

// takeRegistry replaces what is held by a full frame, and amends it by a
// change. A full frame of a young member only amends: what it does not list may
// well be there. It will send another, so what it sent is not held as all.
func (c *Client) takeRegistry(news *registryFrame, address string) error {
	switch {
	case news.Full && news.Young:
		c.epoch = 0
	case news.Full:
		c.epoch, c.number = news.Epoch, news.Number
	case c.epoch != 0 && news.Epoch != c.epoch:
		c.epoch = 0
		return errs.New(errs.Internal, "%s amends a registry that is not held", address)
	case c.epoch != 0 && news.Number <= c.number:
		return nil
	case c.epoch != 0:
		c.number = news.Number
	}
	c.cfg.OnRegistry(news.Full && !news.Young, news.Upserts, news.Removals)
	return nil
}

// guarded reads a watch: every byte keeps the watchdog quiet, and no frame
// takes more memory than allowed.
type guarded struct {
	r        io.Reader
	watchdog *time.Timer
	left     int
}

func (g *guarded) Read(p []byte) (int, error) {
	if g.left <= 0 {
		return 0, errs.New(errs.TooLarge, "a frame is larger than %d bytes", maxFrame)
	}
	n, err := g.r.Read(p[:min(len(p), g.left)])
	g.left -= n
	if n > 0 {
		g.watchdog.Reset(silence)
	}
	return n, err
}
