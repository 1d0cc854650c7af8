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

// SubscriberConfig is what a Subscriber is made of. All fields but Zone, Seeds,
// Services and Of are required. The callbacks OnCharter and OnCatalogue are called
// one at a time, from Run.
type SubscriberConfig struct {
	Node string
	// Life grows from process life to process life, for example its start in
	// nanoseconds.
	Life uint64
	Zone string
	// Seeds are internal addresses of core members to begin with.
	Seeds []string
	// Client must have no Timeout of its own, since watches last.
	Client *http.Client
	// State gives the Upstream, Applied and Leaving of this sidecar's lease,
	// with the warm-up that is left now.
	State func() registry.Lease
	// Charter is the configuration version held. OnCharter applies a change or
	// a whole configuration, passes over versions already held, and returns
	// false to be sent the whole.
	Charter   func() int64
	OnCharter func(frame json.RawMessage) (ok bool)
	// OnCatalogue takes upserts and removals; if full, the upserts replace all.
	OnCatalogue func(full bool, upserts []registry.Upstream, removals []string)
	// Services names the services this sidecar calls; nil or none means all.
	Services func() []string
	// Of says of an address whether it may be kept to; nil: every core machine's may. One that follows others itself must not go round in a circle.
	Of  func(address string) bool
	Log *zap.Logger
}

// Subscriber is the sidecar's side: it holds a lease and a watch at one core
// member and goes to another when that one fails.
type Subscriber struct {
	cfg   SubscriberConfig
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

// The reasons for which a Subscriber leaves a member that did not fail.
var (
	errAgain  = errs.New(errs.Internal, "the watch is opened anew")
	errNearer = errs.New(errs.Internal, "a member of the own zone is there")
	errSilent = errs.New(errs.Unreachable, "the member says nothing")
)

// NewSubscriber makes a Subscriber; Run sets it going.
func NewSubscriber(cfg SubscriberConfig) *Subscriber {
	return &Subscriber{
		cfg: cfg, poke: make(chan struct{}, 1), again: make(chan struct{}, 1),
		seeds: slices.Clone(cfg.Seeds), tried: map[string]bool{},
	}
}

// Connected says whether news comes in: a member serves the watch now.
func (s *Subscriber) Connected() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connected
}

// Members is the number of sidecars with a live lease, as heard last. A member
// that may not have heard from everybody only raises it.
func (s *Subscriber) Members() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members
}

// Largest is the largest number of sidecars lately, as heard last.
func (s *Subscriber) Largest() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.largest
}

// Peers gives the internal addresses of the core members known, the one kept to
// first, then in the order in which they would be tried.
func (s *Subscriber) Peers() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	order := s.order()
	if i := slices.Index(order, s.current); i > 0 {
		order = slices.Insert(slices.Delete(order, i, i+1), 0, s.current)
	}
	return order
}

// SetSeeds replaces the seeds. Members learned since are kept.
func (s *Subscriber) SetSeeds(seeds []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seeds = slices.Clone(seeds)
}

// Poke renews the lease at once, since what State gives has changed.
func (s *Subscriber) Poke() { signal(s.poke) }

// Resubscribe opens the watch anew, since what Services gives has changed.
func (s *Subscriber) Resubscribe() { signal(s.again) }

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Leave says that this sidecar has left, so that its upstream is gone from the
// table, and renews no more. It asks each member known until one answers.
func (s *Subscriber) Leave(ctx context.Context) error {
	l := s.lease(true)
	err := errs.New(errs.Unreachable, "no core member is known")
	for _, address := range s.Peers() {
		if _, err = s.renew(ctx, address, l); err == nil {
			return nil
		}
	}
	return err
}

// Run keeps to a core member until ctx ends. It is called once.
func (s *Subscriber) Run(ctx context.Context) {
	for failures := 0; ctx.Err() == nil; {
		address := s.next()
		began := time.Now()
		err := errs.New(errs.Unreachable, "no core member is known")
		if address != "" {
			err = s.attend(ctx, address)
		}
		if errors.Is(err, errAgain) || errors.Is(err, errNearer) {
			s.keep(address, errors.Is(err, errAgain))
			continue
		}
		s.leave()
		if time.Since(began) >= steadyAfter+silence {
			failures = 0
			s.tried = map[string]bool{address: true}
		}
		failures++
		s.cfg.Log.Debug("A core member is left.", zap.String("member", address), zap.Error(err))
		sleep(ctx, s.backOff(failures))
	}
	s.leave()
}

// backOff is the jittered pause before the next member is tried: none after the
// first failure, short ones within a round of the members, and one between
// rounds that grows, so that a single member that is there is found soon.
func (s *Subscriber) backOff(failures int) time.Duration {
	s.mu.Lock()
	members := max(len(s.order()), 1)
	s.mu.Unlock()
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
func (s *Subscriber) keep(address string, same bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = ""
	if same {
		s.current = address
	}
}

// leave notes that the member failed.
func (s *Subscriber) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current, s.connected = "", false
}

// next is the member to try: the one kept to, or else the first in order that
// was not tried in this round.
func (s *Subscriber) next() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != "" {
		return s.current
	}
	order := s.order()
	if len(order) == 0 {
		return ""
	}
	for _, address := range order {
		if !s.tried[address] {
			s.tried[address] = true
			return address
		}
	}
	s.tried = map[string]bool{order[0]: true}
	return order[0]
}

// order lists the members known: the own zone's first, and within a zone by a
// hash with the node's name, which spreads the sidecars. The lock is held.
func (s *Subscriber) order() []string {
	zones := map[string]string{}
	for _, address := range s.seeds {
		zones[address] = ""
	}
	for _, p := range s.learned {
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
		_, _ = io.WriteString(sum, address+"|"+s.cfg.Node)
		ranks[address] = rank{zone != "" && zone == s.cfg.Zone, sum.Sum64()}
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
func (s *Subscriber) attend(ctx context.Context, address string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	var renewing sync.WaitGroup
	renewing.Go(func() { s.keepLease(ctx, cancel, address) })
	err := s.follow(ctx, cancel, address)
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	cancel(nil)
	renewing.Wait()
	return err
}

// keepLease renews until ctx ends, and ends it when the member fails, when a
// member of the own zone shows up, or when the watch is to be opened anew.
func (s *Subscriber) keepLease(ctx context.Context, cancel context.CancelCauseFunc, address string) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.again:
			cancel(errAgain)
			return
		case <-s.poke:
		case <-timer.C:
		}
		l := s.lease(false)
		if l == nil {
			timer.Reset(renewEvery)
			continue
		}
		a, err := s.renew(ctx, address, l)
		if err != nil {
			cancel(err)
			return
		}
		if s.learn(a) {
			cancel(errNearer)
			return
		}
		timer.Reset(renewEvery)
	}
}

// lease makes the next lease to send. It is nil once the sidecar has left.
func (s *Subscriber) lease(leave bool) *registry.Lease {
	l := s.cfg.State()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.left && !leave {
		return nil
	}
	s.left = leave
	s.sequence++
	l.Node, l.Life, l.Zone, l.Sequence, l.Left = s.cfg.Node, s.cfg.Life, s.cfg.Zone, s.sequence, leave
	return &l
}

func (s *Subscriber) renew(ctx context.Context, address string, l *registry.Lease) (*LeaseAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return rpc.Call[registry.Lease, LeaseAnswer](ctx, s.cfg.Client, "http://"+address+leasePath, l)
}

// learn takes what an answer says of the members. It reports whether a member
// of the own zone should be gone to: the answer is from another zone, and the
// own zone's member was not known as such before.
func (s *Subscriber) learn(a *LeaseAnswer) (nearer bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count(a.Members, a.Largest, a.Young)
	if len(a.Peers) == 0 {
		return false
	}
	near := func(p Peer) bool { return p.Zone != "" && p.Zone == s.cfg.Zone }
	knew := slices.ContainsFunc(s.learned, near)
	zones := map[string]string{}
	for _, p := range s.learned {
		zones[p.Address] = p.Zone
	}
	peers := slices.Clone(a.Peers[:min(len(a.Peers), maxKnown)])
	for i, p := range peers {
		if p.Zone == "" {
			peers[i].Zone = zones[p.Address]
		}
	}
	if s.cfg.Of != nil {
		peers = slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return !s.cfg.Of(p.Address) })
	}
	s.learned = peers
	return !knew && a.Zone != s.cfg.Zone && slices.ContainsFunc(peers, near)
}

// count takes a count of the sidecars. The lock is held.
func (s *Subscriber) count(members, largest int, young bool) {
	if young {
		members, largest = max(members, s.members), max(largest, s.largest)
	}
	s.members, s.largest = members, largest
}

// follow opens a watch and takes its frames until it fails.
func (s *Subscriber) follow(ctx context.Context, cancel context.CancelCauseFunc, address string) error {
	watchdog := time.AfterFunc(silence, func() { cancel(errSilent) })
	defer watchdog.Stop()
	q := watchRequest{
		Node: s.cfg.Node, Life: s.cfg.Life, Charter: s.cfg.Charter(), Whole: s.whole, Epoch: s.epoch, Number: s.number,
	}
	if s.cfg.Services != nil {
		q.Services = s.cfg.Services()
	}
	if !slices.Equal(q.Services, s.services) {
		s.services, s.epoch, q.Epoch = slices.Clone(q.Services), 0, 0
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
	answer, err := s.cfg.Client.Do(r)
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
		if err := s.take(&f, address, q.Whole); err != nil {
			return err
		}
		if len(f.Charter) > 0 {
			q.Whole = false
		}
		if len(f.Charter) > largeFrame {
			frames = json.NewDecoder(io.MultiReader(frames.Buffered(), in))
		}
		in.left = maxFrame
		watchdog.Reset(silence)
	}
}

// take hands a frame on. A frame that was asked for whole and is refused still
// counts as the member's failure.
func (s *Subscriber) take(f *frame, address string, whole bool) error {
	if len(f.Charter) > 0 {
		s.whole = !s.cfg.OnCharter(f.Charter)
		if s.whole && whole {
			return errs.New(errs.Internal, "the whole configuration of %s does not fit", address)
		}
		if s.whole {
			return errAgain
		}
	}
	if c := f.Catalogue; c != nil {
		if err := s.takeCatalogue(c, address); err != nil {
			return err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := f.Beat; b != nil {
		s.count(b.Members, b.Largest, b.Young)
	}
	s.current, s.connected = address, true
	return nil
}

// takeCatalogue replaces what is held by a full frame, and amends it by a
// change. A full frame of a young member only amends: what it does not list may
// well be there. It will send another, so what it sent is not held as all.
func (s *Subscriber) takeCatalogue(c *catalogueFrame, address string) error {
	switch {
	case c.Full && c.Young:
		s.epoch = 0
	case c.Full:
		s.epoch, s.number = c.Epoch, c.Number
	case s.epoch != 0 && c.Epoch != s.epoch:
		s.epoch = 0
		return errs.New(errs.Internal, "%s amends a catalogue that is not held", address)
	case s.epoch != 0 && c.Number <= s.number:
		return nil
	case s.epoch != 0:
		s.number = c.Number
	}
	s.cfg.OnCatalogue(c.Full && !c.Young, c.Upserts, c.Removals)
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
