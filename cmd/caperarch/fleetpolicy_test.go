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

// policyFleet is a fleet of five processes under load whose policy the test changes between two alternating policies.
// The upstreams show which policy admitted a request: one policy bans the first upstream, the other policy bans the
// second.
type policyFleet struct {
	*testing.T
	*fleet.Fleet
	stop           func()
	next, proposed int       // number of the last proposed policy; number of proposals
	maxChanges     int       // maximum number of changes that have taken effect
	since, until   time.Time // interval in which finish counts policy switches
}

// startPolicies starts a fleet whose processes all apply the first policy.
func startPolicies(t *testing.T, edit func(file, settings map[string]any)) *policyFleet {
	t.Helper()
	p := &policyFleet{T: t, Fleet: startFleet(t, fleet.Config{Size: 5, Nodes: 4, CutOff: fleet.CutOffPolicy, Edit: edit})}
	t.Cleanup(p.logViews)
	p.stop = p.Load(150)
	if err := p.Sidecars[3].Propose(fleet.MarkedPolicy(0)); err == nil {
		t.Error("a proposal was accepted before the replicated log existed")
	}
	if err := p.Sidecars[0].Bootstrap(); err != nil {
		t.Fatal(err)
	}
	p.awaitVersion(0, testbed.MaxWait)
	if err := p.Sidecars[1].Bootstrap(); err == nil || !strings.Contains(err.Error(), "exists and answers") {
		t.Errorf("second bootstrap of the replicated log: error %v, want a rejection", err)
	}
	p.propose(1)
	p.awaitVersion(1, 5*time.Second)
	p.since, p.maxChanges = time.Now(), 0
	return p
}

// logViews logs the policy view of each process if the test has failed. The leader, the change in progress and the
// outcomes of the proposals show why a wait timed out.
func (p *policyFleet) logViews() {
	if !p.Failed() {
		return
	}
	for _, s := range p.Sidecars {
		view, ok := s.Policy()
		p.Logf("process %d: reachable %v, leader %d, mode %s, active version %d, committed version %d: %s",
			s.Number, ok, view.Leader, view.Mode, view.Active, view.Committed, view.Text)
	}
}

// propose proposes the next policy at the process with number by.
func (p *policyFleet) propose(by int) {
	p.Helper()
	p.next++
	p.proposed++
	p.maxChanges++
	if err := p.Sidecars[by].Propose(fleet.MarkedPolicy(p.next)); err != nil {
		p.Fatalf("proposal at process %d was rejected: %v", by, err)
	}
}

// awaitVersion waits until all processes apply the same version and no change is in progress, and returns the version.
// It fails if the version is not want (-1: any version), or if the wait took longer than within.
func (p *policyFleet) awaitVersion(want int, within time.Duration) int {
	p.Helper()
	version, elapsed, problem := p.AwaitPolicy(want, testbed.MaxWait)
	if problem != "" || elapsed > within {
		p.Fatalf("version is %d, want %d, after %v: %s", version, want, elapsed, problem)
	}
	p.Logf("all processes apply version %d after %v", version, elapsed)
	return version
}

// awaitProposal waits until the last proposal that was made at a process has an outcome.
func (p *policyFleet) awaitProposal(by int) {
	p.Helper()
	testbed.Until(p.T, "an outcome of the proposal", func() bool {
		v, ok := p.Sidecars[by].Policy()
		i := strings.LastIndex(v.Text, "proposed here: ")
		return ok && i >= 0 && !strings.Contains(v.Text[i:], ": under way") &&
			!strings.Contains(v.Text[i:], ": not in the log yet")
	})
}

// leader returns the number of the leader, or 0 if no process knows a leader.
func (p *policyFleet) leader() int {
	for _, s := range p.Sidecars {
		if v, ok := s.Policy(); ok && v.Leader >= 0 {
			return v.Leader
		}
	}
	return 0
}

// finish stops the load and checks the rules of request handling (see fleet.Fleet.Check), and that no two policies were
// applied at the same time. It fails if the upstreams saw fewer than minSwitches switches of the policy.
func (p *policyFleet) finish(minSwitches int) {
	p.Helper()
	if p.until.IsZero() {
		p.until = time.Now()
	}
	p.stop()
	tally, violations := p.Check()
	for _, b := range violations {
		p.Error(b)
	}
	switches := p.PolicySwitches(p.since, p.until)
	if switches > p.maxChanges {
		p.Errorf("requests switched between the upstreams %d times with at most %d changes: two policies applied at once",
			switches, p.maxChanges)
	}
	p.Logf("requests %+v, other statuses %v; %d proposals, at most %d changes, %d switches; longest datagram %d bytes",
		tally, p.CountByStatus(), p.proposed, p.maxChanges, switches, p.Peers.LargestDatagram.Load())
	if tally.Served < 1000 || switches < minSwitches || p.Peers.LargestDatagram.Load() > 256 {
		p.Error("fewer than 1000 requests served, too few policy switches, or a datagram over 256 bytes")
	}
}

// A policy change takes effect in all processes or in none while a process is suspended, crashes, is partitioned or
// can't apply the change. The test also guards against a majority of three of five processes that has no quorum.
func TestPolicyChangeIsAtomic(t *testing.T) {
	t.Parallel()
	p := startPolicies(t, func(_, settings map[string]any) {
		if settings["me"] == 4 { // process 4 accepts fewer open requests than the others
			settings["caps"].(map[string]any)["max_open"] = 60.0
		}
	})
	p.propose(2)
	p.awaitVersion(2, 5*time.Second)

	t.Log("a process is suspended during a change, with requests queued")
	s := p.Sidecars[(p.leader()+1)%5]
	s.Stop()
	p.propose((s.Number + 1) % 5)
	testbed.Until(t, "the other processes to apply the change", func() bool {
		v, ok := p.Sidecars[(s.Number+1)%5].Policy()
		return ok && v.Committed == 3 && v.Mode == "one"
	})
	s.Continue()
	if v, ok := s.Policy(); !ok || v.Mode == "one" && v.Active != 3 {
		t.Errorf("first view of the resumed process shows an old policy in force: %s", v.Text)
	}
	p.awaitVersion(3, 10*time.Second)

	t.Log("the leader crashes during a change")
	l := p.leader()
	p.propose((l + 1) % 5)
	p.Sidecars[l].Crash()
	time.Sleep(time.Second)
	p.Sidecars[l].Start()
	p.awaitProposal((l + 1) % 5)
	before := p.awaitVersion(-1, testbed.MaxWait)

	t.Log("the network is partitioned before, during and after a change")
	l = p.leader()
	minority := map[int]bool{(l + 1) % 5: true, (l + 2) % 5: true}
	p.Peers.Break(fleet.Faults{Cut: func(from, to int) bool { return minority[from] != minority[to] }}, 1)
	time.Sleep(4 * time.Second)
	if err := p.Sidecars[(l+1)%5].Propose(fleet.MarkedPolicy(99)); err == nil ||
		!strings.Contains(err.Error(), "no grant") {
		t.Errorf("proposal at the minority: error %v, want a rejection because of the missing grant", err)
	}
	p.propose(l)
	testbed.Until(t, "the majority to apply the change", func() bool {
		v, ok := p.Sidecars[l].Policy()
		return ok && v.Mode == "one" && v.Active > before && !v.InProgress
	})
	for i := range minority {
		if v, ok := p.Sidecars[i].Policy(); !ok || v.Mode != "cut off" {
			t.Errorf("process %d of the minority is in mode %s with version %d, want mode cut off", i, v.Mode, v.Active)
		}
	}
	p.Peers.Break(fleet.Faults{}, 1)
	before = p.awaitVersion(-1, testbed.MaxWait)

	t.Log("a process can't apply the change")
	p.proposed++
	if err := p.Sidecars[0].Propose("out = [\"s-0\"]\n[limits]\nopen = 80\n"); err != nil {
		t.Fatal(err)
	}
	testbed.Until(t, "the change to be aborted", func() bool {
		v, ok := p.Sidecars[0].Policy()
		return ok && strings.Contains(v.Text, "called off by 4: limits.open: 80 is over")
	})
	p.awaitVersion(before, 5*time.Second)
	p.finish(3)
}

// The policy changes while datagrams are lost, duplicated and delayed. Then the replicated log is lost, and the fleet
// recovers by a new bootstrap.
func TestPolicyLossAndBootstrap(t *testing.T) {
	t.Parallel()
	p := startPolicies(t, nil)
	p.Peers.Break(fleet.Faults{Loss: 0.2, Duplicate: 0.2, Delay: 50 * time.Millisecond}, 7)
	p.next++
	p.maxChanges++
	testbed.Until(t, "a proposal to be accepted", func() bool {
		p.proposed++
		return p.Sidecars[2].Propose(fleet.MarkedPolicy(p.next)) == nil
	})
	time.Sleep(2 * time.Second)
	p.Peers.Hold(3 * time.Second)
	time.Sleep(3500 * time.Millisecond)
	p.Peers.Break(fleet.Faults{}, 1)
	p.awaitVersion(-1, testbed.MaxWait)

	t.Log("four of five processes crash during a change and restart without state")
	l := p.leader()
	p.propose(l)
	// After the new bootstrap the settings apply, with which requests go to both upstreams, so switches are no longer
	// counted.
	p.until = time.Now().Add(200 * time.Millisecond)
	for i, s := range p.Sidecars {
		if i != l {
			s.Crash()
		}
	}
	for _, s := range p.Sidecars {
		s.Start()
	}
	testbed.Until(t, "all processes to be cut off", func() bool {
		for _, s := range p.Sidecars {
			if v, ok := s.Policy(); !ok || v.Mode != "cut off" {
				return false
			}
		}
		return true
	})
	testbed.Until(t, "a new bootstrap to be accepted", func() bool { return p.Sidecars[(l+1)%5].Bootstrap() == nil })
	p.awaitVersion(0, testbed.MaxWait)
	p.finish(1)
}

// With state directories, a fleet whose processes were all killed applies its policy again without an operator. A
// process whose state file is damaged logs the damage, quarantines the file and votes as a new voter. A process that
// has the state file of another process takes no part until the file is removed.
func TestPolicyOutlivesAllProcesses(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleet.Config{Size: 3, Nodes: 3, CutOff: fleet.CutOffPolicy, State: true})
	if err := f.Sidecars[0].Bootstrap(); err != nil {
		t.Fatal(err)
	}
	if _, _, problem := f.AwaitPolicy(0, testbed.MaxWait); problem != "" {
		t.Fatal(problem)
	}
	if err := f.Sidecars[1].Propose(fleet.MarkedPolicy(1)); err != nil {
		t.Fatal(err)
	}
	if _, _, problem := f.AwaitPolicy(1, testbed.MaxWait); problem != "" {
		t.Fatal(problem)
	}
	for _, s := range f.Sidecars {
		s.Crash()
	}
	stateFile := func(number int) string {
		t.Helper()
		files, err := filepath.Glob(filepath.Join(f.StateDir(number), "*.state"))
		if err != nil || len(files) != 1 {
			t.Fatalf("state files of the process are %v, error %v, want one file", files, err)
		}
		return files[0]
	}
	file, otherFile := stateFile(2), stateFile(1)
	if err := os.Truncate(file, 5000); err != nil {
		t.Fatal(err)
	}
	for _, s := range f.Sidecars {
		s.Start()
	}
	if _, elapsed, problem := f.AwaitPolicy(1, testbed.MaxWait); problem != "" {
		t.Errorf("with a damaged state file, after %v: %s", elapsed, problem)
	}
	if _, err := os.Stat(file + ".damaged"); err != nil || !strings.Contains(f.Sidecars[2].Log(), "put aside") {
		t.Errorf("the damaged state file was not quarantined or not logged: %v", err)
	}

	f.Sidecars[2].Crash()
	raw, err := os.ReadFile(otherFile)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	f.Sidecars[2].Start()
	testbed.Until(t, "the process with the wrong state file to reject the file", func() bool {
		v, ok := f.Sidecars[2].Policy()
		return ok && v.Mode == "cut off" && strings.Contains(f.Sidecars[2].Log(), "takes no part")
	})
	for number, s := range f.Sidecars[:2] {
		if v, ok := s.Policy(); !ok || v.Mode != "one" || v.Active != 1 {
			t.Errorf("meanwhile process %d is in mode %s with version %d, want mode one with version 1",
				number, v.Mode, v.Active)
		}
	}
	f.Sidecars[2].Crash()
	if err := os.Remove(file); err != nil {
		t.Fatal(err)
	}
	f.Sidecars[2].Start()
	if _, elapsed, problem := f.AwaitPolicy(1, testbed.MaxWait); problem != "" {
		t.Errorf("with the wrong state file removed, after %v: %s", elapsed, problem)
	}
}
