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

// Policy holds the policy that the fleet agrees on by a replicated log, and determines the limits that this sidecar
// applies. It is safe for concurrent use.
type Policy struct {
	fleet     *Fleet
	settings  *policyrollout.Settings
	retrySpan time.Duration // time span of the retry budget; 0: there is no retry budget
	cutOff    *ActiveLimits // applied while this sidecar has no valid grant

	active      atomic.Pointer[ActiveLimits]
	activeUntil atomic.Int64 // when cutOff replaces active unless another grant is received; a time.Duration

	cfg replicatedstate.Config

	mu    sync.Mutex            // guards the fields below, except machinesOut
	node  *replicatedstate.Node // nil: not started, stopped, or start failed
	link  *peer.Link            // nil: the peer address is not bound yet
	store *state.Store          // nil: no state directory is configured
	now   time.Duration         // time of the current call

	machinesOut atomic.Pointer[[]uint64] // see MachinesOut
	maintenance maintenanceState

	storageErrorLogged bool              // the storage error was logged and is not logged again
	uploads            []*upload         // texts that operators are transferring
	outcomes           map[string]uint64 // number of changes by outcome, for metrics
}

// newPolicy checks the settings and returns a Policy that applies cut_off until start.
func newPolicy(f *Fleet) (*Policy, error) {
	p := &Policy{
		fleet: f, settings: policySettings(f.cfg), retrySpan: f.cfg.Policy.Budget.Span,
		outcomes: map[string]uint64{"taken": 0, "called off": 0, "refused": 0},
	}
	limits, err := p.resolvePolicy(f.file.Policy.FallbackPolicy)
	if err != nil {
		return nil, fmt.Errorf("cut_off: %w", err)
	}
	if looser := policyrollout.Looser(limits, &p.settings.Limits); looser != nil {
		return nil, fmt.Errorf(
			"cut_off: looser than the settings, which are the policy of version 0: %s",
			strings.Join(looser, "; "),
		)
	}
	p.cutOff = p.newActiveLimits(policyrollout.Active{}, limits)
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

// start participates in the replicated log over a link. The saved state is opened only now that this process has bound
// the peer address: until then the previous process of this sidecar may have used the state.
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
		if corruption := p.store.Corruption(); corruption != nil {
			p.fleet.log.Error(
				"policy: the state was damaged and is put aside, this sidecar votes with a new seat",
				"error", corruption,
			)
		}
		if saved, texts, err = p.store.Saved(); err != nil {
			return err
		}
		cfg.Self.Incarnation, cfg.Storage = p.store.VoterIncarnation(), p.store
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

// openState opens the saved state. It retries while the state is in use, because the previous process of this sidecar
// may be about to close it.
func openState(dir, fleet string, voter raftlog.Voter) (store *state.Store, err error) {
	for range 20 {
		if store, err = state.Open(dir, fleet, voter.Number, voter.Incarnation); !errors.Is(err, state.ErrInUse) {
			break
		}
	}
	return store, err
}

// stop closes the saved state and stops participating: no messages are sent from then on, and cut_off applies.
func (p *Policy) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.node, p.link = nil, nil
	if p.store != nil {
		if err := p.store.Close(); err != nil {
			p.fleet.log.Error("policy: closing the saved state failed", "error", err)
		}
		p.store = nil
	}
	p.setActive(p.cutOff, math.MaxInt64)
}

// tick advances the replicated state and publishes its results.
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
			"policy: writing the saved state failed, this sidecar does not vote any more", "error",
			err,
		)
	}
}

// receive passes a message from another sidecar to the replicated state.
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

// metrics returns the state of the policy as metrics.
func (p *Policy) metrics() *metrics.Policy {
	view := p.View()
	p.mu.Lock()
	defer p.mu.Unlock()
	return &metrics.Policy{
		Holds: view.State.Current.Version, Goes: view.Active.Mode.String(),
		UnderWay: view.State.InProgress(), Changes: maps.Clone(p.outcomes),
		Work: p.maintenanceMetrics(),
	}
}
