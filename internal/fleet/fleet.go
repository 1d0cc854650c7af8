// Package fleet runs this sidecar's part in a fleet: it gives the state machines of swim and
// replicatedstate their socket, clock, disk and log, and publishes what they decide to the engine.
// It decides nothing itself.
//
// A Fleet and its Policy are safe for concurrent use. Run owns the link, the goroutine that reads
// it, and the ticks; when its context ends it leaves the fleet, closes the link and waits for the
// goroutine.
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

// bindRetryInterval is how often the address is tried again while the previous process still has
// it.
const bindRetryInterval = 250 * time.Millisecond

// minBytesPerSecond is the least that keeps a sidecar in contact. peer.Open requires as much.
const minBytesPerSecond = 512

// Fleet is this sidecar's part in a fleet. It is safe for concurrent use.
type Fleet struct {
	cfg         *config.Config
	file        *config.Fleet
	peers       []netip.AddrPort
	incarnation uint64
	log         *slog.Logger
	now         func() time.Duration

	policy *Policy // nil: this sidecar takes no part in a policy of the fleet

	sidecars       atomic.Int64  // how many there are at least
	position       atomic.Uint64 // math.Float64bits of Position
	positionStates []swim.State  // contact and members' states of which position was computed; guarded by mu

	mu   sync.Mutex // guards node, link, positionStates, nextHint and hintRand
	node *swim.Node
	link *peer.Link // nil: the address is not this process's yet

	hintsMu  sync.Mutex // guards hints; not mu, as the engine calls in the middle of its work
	hints    *healthgossip.Hints
	nextHint time.Duration // when hints are sent next
	hintRand *rand.Rand
}

// New checks the settings of a fleet and returns this sidecar's part. Nothing is opened until Run.
func New(cfg *config.Config, file *config.Fleet, log *slog.Logger) (*Fleet, error) {
	f := &Fleet{cfg: cfg, file: file, log: log, now: clock.SinceBoot}
	switch {
	case !cfg.PeersAllowed:
		return nil, errors.New(
			"settings.caps.peers: sidecars may not send one another anything here, so there can be no -fleet",
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
			"peers: %d addresses, settings.balancers is %d: each sidecar needs one", len(f.peers),
			cfg.Policy.Balancers,
		)
	}
	share := file.BytesPerSidecar(len(f.peers))
	contact := share // budget of swim's own messages
	if file.Policy != nil {
		contact = share / 2
	}
	// Later starts have higher incarnations; two within a millisecond differ by the seed.
	f.incarnation = uint64(time.Now().UnixMilli())<<16 | cfg.Seed&0xffff
	f.node, err = swim.New(swim.Config{
		Size:           len(f.peers),
		Self:           cfg.Policy.Index,
		Incarnation:    f.incarnation,
		Lease:          file.Lease,
		MaxClockError:  file.ClockError,
		BytesPerSecond: contact,
		Rand:           rand.New(rand.NewPCG(cfg.Seed, 1)),
		Host:           host{f},
	})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file.Path, err)
	}
	if share < minBytesPerSecond {
		return nil, fmt.Errorf(
			"%s: fleet_bytes_per_second: each of %d sidecars would have %.0f, at least %d are needed",
			file.Path, len(f.peers), share, minBytesPerSecond,
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

// Run takes part until ctx ends, and then announces that this sidecar leaves. The address may still
// belong to the process that this one replaces.
func (f *Fleet) Run(ctx context.Context) {
	for waited := false; ; {
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
		if !waited {
			f.log.Warn("peers: the address can't be had yet", "error", err,
				"again every", bindRetryInterval, "in use", errors.Is(err, syscall.EADDRINUSE))
			waited = true
		}
		select {
		case <-time.After(bindRetryInterval):
		case <-ctx.Done():
			return
		}
	}
}

// serve takes part over an open link until ctx ends.
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

// Policy returns this sidecar's part in the policy that the fleet agrees on; nil: it has none.
func (f *Fleet) Policy() *Policy { return f.policy }

// Sidecars returns how many sidecars there are at least, by the settings or by what was seen. It
// never waits.
func (f *Fleet) Sidecars() int { return int(f.sidecars.Load()) }

// InContact reports whether this sidecar is in contact at this moment. Ask it where something
// depends on it.
func (f *Fleet) InContact() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.link != nil && f.node.InContact(f.now())
}
