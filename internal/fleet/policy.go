package fleet

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"caperarch/internal/fleet/peer"
	"caperarch/internal/fleet/policyrollout"
	"caperarch/internal/fleet/raftlog"
	"caperarch/internal/fleet/replicatedstate"
	"caperarch/internal/fleet/state"
	"caperarch/internal/fleet/swim"
	"caperarch/internal/proxy/metrics"
)

// Policy is this sidecar's part in the policy that the fleet agrees on. It is safe for concurrent
// use.
type Policy struct {
	fleet     *Fleet
	settings  *policyrollout.Settings
	retrySpan time.Duration // span of the retry budget; 0: there is none
	cutOff    *ActiveLimits

	active      atomic.Pointer[ActiveLimits]
	activeUntil atomic.Int64 // when cutOff replaces active if nothing more is received

	cfg replicatedstate.Config

	mu    sync.Mutex            // guards what follows, but for machinesOut
	node  *replicatedstate.Node // nil: it takes no part, or not yet
	link  *peer.Link            // nil: the address is not this process's yet
	store *state.Store          // nil: nothing outlives the process
	now   time.Duration         // of the current call

	machinesOut atomic.Pointer[[]uint64] // by maintenance windows
	maintenance maintenanceState

	storageErrorLogged bool              // so that it is logged once
	uploads            []*upload         // of operators
	outcomes           map[string]uint64 // changes that were taken, called off, refused, for metrics
}

// newPolicy checks the settings and returns a part that applies cut_off.
func newPolicy(f *Fleet) (*Policy, error) {
	p := &Policy{
		fleet: f, settings: policySettings(f.cfg), retrySpan: f.cfg.Policy.Budget.Span,
		outcomes: map[string]uint64{"taken": 0, "called off": 0, "refused": 0},
	}
	l, err := p.resolvePolicy(f.file.Policy.FallbackPolicy)
	if err != nil {
		return nil, fmt.Errorf("cut_off: %w", err)
	}
	if looser := policyrollout.Looser(l, &p.settings.Limits); looser != nil {
		return nil, fmt.Errorf(
			"cut_off: it is looser than the settings, which may hold: %s",
			strings.Join(looser, "; "),
		)
	}
	p.cutOff = p.newActiveLimits(policyrollout.Active{}, l)
	p.active.Store(p.cutOff)
	p.activeUntil.Store(math.MaxInt64)
	p.machinesOut.Store(new([]uint64))
	p.cfg = replicatedstate.Config{
		Size:               len(f.peers),
		ProcessIncarnation: f.incarnation,
		Lease:              cmp.Or(f.file.Lease, swim.LeaseFor(len(f.peers))),
		MaxClockError:      cmp.Or(f.file.ClockError, swim.DefaultClockError),
		Rand:               rand.New(rand.NewPCG(f.cfg.Seed, 3)), Host: policyHost{p}, CheckPolicy: p.checkPolicy,
	}
	if dir := f.file.Policy.StateDir; dir != "" {
		if err := state.CheckWritable(dir); err != nil {
			return nil, fmt.Errorf("state: %w", err)
		}
	}
	return p, nil
}

// start takes part over a link. The saved state belongs to the process that has the address: the
// process before this one may have used it until now.
func (p *Policy) start(link *peer.Link) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	cfg := p.cfg
	cfg.Self = raftlog.Voter{Number: p.fleet.cfg.Policy.Index, Incarnation: p.fleet.incarnation}
	saved, texts := new(raftlog.SavedState), [][]byte(nil)
	if dir := p.fleet.file.Policy.StateDir; dir != "" {
		var err error
		if p.store, err = openState(dir, p.fleet.file.Name, cfg.Self); err != nil {
			return err
		}
		if damage := p.store.Corruption(); damage != nil {
			p.fleet.log.Error(
				"policy: the state was damaged and is put aside, this sidecar votes with a new seat",
				"error", damage,
			)
		}
		if saved, texts, err = p.store.Saved(); err != nil {
			return err
		}
		cfg.Self.Incarnation, cfg.Storage = p.store.Seat(), p.store
	}
	node, err := replicatedstate.New(cfg)
	if err != nil {
		return err
	}
	p.link, p.now = link, p.fleet.now()
	p.node = node
	err = node.Restore(p.now, saved, texts)
	p.publishMachinesOut()
	return err
}

// openState opens the saved state. The process before this one may be about to close it.
func openState(dir, fleet string, seat raftlog.Voter) (s *state.Store, err error) {
	for range 20 {
		if s, err = state.Open(dir, fleet, seat.Number, seat.Incarnation); !errors.Is(err, state.ErrInUse) {
			break
		}
	}
	return s, err
}

// stop closes the saved state; nothing is sent from then on.
func (p *Policy) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.node, p.link = nil, nil
	if p.store != nil {
		if err := p.store.Close(); err != nil {
			p.fleet.log.Error("policy: state", "error", err)
		}
		p.store = nil
	}
	p.setActive(p.cutOff, math.MaxInt64)
}

func (p *Policy) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.node == nil {
		return
	}
	p.now = p.fleet.now()
	p.updateMaintenance()
	p.node.Tick(p.now)
	p.publishActive()
	if err := p.node.StorageError(); err != nil && !p.storageErrorLogged {
		p.storageErrorLogged = true
		p.fleet.log.Error(
			"policy: what must not be forgotten can't be kept, this sidecar votes no more", "error",
			err,
		)
	}
}

func (p *Policy) receive(from int, message []byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.node == nil {
		return nil
	}
	p.now = p.fleet.now()
	err := p.node.Receive(p.now, from, message)
	p.publishActive()
	return err
}

// metrics returns the current state as metrics.
func (p *Policy) metrics() *metrics.Policy {
	v := p.View()
	p.mu.Lock()
	defer p.mu.Unlock()
	return &metrics.Policy{
		Holds: v.State.Current.Version, Goes: v.Active.Mode.String(),
		UnderWay: v.State.InProgress(), Changes: maps.Clone(p.outcomes),
		Work: p.maintenanceMetrics(),
	}
}
