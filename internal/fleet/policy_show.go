package fleet

import (
	"fmt"
	"io"
	"strings"
	"time"

	"caperarch/internal/fleet/policyrollout"
	"caperarch/internal/fleet/replicatedstate"
)

// View returns what this sidecar knows of the policy.
func (p *Policy) View() replicatedstate.View {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.node == nil {
		return replicatedstate.View{Self: p.fleet.cfg.Policy.Index, Leader: -1}
	}
	return p.node.View(p.fleet.now())
}

// laggardsTimeout is how long an operator's call waits for the leader's answer.
const laggardsTimeout = 400 * time.Millisecond

// askLeader asks the leader whom a change or a plan waits for, and waits until the answer is there
// or laggardsTimeout has passed.
func (p *Policy) askLeader(answered func() bool) {
	p.mu.Lock()
	if p.node != nil {
		p.node.RequestLaggards(p.fleet.now())
	}
	p.mu.Unlock()
	for end := time.Now().Add(laggardsTimeout); time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
		if answered() {
			return
		}
	}
}

// Show writes the current policy, the change in progress and whom it waits for; the leader is asked
// for the last.
func (p *Policy) Show(to io.Writer) error {
	v := p.View()
	if v.State.InProgress() != 0 && v.LaggardCount < 0 {
		p.askLeader(func() bool {
			v = p.View()
			return v.LaggardCount >= 0
		})
	}
	b := new(strings.Builder)
	writePolicy(b, &v)
	writeChange(b, &v)
	writeLog(b, &v)
	_, err := io.WriteString(to, b.String())
	return err
}

// writePolicy writes the current policy, and what this sidecar applies.
func writePolicy(b *strings.Builder, v *replicatedstate.View) {
	s := &v.State
	switch {
	case v.Epoch == 0:
		fmt.Fprintln(
			b,
			"no log is known here: it was never begun (policy found), or this process has not heard of it yet",
		)
	case !s.Started:
		fmt.Fprintln(b, "the log has begun, and waits until nobody can go by an earlier one")
	case s.Current.Version == 0:
		fmt.Fprintln(b, "version 0 holds: the settings")
	default:
		fmt.Fprintf(b, "version %d holds, hash %x\n", s.Current.Version, s.Current.Hash)
	}
	switch v.Active.Mode {
	case policyrollout.CutOff:
		fmt.Fprintln(b, "this sidecar is cut off: it goes by cut_off")
	case policyrollout.OneVersion:
		fmt.Fprintf(
			b, "this sidecar goes by version %d, for %s at least\n", v.Active.New.Version,
			seconds(v.ActiveUntil-v.Now),
		)
	default:
		fmt.Fprintf(
			b, "this sidecar goes by the stricter of versions %d and %d, for %s at least\n",
			v.Active.Old.Version, v.Active.New.Version, seconds(v.ActiveUntil-v.Now),
		)
	}
}

// writeChange writes the change in progress, and whom it waits for.
func writeChange(b *strings.Builder, v *replicatedstate.View) {
	s := &v.State
	switch {
	case s.Offered.Version != 0:
		fmt.Fprintf(
			b, "under way: version %d of sidecar %d, hash %x: its text goes round\n",
			s.Offered.Version, s.ProposedBy, s.Offered.Hash,
		)
	case s.Pending.Version != 0:
		fmt.Fprintf(
			b,
			"under way: version %d of sidecar %d, hash %x: all are to go by the stricter of both\n",
			s.Pending.Version, s.ProposedBy, s.Pending.Hash,
		)
	case s.Completing != 0:
		fmt.Fprintf(b, "under way: version %d has its outcome, all are to go by that\n", s.Completing)
	default:
		fmt.Fprintln(b, "under way: nothing")
	}
	if s.InProgress() != 0 {
		if v.LaggardCount < 0 {
			fmt.Fprintln(b, "behind: the leader does not say")
		} else {
			fmt.Fprintf(b, "behind: %d\n", v.LaggardCount)
		}
		for _, x := range v.Laggards[:min(len(v.Laggards), 20)] {
			fmt.Fprintf(b, "behind: sidecar %d: %s\n", x.Number, x.Reason)
		}
	}
}

// writeLog writes the log's state, and the changes that were proposed at this sidecar.
func writeLog(b *strings.Builder, v *replicatedstate.View) {
	fmt.Fprintf(b, "log: epoch %x, %d entries, leader %d, voters", v.Epoch, v.LastIndex, v.Leader)
	for _, seat := range v.Voters {
		fmt.Fprintf(b, " %d", seat.Number)
	}
	fmt.Fprintln(b)
	for _, m := range v.Proposals {
		outcome := m.Outcome
		if outcome == "" {
			outcome = "not in the log yet"
		}
		fmt.Fprintf(b, "proposed here: version %d, hash %x: %s\n", m.Version, m.Hash, outcome)
	}
}

// History writes the changes that have their outcome, the newest last.
func (p *Policy) History(to io.Writer) error {
	v := p.View()
	for _, h := range v.State.History {
		line := fmt.Sprintf("version %d of sidecar %d, hash %x: %s", h.Version, h.ProposedBy, h.Hash, h.Outcome)
		if h.Reason != "" {
			line += fmt.Sprintf(", by sidecar %d: %s", h.EndedBy, h.Reason)
		}
		if _, err := fmt.Fprintln(to, line); err != nil {
			return err
		}
	}
	return nil
}
