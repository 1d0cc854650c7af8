package fleet

import (
	"fmt"
	"io"
	"strings"
	"time"

	"caperarch/internal/fleet/policyrollout"
	"caperarch/internal/fleet/replicatedstate"
)

// laggardsTimeout is how long an operator's call waits for the leader's answer.
const laggardsTimeout = 400 * time.Millisecond

// View returns this sidecar's view of the policy and its log.
func (p *Policy) View() replicatedstate.View {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.node == nil {
		return replicatedstate.View{Self: p.fleet.cfg.Policy.Index, Leader: -1}
	}
	return p.node.View(p.fleet.now())
}

// askLeader asks the leader for which sidecars a change or a plan waits. It returns when answered reports true or
// laggardsTimeout has passed.
func (p *Policy) askLeader(answered func() bool) {
	p.mu.Lock()
	if p.node != nil {
		p.node.RequestLaggards(p.fleet.now())
	}
	p.mu.Unlock()
	for deadline := time.Now().Add(laggardsTimeout); time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
		if answered() {
			return
		}
	}
}

// Show writes the current policy, the change in progress, and for which sidecars the change waits. The leader is asked
// for the last.
func (p *Policy) Show(out io.Writer) error {
	view := p.View()
	if view.State.InProgress() != 0 && view.LaggardCount < 0 {
		p.askLeader(func() bool {
			view = p.View()
			return view.LaggardCount >= 0
		})
	}
	b := new(strings.Builder)
	writePolicy(b, &view)
	writeChange(b, &view)
	writeLog(b, &view)
	_, err := io.WriteString(out, b.String())
	return err
}

// writePolicy writes the fleet's current policy version, and which versions this sidecar applies.
func writePolicy(b *strings.Builder, view *replicatedstate.View) {
	state := &view.State
	switch {
	case view.Epoch == 0:
		fmt.Fprintln(
			b,
			"no log is known here: it was never begun (policy found), or this process has not heard of it yet",
		)
	case !state.Started:
		fmt.Fprintln(b, "the log has begun, and waits until nobody can go by an earlier one")
	case state.Current.Version == 0:
		fmt.Fprintln(b, "version 0 holds: the settings")
	default:
		fmt.Fprintf(b, "version %d holds, hash %x\n", state.Current.Version, state.Current.Hash)
	}
	switch view.Active.Mode {
	case policyrollout.CutOff:
		fmt.Fprintln(b, "this sidecar is cut off: it goes by cut_off")
	case policyrollout.OneVersion:
		fmt.Fprintf(
			b, "this sidecar goes by version %d, for %s at least\n", view.Active.New.Version,
			seconds(view.ActiveUntil-view.Now),
		)
	default:
		fmt.Fprintf(
			b, "this sidecar goes by the stricter of versions %d and %d, for %s at least\n",
			view.Active.Old.Version, view.Active.New.Version, seconds(view.ActiveUntil-view.Now),
		)
	}
}

// writeChange writes the change in progress, and for which sidecars it waits.
func writeChange(b *strings.Builder, view *replicatedstate.View) {
	state := &view.State
	switch {
	case state.Offered.Version != 0:
		fmt.Fprintf(
			b, "under way: version %d of sidecar %d, hash %x: its text goes round\n",
			state.Offered.Version, state.ProposedBy, state.Offered.Hash,
		)
	case state.Pending.Version != 0:
		fmt.Fprintf(
			b,
			"under way: version %d of sidecar %d, hash %x: all are to go by the stricter of both\n",
			state.Pending.Version, state.ProposedBy, state.Pending.Hash,
		)
	case state.Completing != 0:
		fmt.Fprintf(b, "under way: version %d has its outcome, all are to go by that\n", state.Completing)
	default:
		fmt.Fprintln(b, "under way: nothing")
	}
	if state.InProgress() != 0 {
		if view.LaggardCount < 0 {
			fmt.Fprintln(b, "behind: the leader does not say")
		} else {
			fmt.Fprintf(b, "behind: %d\n", view.LaggardCount)
		}
		for _, sidecar := range view.Laggards[:min(len(view.Laggards), 20)] {
			fmt.Fprintf(b, "behind: sidecar %d: %s\n", sidecar.Number, sidecar.Reason)
		}
	}
}

// writeLog writes the state of the replicated log, and the changes that were proposed at this sidecar.
func writeLog(b *strings.Builder, view *replicatedstate.View) {
	fmt.Fprintf(b, "log: epoch %x, %d entries, leader %d, voters", view.Epoch, view.LastIndex, view.Leader)
	for _, voter := range view.Voters {
		fmt.Fprintf(b, " %d", voter.Number)
	}
	fmt.Fprintln(b)
	for _, proposal := range view.Proposals {
		outcome := proposal.Outcome
		if outcome == "" {
			outcome = "not in the log yet"
		}
		fmt.Fprintf(b, "proposed here: version %d, hash %x: %s\n", proposal.Version, proposal.Hash, outcome)
	}
}

// History writes the changes that have ended, newest last.
func (p *Policy) History(out io.Writer) error {
	view := p.View()
	for _, change := range view.State.History {
		line := fmt.Sprintf("version %d of sidecar %d, hash %x: %s", change.Version, change.ProposedBy, change.Hash,
			change.Outcome)
		if change.Reason != "" {
			line += fmt.Sprintf(", by sidecar %d: %s", change.EndedBy, change.Reason)
		}
		if _, err := fmt.Fprintln(out, line); err != nil {
			return err
		}
	}
	return nil
}
