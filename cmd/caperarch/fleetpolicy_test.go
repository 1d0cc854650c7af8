package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"caperarch/internal/lab/testbed"
	"caperarch/internal/lab/testbed/fleet"
)

// policies is five processes under load whose policy is changed. Who let a request in by which policy shows at
// the upstreams: by the one nothing goes to the first, by the other nothing to the second.
type policies struct {
	*testing.T
	*fleet.Fleet
	stop           func()
	next, proposed int
	changes        int // at most so many took hold
	since, until   time.Time
}

// startPolicies starts them and has all go by the first policy.
func startPolicies(t *testing.T, edit func(file, settings map[string]any)) *policies {
	t.Helper()
	p := &policies{T: t, Fleet: startFleet(t, fleet.Config{Size: 5, Nodes: 4, CutOff: fleet.CutOffPolicy, Edit: edit})}
	t.Cleanup(p.logViews)
	p.stop = p.Load(150)
	if err := p.Sidecars[3].Propose(fleet.MarkedPolicy(0)); err == nil {
		t.Error("a proposal before there is a log was taken")
	}
	if err := p.Sidecars[0].Bootstrap(); err != nil {
		t.Fatal(err)
	}
	p.settled(0, testbed.MaxWait)
	if err := p.Sidecars[1].Bootstrap(); err == nil || !strings.Contains(err.Error(), "exists and answers") {
		t.Errorf("a second beginning: %v", err)
	}
	p.propose(1)
	p.settled(1, 5*time.Second)
	p.since, p.changes = time.Now(), 0
	return p
}

// logViews logs what each process says of the policy, if the test has failed: who leads, what is under way and what
// became of its proposals tell why something is waited for in vain.
func (p *policies) logViews() {
	if !p.Failed() {
		return
	}
	for _, s := range p.Sidecars {
		view, ok := s.Policy()
		p.Logf("%d answers %v, leader %d, mode %s, active %d, committed %d: %s",
			s.Number, ok, view.Leader, view.Mode, view.Active, view.Committed, view.Text)
	}
}

// propose proposes the next of the two policies.
func (p *policies) propose(by int) {
	p.Helper()
	p.next++
	p.proposed++
	p.changes++
	if err := p.Sidecars[by].Propose(fleet.MarkedPolicy(p.next)); err != nil {
		p.Fatalf("by %d: %v", by, err)
	}
}

// settled waits until all go by a version (-1: whichever it is), with nothing under way.
func (p *policies) settled(want int, within time.Duration) int {
	p.Helper()
	version, took, why := p.AwaitPolicy(want, testbed.MaxWait)
	if why != "" || took > within {
		p.Fatalf("version %d, %d is wanted, after %v: %s", version, want, took, why)
	}
	p.Logf("all go by version %d after %v", version, took)
	return version
}

// fate waits until the last proposal that was made by way of a sidecar has its outcome.
func (p *policies) fate(by int) {
	p.Helper()
	testbed.Until(p.T, "an outcome", func() bool {
		v, ok := p.Sidecars[by].Policy()
		i := strings.LastIndex(v.Text, "proposed here: ")
		return ok && i >= 0 && !strings.Contains(v.Text[i:], ": under way") && !strings.Contains(v.Text[i:], ": not in the log yet")
	})
}

func (p *policies) leader() int {
	for _, s := range p.Sidecars {
		if v, ok := s.Policy(); ok && v.Leader >= 0 {
			return v.Leader
		}
	}
	return 0
}

// end checks the four rules, and that no two policies were gone by at once.
func (p *policies) end(least int) {
	p.Helper()
	if p.until.IsZero() {
		p.until = time.Now()
	}
	p.stop()
	tally, broken := p.Check()
	for _, b := range broken {
		p.Error(b)
	}
	turns := p.PolicySwitches(p.since, p.until)
	if turns > p.changes {
		p.Errorf("requests turned from one upstream to the other %d times, by %d changes at most: two policies were gone by at once", turns, p.changes)
	}
	p.Logf("%+v, statuses other than 200: %v; %d proposals, %d changes at most, %d turns; the longest datagram %d bytes", tally, p.CountByStatus(), p.proposed, p.changes, turns, p.Peers.LargestDatagram.Load())
	if tally.Served < 1000 || turns < least || p.Peers.LargestDatagram.Load() > 256 {
		p.Error("it was not what it was to be")
	}
}

// A change takes hold everywhere or nowhere while one process after the other stands still, dies, is cut off or
// can't apply it. It guards against a side of three of five that has no quorum.
func TestPolicyEverywhereOrNowhere(t *testing.T) {
	t.Parallel()
	p := startPolicies(t, func(_, settings map[string]any) {
		if settings["me"] == 4 { // bears less than the others
			settings["caps"].(map[string]any)["max_open"] = 60.0
		}
	})
	p.propose(2)
	p.settled(2, 5*time.Second)

	t.Log("one stands still across a change, with requests queued")
	s := p.Sidecars[(p.leader()+1)%5]
	s.Stop()
	p.propose((s.Number + 1) % 5)
	testbed.Until(t, "it to hold without that one", func() bool {
		v, ok := p.Sidecars[(s.Number+1)%5].Policy()
		return ok && v.Committed == 3 && v.Mode == "one"
	})
	s.Continue()
	if v, ok := s.Policy(); !ok || v.Mode == "one" && v.Active != 3 {
		t.Errorf("going on, it says before anything else: %s", v.Text)
	}
	p.settled(3, 10*time.Second)

	t.Log("the leader dies in the middle")
	l := p.leader()
	p.propose((l + 1) % 5)
	p.Sidecars[l].Crash()
	time.Sleep(time.Second)
	p.Sidecars[l].Start()
	p.fate((l + 1) % 5)
	before := p.settled(-1, testbed.MaxWait)

	t.Log("cut in two before, during and behind it")
	l = p.leader()
	minority := map[int]bool{(l + 1) % 5: true, (l + 2) % 5: true}
	p.Peers.Break(fleet.Faults{Cut: func(from, to int) bool { return minority[from] != minority[to] }}, 1)
	time.Sleep(4 * time.Second)
	if err := p.Sidecars[(l+1)%5].Propose(fleet.MarkedPolicy(99)); err == nil || !strings.Contains(err.Error(), "no grant") {
		t.Errorf("a proposal of the minority: %v", err)
	}
	p.propose(l)
	testbed.Until(t, "the majority to go by it", func() bool {
		v, ok := p.Sidecars[l].Policy()
		return ok && v.Mode == "one" && v.Active > before && !v.InProgress
	})
	for i := range minority {
		if v, ok := p.Sidecars[i].Policy(); !ok || v.Mode != "cut off" {
			t.Errorf("of the minority %d goes by %s %d", i, v.Mode, v.Active)
		}
	}
	p.Peers.Break(fleet.Faults{}, 1)
	before = p.settled(-1, testbed.MaxWait)

	t.Log("one can't apply it")
	p.proposed++
	if err := p.Sidecars[0].Propose("out = [\"s-0\"]\n[limits]\nopen = 80\n"); err != nil {
		t.Fatal(err)
	}
	testbed.Until(t, "it to be called off", func() bool {
		v, ok := p.Sidecars[0].Policy()
		return ok && strings.Contains(v.Text, "called off by 4: limits.open: 80 is over")
	})
	p.settled(before, 5*time.Second)
	p.end(3)
}

// The network loses, doubles and holds messages while the policy changes; then the log itself is lost, and
// begun anew.
func TestPolicyLossAndNewBeginning(t *testing.T) {
	t.Parallel()
	p := startPolicies(t, nil)
	p.Peers.Break(fleet.Faults{Loss: 0.2, Duplicate: 0.2, Delay: 50 * time.Millisecond}, 7)
	p.next++
	p.changes++
	testbed.Until(t, "a proposal to be taken", func() bool { p.proposed++; return p.Sidecars[2].Propose(fleet.MarkedPolicy(p.next)) == nil })
	time.Sleep(2 * time.Second)
	p.Peers.Hold(3 * time.Second)
	time.Sleep(3500 * time.Millisecond)
	p.Peers.Break(fleet.Faults{}, 1)
	p.settled(-1, testbed.MaxWait)

	t.Log("four of five killed at once while a change is under way, and back with nothing")
	l := p.leader()
	p.propose(l)
	p.until = time.Now().Add(200 * time.Millisecond) // behind the new beginning the settings hold, by which requests go to both
	for i, s := range p.Sidecars {
		if i != l {
			s.Crash()
		}
	}
	for _, s := range p.Sidecars {
		s.Start()
	}
	testbed.Until(t, "all to be cut off", func() bool {
		for _, s := range p.Sidecars {
			if v, ok := s.Policy(); !ok || v.Mode != "cut off" {
				return false
			}
		}
		return true
	})
	testbed.Until(t, "a new beginning to be taken", func() bool { return p.Sidecars[(l+1)%5].Bootstrap() == nil })
	p.settled(0, testbed.MaxWait)
	p.end(1)
}

// With folders that outlive the processes a fleet that was killed whole goes by its policy again by itself. One
// whose file is damaged says so, puts it aside and votes as a new one; one that has another's file takes no
// part until it is gone.
func TestPolicyOutlivesAll(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleet.Config{Size: 3, Nodes: 3, CutOff: fleet.CutOffPolicy, State: true})
	if err := f.Sidecars[0].Bootstrap(); err != nil {
		t.Fatal(err)
	}
	if _, _, why := f.AwaitPolicy(0, testbed.MaxWait); why != "" {
		t.Fatal(why)
	}
	if err := f.Sidecars[1].Propose(fleet.MarkedPolicy(1)); err != nil {
		t.Fatal(err)
	}
	if _, _, why := f.AwaitPolicy(1, testbed.MaxWait); why != "" {
		t.Fatal(why)
	}
	for _, s := range f.Sidecars {
		s.Crash()
	}
	kept := func(number int) string {
		t.Helper()
		files, err := filepath.Glob(filepath.Join(f.StateDir(number), "*.state"))
		if err != nil || len(files) != 1 {
			t.Fatalf("kept: %v, %v", files, err)
		}
		return files[0]
	}
	file, others := kept(2), kept(1)
	if err := os.Truncate(file, 5000); err != nil {
		t.Fatal(err)
	}
	for _, s := range f.Sidecars {
		s.Start()
	}
	if _, took, why := f.AwaitPolicy(1, testbed.MaxWait); why != "" {
		t.Errorf("with a damaged file, after %v: %s", took, why)
	}
	if _, err := os.Stat(file + ".damaged"); err != nil || !strings.Contains(f.Sidecars[2].Log(), "put aside") {
		t.Errorf("the damaged file: %v", err)
	}

	f.Sidecars[2].Crash()
	raw, err := os.ReadFile(others)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	f.Sidecars[2].Start()
	testbed.Until(t, "the one with another's file to refuse it", func() bool {
		v, ok := f.Sidecars[2].Policy()
		return ok && v.Mode == "cut off" && strings.Contains(f.Sidecars[2].Log(), "takes no part")
	})
	for number, s := range f.Sidecars[:2] {
		if v, ok := s.Policy(); !ok || v.Mode != "one" || v.Active != 1 {
			t.Errorf("meanwhile sidecar %d goes by %s %d", number, v.Mode, v.Active)
		}
	}
	f.Sidecars[2].Crash()
	if err := os.Remove(file); err != nil {
		t.Fatal(err)
	}
	f.Sidecars[2].Start()
	if _, took, why := f.AwaitPolicy(1, testbed.MaxWait); why != "" {
		t.Errorf("with the file gone, after %v: %s", took, why)
	}
}
