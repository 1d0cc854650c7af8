// Package fleet connects this sidecar to the other sidecars of its fleet. It provides the state machines of the
// packages swim (membership) and replicatedstate (replicated log of the fleet's policy) with a socket, a clock,
// storage and a logger, and publishes their decisions to the proxy engine. The decisions themselves are made in those
// packages.
//
// A Fleet and its Policy are safe for concurrent use. Run owns the link, the goroutine that reads from it, and the
// periodic ticks. When its context ends, Run leaves the fleet, closes the link and waits for the goroutine.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"caperarch/internal/daemon/config"
	"caperarch/internal/fleet/healthgossip"
	"caperarch/internal/fleet/peer"
	"caperarch/internal/fleet/swim"
	"caperarch/internal/proxy/clock"
)

// bindRetryInterval is how long to wait between attempts to bind the peer address while the previous process of this
// sidecar still uses it.
const bindRetryInterval = 250 * time.Millisecond

// minBytesPerSecond is the smallest send budget with which a sidecar stays in contact. peer.Open requires the same.
const minBytesPerSecond = 512

// Fleet is this sidecar's membership in a fleet. It is safe for concurrent use.
type Fleet struct {
	cfg         *config.Config
	file        *config.Fleet
	peers       []netip.AddrPort
	incarnation uint64
	log         *slog.Logger
	now         func() time.Duration

	policy *Policy // nil: the fleet has no policy

	sidecars atomic.Int64  // result of Sidecars
	position atomic.Uint64 // math.Float64bits of the result of Position
	// positionStates are the states from which position was computed: this sidecar's contact, then the members'.
	positionStates []swim.State // guarded by mu

	mu   sync.Mutex // guards node, link, positionStates, nextHint and hintRand
	node *swim.Node
	link *peer.Link // nil: the peer address is not bound yet

	hintsMu  sync.Mutex // guards hints; separate from mu, so that the engine never waits for mu
	hints    *healthgossip.Hints
	nextHint time.Duration // when the next hints are due
	hintRand *rand.Rand
}

// New checks the settings and returns a Fleet, which opens its socket and state in Run only.
func New(cfg *config.Config, file *config.Fleet, log *slog.Logger) (*Fleet, error) {
	f := &Fleet{cfg: cfg, file: file, log: log, now: clock.SinceBoot}
	switch {
	case !cfg.PeersAllowed:
		return nil, errors.New(
			"settings.caps.peers: messages between sidecars are forbidden by the settings, so -fleet can't be used",
		)
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
		return nil, fmt.Errorf(
			"peers: %d addresses are fewer than settings.balancers, %d; each sidecar needs an address", len(f.peers),
			cfg.Policy.Balancers,
		)
	}
	sendBudget := file.BytesPerSidecar(len(f.peers))
	contactBudget := sendBudget // for the messages of swim
	if file.Policy != nil {
		contactBudget = sendBudget / 2
	}
	// A process that starts later has a higher incarnation; two that start in the same millisecond differ in the seed.
	f.incarnation = uint64(time.Now().UnixMilli())<<16 | cfg.Seed&0xffff
	f.node, err = swim.New(swim.Config{
		Size:           len(f.peers),
		Self:           cfg.Policy.Index,
		Incarnation:    f.incarnation,
		Lease:          file.Lease,
		MaxClockError:  file.ClockError,
		BytesPerSecond: contactBudget,
		Rand:           rand.New(rand.NewPCG(cfg.Seed, 1)),
		Host:           swimHost{f},
	})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file.Path, err)
	}
	if sendBudget < minBytesPerSecond {
		return nil, fmt.Errorf(
			"%s: fleet_bytes_per_second: each of %d sidecars would get %.0f bytes per second, at least %d are required",
			file.Path, len(f.peers), sendBudget, minBytesPerSecond,
		)
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

// Run participates in the fleet until ctx ends, and then announces that this sidecar leaves. It waits for the peer
// address while the process that this one replaces still uses it.
func (f *Fleet) Run(ctx context.Context) {
	for warned := false; ; {
		link, err := peer.Open(peer.Config{
			Listen:         f.cfg.PeerListen,
			Peers:          f.peers,
			Self:           f.cfg.Policy.Index,
			Fleet:          f.file.Name,
			Incarnation:    f.incarnation,
			BytesPerSecond: f.file.BytesPerSidecar(len(f.peers)),
			Now:            f.now,
		})
		if err == nil {
			f.serve(ctx, link)
			return
		}
		if !warned {
			f.log.Warn("peers: the address can't be had yet", "error", err,
				"again every", bindRetryInterval, "in use", errors.Is(err, syscall.EADDRINUSE))
			warned = true
		}
		select {
		case <-time.After(bindRetryInterval):
		case <-ctx.Done():
			return
		}
	}
}

// serve participates over an open link until ctx ends.
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
	f.log.Info("peers", "listen", link.Address(), "fleet", f.file.Name, "sidecars", len(f.peers),
		"number", f.cfg.Policy.Index, "session", f.incarnation)
	readDone := make(chan struct{})
	go func() {
		defer close(readDone)
		link.Read(linkHandler{f})
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
	<-readDone
}

// tick advances the membership protocol and publishes its results.
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

// Policy returns the fleet's policy as seen by this sidecar, or nil if the fleet has no policy.
func (f *Fleet) Policy() *Policy { return f.policy }

// Sidecars returns the least number of sidecars in the fleet: the configured number, or the number observed if that
// is greater. It never blocks.
func (f *Fleet) Sidecars() int { return int(f.sidecars.Load()) }

// InContact reports whether this sidecar is in contact with the fleet at this moment. The result must not be cached,
// because contact ends when a lease expires.
func (f *Fleet) InContact() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.link != nil && f.node.InContact(f.now())
}
