// Package fleet gives a swim.Node its life: the socket, the clock and the log. It decides nothing.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"caperarch/internal/daemon/config"
	"caperarch/internal/fleet/healthgossip"
	"caperarch/internal/fleet/peer"
	"caperarch/internal/fleet/swim"
	"caperarch/internal/proxy/clock"
	"caperarch/internal/proxy/metrics"
	"caperarch/internal/proxy/subset"
	"caperarch/policy"
)

// bindRetryInterval is how often the address is tried again while the process before this one still has it.
const bindRetryInterval = 250 * time.Millisecond

// minBytesPerSecond is how many bytes a second a sidecar has to have: less keeps no contact. peer.Open asks for as many.
const minBytesPerSecond = 512

const (
	hintInterval = 500 * time.Millisecond
	hintFanout   = 3 // others that are told each time
)

// Fleet is this sidecar's part in a fleet. It is safe for concurrent use.
type Fleet struct {
	cfg         *config.Config
	file        *config.Fleet
	peers       []netip.AddrPort
	incarnation uint64
	log         *slog.Logger
	now         func() time.Duration

	policy *Policy // nil: this sidecar has no part in a policy of the fleet

	sidecars       atomic.Int64  // sidecars that there are at least
	position       atomic.Uint64 // math.Float64bits of this one's place among them
	positionStates []swim.State  // of the members, as that was reckoned; guarded by mu

	mu   sync.Mutex
	node *swim.Node
	link *peer.Link // nil: the address is not ours yet

	hintsMu  sync.Mutex // apart from mu: the module asks in the middle of its work
	hints    *healthgossip.Hints
	nextHint time.Duration // when others are told next
	hintRand *rand.Rand
}

// New checks what a sidecar is told of its fleet. Nothing is opened until Run.
func New(cfg *config.Config, file *config.Fleet, log *slog.Logger) (*Fleet, error) {
	f := &Fleet{cfg: cfg, file: file, log: log, now: clock.SinceBoot}
	switch {
	case !cfg.PeersAllowed:
		return nil, errors.New("settings.caps.peers: sidecars may not send one another anything here, so there can be no -fleet")
	case cfg.PeerListen == "":
		return nil, errors.New("peer_listen is missing")
	}
	if _, err := netip.ParseAddrPort(cfg.PeerListen); err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	var err error
	if f.peers, err = peer.Addresses(cfg.Peers, cfg.Policy.Index); err != nil {
		return nil, err
	}
	if len(f.peers) < cfg.Policy.Balancers {
		return nil, fmt.Errorf("peers: %d addresses, settings.balancers is %d: each sidecar needs one", len(f.peers), cfg.Policy.Balancers)
	}
	share := file.BytesPerSidecar(len(f.peers))
	contact := share // what the members' own messages may come to
	if file.Policy != nil {
		contact = share / 2
	}
	// Later starts have higher lives, and two within a millisecond differ by the seed.
	f.incarnation = uint64(time.Now().UnixMilli())<<16 | cfg.Seed&0xffff
	f.node, err = swim.New(swim.Config{
		Size: len(f.peers), Self: cfg.Policy.Index, Incarnation: f.incarnation, Lease: file.Lease, MaxClockError: file.ClockError, BytesPerSecond: contact,
		Rand: rand.New(rand.NewPCG(cfg.Seed, 1)), Host: host{f},
	})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file.Path, err)
	}
	if share < minBytesPerSecond {
		return nil, fmt.Errorf("%s: fleet_bytes_per_second: each of %d sidecars would have %.0f, at least %d are needed", file.Path, len(f.peers), share, minBytesPerSecond)
	}
	if file.Policy != nil {
		if f.policy, err = newPolicy(f); err != nil {
			return nil, fmt.Errorf("%s: policy: %w", file.Path, err)
		}
	}
	f.sidecars.Store(int64(cfg.Policy.Balancers))
	f.position.Store(math.Float64bits(f.configuredPosition()))
	f.hints, f.hintRand = healthgossip.New(len(f.peers)), rand.New(rand.NewPCG(cfg.Seed, 2))
	return f, nil
}

// Run takes part until ctx ends; it then says that it leaves. The address may still be another process's, which this one replaces.
func (f *Fleet) Run(ctx context.Context) {
	for waited := false; ; {
		link, err := peer.Open(peer.Config{
			Listen: f.cfg.PeerListen, Peers: f.peers, Self: f.cfg.Policy.Index, Fleet: f.file.Name, Incarnation: f.incarnation, BytesPerSecond: f.file.BytesPerSidecar(len(f.peers)), Now: f.now,
		})
		if err == nil {
			f.serve(ctx, link)
			return
		}
		if !waited {
			f.log.Warn("peers: the address can't be had yet", "error", err, "again every", bindRetryInterval, "in use", errors.Is(err, syscall.EADDRINUSE))
			waited = true
		}
		select {
		case <-time.After(bindRetryInterval):
		case <-ctx.Done():
			return
		}
	}
}

func (f *Fleet) serve(ctx context.Context, link *peer.Link) {
	f.mu.Lock()
	f.link = link
	f.node.Start(f.now())
	f.mu.Unlock()
	if f.policy != nil {
		if err := f.policy.start(link); err != nil {
			f.policy.stop()
			f.log.Error("policy: this sidecar takes no part, and goes by cut_off", "error", err)
		}
		defer f.policy.stop()
	}
	f.log.Info("peers", "listen", link.Address(), "fleet", f.file.Name, "sidecars", len(f.peers), "number", f.cfg.Policy.Index, "session", f.incarnation)
	read := make(chan struct{})
	go func() {
		defer close(read)
		link.Read(handler{f})
	}()
	clock.Every(ctx, swim.Period, func() {
		f.tick()
		if f.policy != nil {
			f.policy.tick()
		}
	})
	f.mu.Lock()
	f.node.Leave(f.now())
	f.mu.Unlock()
	link.Close()
	<-read
}

func (f *Fleet) tick() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	f.node.Tick(now)
	f.sidecars.Store(int64(max(f.cfg.Policy.Balancers, f.node.FleetSize(now))))
	f.updatePosition(now)
	if now >= f.nextHint {
		f.nextHint = now + hintInterval
		f.sendHints(now)
	}
}

// configuredPosition is this sidecar's place by the settings alone.
func (f *Fleet) configuredPosition() float64 {
	return subset.ArcStart(f.cfg.Policy.Index, f.cfg.Policy.Balancers, nil)
}

// updatePosition reckons where among the sidecars that live this one begins. Who is out of contact knows too little of them, and goes by the settings.
func (f *Fleet) updatePosition(now time.Duration) {
	contact := f.node.InContact(now)
	seen := make([]swim.State, 1, 1+len(f.peers)) // the first says whether there is contact at all
	if contact {
		seen[0] = swim.Alive
		for i := range f.peers {
			state, _ := f.node.State(i)
			seen = append(seen, state)
		}
	}
	if slices.Equal(seen, f.positionStates) {
		return
	}
	f.positionStates = seen
	at := f.configuredPosition()
	if contact {
		at = subset.ArcStart(f.cfg.Policy.Index, len(f.peers), func(i int) bool { return seen[1+i] == swim.Alive || seen[1+i] == swim.Suspect })
	}
	f.position.Store(math.Float64bits(at))
}

// Position is where this sidecar begins among those that live, a share of the whole. It never waits.
func (f *Fleet) Position() float64 { return math.Float64frombits(f.position.Load()) }

// sendHints tells some others of the servers that don't answer this one.
func (f *Fleet) sendHints(now time.Duration) {
	f.hintsMu.Lock()
	silent := f.hints.Unresponsive(now)
	f.hintsMu.Unlock()
	if len(silent) == 0 {
		return
	}
	ids := make([]uint64, len(silent))
	for i, s := range silent {
		ids[i] = uint64(s)
	}
	for told, tries := 0, 0; told < hintFanout && tries < 4*hintFanout; tries++ {
		i := f.hintRand.IntN(len(f.peers))
		if state, _ := f.node.State(i); i != f.cfg.Policy.Index && state == swim.Alive {
			f.link.SendHint(i, ids)
			told++
		}
	}
}

// Ended takes how an attempt ended, for what others are told.
func (f *Fleet) Ended(to policy.ServerID, end policy.Ending) {
	answered := end != policy.TimedOut && end != policy.NoConnection
	if end == policy.Cancelled || end == policy.NotSent {
		return // that tells nothing of the server
	}
	f.hintsMu.Lock()
	defer f.hintsMu.Unlock()
	f.hints.RecordAttempt(f.now(), healthgossip.Server(to), answered)
}

// Doubted says whether enough others say that a server does not answer them.
func (f *Fleet) Doubted(s policy.ServerID) bool {
	f.hintsMu.Lock()
	defer f.hintsMu.Unlock()
	return f.hints.Doubted(f.now(), healthgossip.Server(s))
}

// Policy is this sidecar's part in the policy that the fleet agrees on; nil: it has none.
func (f *Fleet) Policy() *Policy { return f.policy }

// Sidecars is how many there are at least, by the settings or by what was seen. It never waits.
func (f *Fleet) Sidecars() int { return int(f.sidecars.Load()) }

// InContact says whether this sidecar is in contact at this very moment. It is to be asked where something depends on it.
func (f *Fleet) InContact() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.link != nil && f.node.InContact(f.now())
}

// View is what this sidecar knows of the fleet, for people.
type View struct {
	Now          time.Duration
	Self         int
	InContact    bool
	ContactUntil time.Duration // its lease, if no further answer comes
	Lease        time.Duration
	Session      swim.Session
	Members      []swim.Member
	Stats        swim.Stats
	Link         peer.Counters
	Sidecars     int
	Unresponsive int // servers that others are told don't answer this one
	Doubted      int // servers that enough others say so of
}

// View is the present one.
func (f *Fleet) View() View {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	f.hintsMu.Lock()
	silent, doubted := len(f.hints.Unresponsive(now)), f.hints.DoubtedCount(now)
	f.hintsMu.Unlock()
	v := View{Unresponsive: silent, Doubted: doubted, Now: now, Self: f.cfg.Policy.Index, Sidecars: f.Sidecars(), Lease: f.node.Lease}
	if f.link == nil {
		return v
	}
	v.Members = f.node.Members(v.Now)
	v.ContactUntil, v.InContact = f.node.ContactUntil(v.Now)
	v.Session, v.Stats, v.Link = f.node.Session(), f.node.Stats, f.link.Counters()
	return v
}

// Metrics is the present view in numbers.
func (f *Fleet) Metrics() metrics.Peers {
	v := f.View()
	l := v.Link
	p := metrics.Peers{
		Contact: v.InContact, Sidecars: v.Sidecars, SentBytes: l.SentBytes, Dropped: l.Length + l.Malformed + l.OtherFleet + l.NewerFormat + l.Address,
		Members: make(map[string]int),
	}
	if f.policy != nil {
		p.Policy = f.policy.metrics()
	}
	for state := swim.Unknown; state <= swim.Left; state++ {
		p.Members[state.String()] = 0
	}
	for _, m := range v.Members {
		if m.Number != v.Self {
			p.Members[m.State.String()]++
		}
	}
	return p
}

// host carries out what the node decides; its methods are called with the lock held.
type host struct{ f *Fleet }

func (h host) Send(to int, m *swim.Message) { h.f.link.SendContact(to, m) }

func (h host) Changed(c swim.Change) {
	log := h.f.log
	switch {
	case c.Member == h.f.cfg.Policy.Index && c.Contact:
		log.Info("peers: in contact", "why", c.Why)
	case c.Member == h.f.cfg.Policy.Index:
		log.Warn("peers: out of contact", "why", c.Why)
	case c.Accuser >= 0:
		log.Info("peers: member", "number", c.Member, "state", c.State.String(), "was", c.Was.String(), "by", c.Accuser, "session", c.Session)
	default:
		log.Info("peers: member", "number", c.Member, "state", c.State.String(), "was", c.Was.String(), "session", c.Session)
	}
}

// handler hands over what the link reads.
type handler struct{ f *Fleet }

func (t handler) Contact(_ int, m *swim.Message) {
	t.f.mu.Lock()
	defer t.f.mu.Unlock()
	t.f.node.Receive(t.f.now(), m)
}

func (t handler) Hint(from int, silent []uint64) {
	all := make([]healthgossip.Server, len(silent))
	for i, s := range silent {
		all[i] = healthgossip.Server(s)
	}
	t.f.hintsMu.Lock()
	defer t.f.hintsMu.Unlock()
	t.f.hints.Receive(t.f.now(), from, all)
}

func (t handler) Decision(from int, message []byte) error {
	if t.f.policy == nil {
		return nil // this one has no part in it
	}
	return t.f.policy.receive(from, message)
}
