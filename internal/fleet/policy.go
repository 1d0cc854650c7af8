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

	"caperarch/internal/daemon/config"
	"caperarch/internal/fleet/maintenance"
	"caperarch/internal/fleet/peer"
	"caperarch/internal/fleet/policyrollout"
	"caperarch/internal/fleet/raftlog"
	"caperarch/internal/fleet/replicatedstate"
	"caperarch/internal/fleet/state"
	"caperarch/internal/fleet/swim"
	"caperarch/internal/proxy/metrics"
	"caperarch/policy"
)

// unbounded stands for a bound that the settings don't have.
const unbounded = 1_000_000

// ActiveLimits is what a sidecar goes by for a while. It does not change: another one takes its place.
type ActiveLimits struct {
	policyrollout.Active
	Limits *policyrollout.Limits
	Engine policy.Limits
}

// Policy is this sidecar's part in the policy that the fleet agrees on. It is safe for concurrent use.
type Policy struct {
	fleet     *Fleet
	settings  *policyrollout.Settings
	retrySpan time.Duration // of the retry budget; 0: there is none
	cutOff    *ActiveLimits

	active      atomic.Pointer[ActiveLimits]
	activeUntil atomic.Int64 // when force is over and cutOff holds, if nothing more is heard

	cfg replicatedstate.Config

	mu    sync.Mutex
	node  *replicatedstate.Node // nil: it takes no part, or not yet
	link  *peer.Link            // nil: the address is not ours yet
	store *state.Store          // nil: nothing outlives the process
	now   time.Duration

	machinesOut atomic.Pointer[[]uint64] // by plans of work
	maintenance maintenanceState

	storageErrorLogged bool              // that was logged
	uploads            []*upload         // by operators
	outcomes           map[string]uint64 // changes that were taken, called off, refused
}

func newPolicy(f *Fleet) (*Policy, error) {
	p := &Policy{fleet: f, settings: policySettings(f.cfg), retrySpan: f.cfg.Policy.Budget.Span, outcomes: map[string]uint64{"taken": 0, "called off": 0, "refused": 0}}
	l, err := p.resolvePolicy(f.file.Policy.FallbackPolicy)
	if err != nil {
		return nil, fmt.Errorf("cut_off: %w", err)
	}
	if looser := policyrollout.Looser(l, &p.settings.Limits); looser != nil {
		return nil, fmt.Errorf("cut_off: it is looser than the settings, which may hold: %s", strings.Join(looser, "; "))
	}
	p.cutOff = p.newActiveLimits(policyrollout.Active{}, l)
	p.active.Store(p.cutOff)
	p.activeUntil.Store(math.MaxInt64)
	p.machinesOut.Store(new([]uint64))
	p.cfg = replicatedstate.Config{
		Size: len(f.peers), ProcessIncarnation: f.incarnation, Lease: cmp.Or(f.file.Lease, swim.LeaseFor(len(f.peers))), MaxClockError: cmp.Or(f.file.ClockError, swim.DefaultClockError),
		Rand: rand.New(rand.NewPCG(f.cfg.Seed, 3)), Host: policyHost{p}, Check: p.checkPolicy,
	}
	if dir := f.file.Policy.StateDir; dir != "" {
		if err := state.CheckWritable(dir); err != nil {
			return nil, fmt.Errorf("state: %w", err)
		}
	}
	return p, nil
}

// policySettings are this sidecar's own settings, as a policy sees them.
func policySettings(cfg *config.Config) *policyrollout.Settings {
	s := &policyrollout.Settings{Tenants: cfg.Tenants, NoRetryBudget: cfg.Policy.Budget.Span == 0}
	sum := 0.0
	for _, t := range cfg.Policy.Tenants {
		sum += t.Share
	}
	for _, t := range cfg.Policy.Tenants {
		quota := t.Quota
		if quota == 0 {
			quota = math.Inf(1)
		}
		s.Limits.Share, s.Limits.Quota = append(s.Limits.Share, t.Share/sum), append(s.Limits.Quota, quota)
	}
	s.Limits.Attempts, s.Limits.Open, s.Limits.Queue = cfg.Policy.MaxAttempts, cfg.MaxOpenRequests, unbounded
	if s.Limits.Open == 0 {
		s.Limits.Open = unbounded
	}
	s.Limits.RetryFree, s.Limits.RetryShare = cfg.Policy.Budget.Free, cfg.Policy.Budget.Share
	// What the platform allows a sidecar is no policy's to raise.
	s.Max.Attempts, s.Max.Open = cfg.Policy.MaxAttempts, cfg.MaxOpenRequests
	return s
}

// resolvePolicy makes a text whole by this sidecar's settings.
func (p *Policy) resolvePolicy(text []byte) (*policyrollout.Limits, error) {
	parsed, err := policyrollout.Parse(text)
	if err != nil {
		return nil, err
	}
	return parsed.Resolve(p.settings)
}

// checkPolicy says why a policy can't be applied here.
func (p *Policy) checkPolicy(text []byte) error {
	l, err := p.resolvePolicy(text)
	if err != nil {
		return err
	}
	if looser := policyrollout.Looser(p.cutOff.Limits, l); looser != nil {
		return fmt.Errorf("cut_off is looser: %s", strings.Join(looser, "; "))
	}
	return nil
}

// newActiveLimits is what to go by as the module takes it.
func (p *Policy) newActiveLimits(now policyrollout.Active, l *policyrollout.Limits) *ActiveLimits {
	in := &ActiveLimits{Active: now, Limits: l, Engine: policy.Limits{MaxAttempts: l.Attempts, Queue: l.Queue}}
	for i, share := range l.Share {
		t := policy.Tenant{Share: share}
		if !math.IsInf(l.Quota[i], 1) {
			t.Quota = l.Quota[i]
		}
		in.Engine.Tenants = append(in.Engine.Tenants, t)
	}
	if p.retrySpan > 0 {
		in.Engine.Budget = policy.RetryBudget{Span: p.retrySpan, Free: l.RetryFree, Share: l.RetryShare}
	}
	return in
}

// Active is what holds at this very moment. It is to be asked wherever something depends on it: a process that stood still finds itself cut off.
func (p *Policy) Active() *ActiveLimits {
	if p.fleet.now() >= time.Duration(p.activeUntil.Load()) {
		return p.cutOff
	}
	return p.active.Load()
}

// start has it take part, over a link. What it has kept in its folder is the process's only that has the address: the one before it may have used it till now.
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
			p.fleet.log.Error("policy: the state was damaged and is put aside, this sidecar votes with a new seat", "error", damage)
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

// openState opens what was kept. The process before this one may be about to close it.
func openState(dir, fleet string, seat raftlog.Voter) (s *state.Store, err error) {
	for range 20 {
		if s, err = state.Open(dir, fleet, seat.Number, seat.Incarnation); !errors.Is(err, state.ErrInUse) {
			break
		}
	}
	return s, err
}

// stop closes what is kept; nothing is sent from then on.
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
		p.fleet.log.Error("policy: what must not be forgotten can't be kept, this sidecar votes no more", "error", err)
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

// publishActive has Now tell what the node goes by. The caller holds the lock; the node itself calls for it before it tells the fleet by what it goes.
func (p *Policy) publishActive() {
	p.publishMachinesOut()
	goes := p.node.Active(p.now)
	until := p.node.ActiveUntil()
	if goes.Mode == policyrollout.CutOff {
		p.setActive(p.cutOff, math.MaxInt64)
		return
	}
	if in := p.active.Load(); in.Active == goes {
		p.activeUntil.Store(int64(until))
		return
	}
	l, err := p.limitsOf(goes)
	if err != nil { // its text was checked when it came
		p.fleet.log.Error("policy: what the fleet goes by can't be applied, this sidecar is cut off", "error", err)
		p.setActive(p.cutOff, math.MaxInt64)
		return
	}
	p.setActive(p.newActiveLimits(goes, l), int64(until))
}

// setActive has something else hold. Whoever asks between the two finds cutOff, which is no looser than either.
func (p *Policy) setActive(in *ActiveLimits, until int64) {
	if p.active.Load() == in && p.activeUntil.Load() == until {
		return
	}
	p.activeUntil.Store(0)
	p.active.Store(in)
	p.activeUntil.Store(until)
}

// limitsOf are the limits of one version, or the stricter of two.
func (p *Policy) limitsOf(goes policyrollout.Active) (*policyrollout.Limits, error) {
	one := func(r policyrollout.Ref) (*policyrollout.Limits, error) {
		if r.Version == 0 {
			return &p.settings.Limits, nil
		}
		text, here := p.node.Text(r)
		if !here {
			return nil, errors.New(policyrollout.Waiting)
		}
		return p.resolvePolicy(text)
	}
	l, err := one(goes.New)
	if err != nil || goes.Mode != policyrollout.Both {
		return l, err
	}
	old, err := one(goes.Old)
	if err != nil {
		return nil, err
	}
	return policyrollout.Stricter(old, l), nil
}

// metrics is the present state in numbers.
func (p *Policy) metrics() *metrics.Policy {
	v := p.View()
	p.mu.Lock()
	defer p.mu.Unlock()
	return &metrics.Policy{Holds: v.State.Current.Version, Goes: v.Active.Mode.String(), UnderWay: v.State.InProgress(), Changes: maps.Clone(p.outcomes), Work: p.maintenanceMetrics()}
}

// policyHost carries out what the node decides; its methods are called with the lock held.
type policyHost struct{ p *Policy }

func (h policyHost) Send(to int, raw []byte, urgent bool) {
	if h.p.link == nil {
		return
	}
	priority := peer.Decision
	if urgent {
		priority = peer.Urgent
	}
	h.p.link.SendDecision(to, raw, priority)
}

func (h policyHost) Changed(e replicatedstate.Event) {
	log := h.p.fleet.log
	switch e.Kind {
	case "goes by":
		h.p.publishActive()
		log.Info("policy: goes by", "mode", e.Active.Mode.String(), "version", e.Active.New.Version, "old", e.Active.Old.Version)
	case "leads", "log":
		if e.Kind == "log" {
			h.p.maintenance.clearance, h.p.maintenance.logCount = maintenance.LocalClearance{}, h.p.maintenance.logCount+1
		}
		log.Info("policy: "+e.Kind, "number", e.By, "what", e.Why)
	case "entry":
		log.Error("policy: an entry of the log can't be read, this sidecar is cut off", "error", e.Why)
	default:
		if e.Kind == "taken" || e.Kind == "called off" || e.Kind == "refused" {
			h.p.outcomes[e.Kind]++
		}
		log.Info("policy: "+e.Kind, "version", e.Version, "hash", fmt.Sprintf("%x", e.Hash[:6]), "by", e.By, "why", e.Why)
	}
}
