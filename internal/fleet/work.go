package fleet

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"caperarch/internal/fleet/maintenance"
	"caperarch/internal/fleet/policyrollout"
	"caperarch/internal/fleet/replicatedstate"
	"caperarch/internal/proxy/metrics"
)

// Site is what this process has to do with the machines that plans of work are about.
type Site interface {
	// Machines are those that are listed, plans left aside; current: discovery has answered lately.
	Machines() (all []maintenance.Machine, current bool)
	// Quiet has told called with those of some machines to which nothing goes any more, and at which nothing is out. It does not wait.
	Quiet(ids []uint64, told func(quiet []uint64))
	// Handled is how many requests were answered since the start, and how many of them were served.
	Handled() (all, passed uint64)
}

// maintenanceState is this process's part in plans of work. The policy's lock guards it.
type maintenanceState struct {
	site             Site
	attachedAt       time.Duration
	machines         maintenance.MachineList
	clearance        maintenance.LocalClearance
	load             maintenance.Load
	idleCheckPending bool // the site has not told yet
	logCount         int  // that this process has known: what the site tells of an earlier one's turns counts no more
}

// Attach gives the policy the machines. It is to be called before the fleet runs; without it this sidecar is never clear, and leads no plan.
func (p *Policy) Attach(site Site) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maintenance.site, p.maintenance.attachedAt = site, p.fleet.now()
	p.cfg.Work, p.cfg.Deadline = machineSource{p}, p.fleet.cfg.MaxDeadline+deadlineOverrun
}

// deadlineOverrun is what a request may take beyond its deadline till its end is known here.
const deadlineOverrun = 700 * time.Millisecond

// MachinesOut are the machines to which nothing new may be sent, by plans of work. It never waits; another slice is another answer, and each is its caller's to read only.
func (p *Policy) MachinesOut() *[]uint64 { return p.machinesOut.Load() }

// updateMaintenance brings what is known of machines and of this sidecar up to date. The caller holds the lock.
func (p *Policy) updateMaintenance() {
	w := &p.maintenance
	if w.site == nil {
		return
	}
	if w.load.Due(p.now) {
		all, passed := w.site.Handled()
		w.load.Count(p.now, all, passed)
	}
	asks := w.clearance.Unconfirmed(p.node.MaintenanceState())
	if len(asks) == 0 || w.idleCheckPending {
		return
	}
	w.idleCheckPending = true
	var ids []uint64
	log := w.logCount
	for _, id := range asks {
		ids = append(ids, id)
	}
	w.site.Quiet(ids, func(quiet []uint64) {
		go func() { // whoever tells must not wait
			p.mu.Lock()
			defer p.mu.Unlock()
			w.idleCheckPending = false
			for turn, id := range asks {
				if w.logCount == log && slices.Contains(quiet, id) {
					w.clearance.MarkClear(turn, id)
				}
			}
		}()
	})
}

// publishMachinesOut has Out tell what the log says now. The caller holds the lock.
func (p *Policy) publishMachinesOut() {
	if now := p.node.MachinesOut(); !slices.Equal(now, *p.machinesOut.Load()) {
		p.machinesOut.Store(&now)
	}
}

// machineSource is what the node asks; its methods are called with the lock held.
type machineSource struct{ p *Policy }

func (w machineSource) Machines() (all []maintenance.Machine, current bool) {
	p := w.p
	listed, current := p.maintenance.site.Machines()
	p.maintenance.machines.Update(p.now, listed)
	return p.maintenance.machines.All(p.now), current
}

func (w machineSource) LocalReport(s *maintenance.State) maintenance.Report {
	p := w.p
	rate, served := p.maintenance.load.Recent()
	return maintenance.Report{ClearUpTo: p.maintenance.clearance.ClearUpTo(p.now-p.maintenance.attachedAt, replicatedstate.LeaseExpiry(p.cfg.Deadline, p.cfg.MaxClockError), s), Rate: rate, InTime: served}
}

func (h policyHost) Worked(s maintenance.Step) {
	p := h.p
	if s.Kind == maintenance.Opened || s.Kind == maintenance.Withdrawn || s.Kind == maintenance.Done {
		if p.node != nil {
			p.publishMachinesOut()
		}
	}
	if s.Kind == maintenance.LeaderStarted {
		return
	}
	args := []any{"number", s.Number, "by", s.By}
	if s.Machine != 0 {
		args = append(args, "machine", p.machineName(s.Machine))
	}
	if s.Plan != 0 {
		args = append(args, "plan", s.Plan)
	}
	if s.Why != "" {
		args = append(args, "why", s.Why)
	}
	p.fleet.log.Info("work: "+s.Kind.String(), args...)
}

// machineName is a machine as people call it. The caller holds the lock.
func (p *Policy) machineName(id uint64) string {
	name, known := p.maintenance.machines.Name(p.now, id)
	if !known && p.maintenance.site != nil { // listed since the list was last looked at, maybe
		machineSource{p}.Machines()
		name, known = p.maintenance.machines.Name(p.now, id)
	}
	if !known {
		return fmt.Sprintf("%016x", id)
	}
	return name
}

var errNumber = errors.New("a number is needed, of a turn (done) or of a plan")

// Plan has the fleet take machines out by a plan whose text was handed over.
func (p *Policy) Plan(words []string, to io.Writer) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	text, err := p.uploaded(words[0])
	if err != nil {
		return err
	}
	if p.node == nil {
		return errNotRunning
	}
	p.now = p.fleet.now()
	number, err := p.node.Plan(p.now, text)
	if err != nil {
		return err
	}
	p.publishActive()
	_, err = fmt.Fprintf(to, "plan %d is to begin, hash %s\n", number, policyrollout.Hash(text))
	return err
}

// Operate carries out an operator's word on a turn (done) or a plan (paused, resumed, cancelled).
func (p *Policy) Operate(kind maintenance.Kind, words []string, to io.Writer) error {
	number, err := strconv.ParseUint(words[0], 10, 32)
	if err != nil || number == 0 {
		return errNumber
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.node == nil {
		return errNotRunning
	}
	p.now = p.fleet.now()
	if err := p.node.Operate(p.now, kind, uint32(number)); err != nil {
		return err
	}
	p.publishActive()
	what := "plan"
	if kind == maintenance.Done {
		what = "turn"
	}
	_, err = fmt.Fprintf(to, "%s %d is to be %s\n", what, number, kind)
	return err
}

// ShowMaintenance writes plans and turns, what they wait for, and who is out of contact; the leader is asked for the last two.
func (p *Policy) ShowMaintenance(to io.Writer) error {
	v, known := p.maintenanceView()
	if known && v.UnreachableCount < 0 && len(v.State.Plans)+len(v.State.Windows) > 0 {
		p.mu.Lock()
		if p.node != nil {
			p.node.RequestLaggards(p.fleet.now())
		}
		p.mu.Unlock()
		for end := time.Now().Add(laggardsTimeout); v.UnreachableCount < 0 && time.Now().Before(end); v, _ = p.maintenanceView() {
			time.Sleep(10 * time.Millisecond)
		}
	}
	if !known {
		return errNotRunning
	}
	b, s := new(strings.Builder), &v.State
	p.mu.Lock()
	for _, w := range s.Plans {
		state := "under way"
		if w.Paused != "" {
			state = "paused: " + w.Paused
		}
		fmt.Fprintf(b, "plan %d of sidecar %d, hash %x: %s; %d have had a turn or have it, %d turns withdrawn\n", w.Number, w.By, w.Hash, state, len(w.Visited), w.Withdrawn)
	}
	for _, e := range s.Ended {
		fmt.Fprintf(b, "plan %d: %s, %d had a turn\n", e.Number, e.Outcome, e.Visited)
	}
	for _, t := range s.Windows {
		state := t.Phase.String()
		if t.Phase == maintenance.Free {
			state = "out, free to work on"
		}
		fmt.Fprintf(b, "turn %d of plan %d: %s: %s\n", t.Number, t.Plan, p.machineName(t.Machine), state)
	}
	for _, x := range s.Past[max(0, len(s.Past)-maxPastShown):] {
		why := ""
		if x.Why != "" {
			why = ", " + x.Why
		}
		fmt.Fprintf(b, "turn %d of plan %d: %s: %s%s\n", x.Number, x.Plan, p.machineName(x.Machine), x.Outcome, why)
	}
	p.mu.Unlock()
	switch {
	case len(s.Plans)+len(s.Windows) == 0:
		fmt.Fprintln(b, "no plan is under way")
	case v.UnreachableCount < 0:
		fmt.Fprintln(b, "the leader does not say what is waited for")
	default:
		if v.WaitReason != "" {
			fmt.Fprintf(b, "waits: %s\n", v.WaitReason)
		}
		fmt.Fprintf(b, "out of contact: %d sidecars, which may send to machines that are out\n", v.UnreachableCount)
		for _, a := range v.Unreachable {
			fmt.Fprintf(b, "out of contact: sidecar %d, %s\n", a.Number, a.Why)
		}
	}
	_, err := io.WriteString(to, b.String())
	return err
}

// maxPastShown is how many turns that are over are shown: an answer is short.
const maxPastShown = 20

// maintenanceMetrics is the present state in numbers. The caller holds the lock.
func (p *Policy) maintenanceMetrics() metrics.Work {
	w := metrics.Work{Machines: map[string]int{maintenance.Draining.String(): 0, maintenance.Free.String(): 0, maintenance.Returning.String(): 0}}
	if p.node == nil {
		return w
	}
	s := p.node.MaintenanceState()
	for _, t := range s.Windows {
		w.Machines[t.Phase.String()]++
	}
	for i := range s.Plans {
		if s.Plans[i].Paused != "" {
			w.Paused++
		}
	}
	w.Plans, w.Turn = len(s.Plans), s.LastWindow
	return w
}

func (p *Policy) maintenanceView() (replicatedstate.MaintenanceView, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.node == nil {
		return replicatedstate.MaintenanceView{}, false
	}
	return p.node.MaintenanceView(p.fleet.now()), true
}
