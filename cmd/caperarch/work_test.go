package main

import (
	"bytes"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"caperarch/internal/lab/testbed"
	"caperarch/internal/lab/testbed/fleet"
)

// planText is a plan that takes out all machines, at most two at a time and one per cell.
const planText = "all = true\nin_time = 0.5\nlongest = \"1m\"\n[out]\nfleet = \"2\"\ncell = \"1\"\n"

// Five processes under load take six machines out of service, at most two at a time, while the leader crashes, the
// leader is suspended for 10 s, and datagrams are lost, delayed and duplicated. According to the records of the
// operators and the upstreams, no request reaches a machine that is being worked on, and never more machines are out
// than the plan allows.
func TestMaintenancePlan(t *testing.T) {
	t.Parallel()
	const cold, delay = 1500 * time.Millisecond, 60 * time.Millisecond
	f := startFleet(t, fleet.Config{
		Size: 5, Nodes: 6, CutOff: "[limits]\nopen = 40\n",
		Edit: func(_, settings map[string]any) {
			settings["rules"].(map[string]any)["cold_ms"] = float64(cold.Milliseconds())
		},
	})
	for _, n := range f.Nodes {
		n.Delay.Store(int64(delay))
		n.Do(testbed.Always(testbed.Slow))
	}
	stop := f.Load(150)
	if err := f.Sidecars[0].ProposeMaintenance(planText); err == nil {
		t.Error("a plan was accepted before the replicated log existed")
	}
	if err := f.Sidecars[0].Bootstrap(); err != nil {
		t.Fatal(err)
	}
	if _, _, why := f.AwaitPolicy(0, testbed.MaxWait); why != "" {
		t.Fatal(why)
	}
	for plan, want := range map[string]string{
		"all = true\n[out]\nfleet = \"10%\"\n":                              "less than one",
		"machines = [\"s-0\", \"s-99\"]\n[out]\nfleet = \"1\"\n":            "machines[1]: s-99 is not listed",
		"all = true\nlongest = \"1s\"\nbacks = \"x\"\n[out]\nfleet = \"1\"": "backs",
	} {
		if err := f.Sidecars[1].ProposeMaintenance(plan); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("plan %q: error %v, want an error with %q", plan, err, want)
		}
	}
	if err := f.Sidecars[1].MaintenanceCommand("done", 7); err == nil ||
		!strings.Contains(err.Error(), "turn 7 is over, or never was") {
		t.Errorf("done for a turn that does not exist: error %v, want a rejection", err)
	}
	leader := func() int {
		for _, s := range f.Sidecars {
			if v, ok := s.Policy(); ok && v.Leader >= 0 && f.Sidecars[v.Leader].Running() {
				return v.Leader
			}
		}
		return 0
	}
	operators := f.StartOperators(1, 300*time.Millisecond, cold)
	start := time.Now()
	testbed.Until(t, "the plan to be accepted", func() bool { return f.Sidecars[1].ProposeMaintenance(planText) == nil })
	awaitTurns := func(turns int) {
		t.Helper()
		for end := time.Now().Add(time.Minute); len(operators.Windows()) < turns &&
			!operators.Ended(); time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("turn %d did not begin within 1 min: %s", turns, operators.Status)
			}
		}
		t.Logf("%d turns after %v", turns, time.Since(start))
	}
	awaitTurns(1)
	t.Log("the leader crashes and restarts without state")
	l := leader()
	f.Sidecars[l].Crash()
	time.Sleep(500 * time.Millisecond)
	f.Sidecars[l].Start()
	awaitTurns(2)
	t.Log("the leader is suspended for 10 s and resumes with the assumption that it still leads")
	l = leader()
	f.Sidecars[l].Stop()
	time.Sleep(10 * time.Second)
	f.Sidecars[l].Continue()
	awaitTurns(3)
	t.Log("datagrams lost, delayed and duplicated; then all held back for 3 s")
	f.Peers.Break(fleet.Faults{Loss: 0.2, Duplicate: 0.2, Delay: 50 * time.Millisecond}, 3)
	awaitTurns(4)
	f.Peers.Hold(3 * time.Second)
	time.Sleep(3500 * time.Millisecond)
	f.Peers.Break(fleet.Faults{}, 1)
	for end := time.Now().Add(90 * time.Second); !operators.Ended(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the plan did not end within 90 s: %s", operators.Status)
		}
	}
	elapsed := time.Since(start)
	operators.End()
	stop()
	tally, violations := f.Check()
	found := operators.Check(2, delay, fleetLease)
	for _, b := range slices.Concat(violations, found.Bounds, found.Arrived) {
		t.Error(b)
	}
	t.Logf("six machines after %v; requests %+v, other statuses %v; %d requests at a free machine just after a fault",
		elapsed, tally, f.CountByStatus(), found.Misrouted)
	seen := make(map[string]int)
	for _, x := range operators.Windows() {
		seen[x.Node.ID]++
	}
	if len(seen) != 6 || tally.Served < 1000 {
		t.Errorf("turns per machine are %v, want all 6 machines; %d requests served, want at least 1000", seen, tally.Served)
	}
}

// The work command rejects an invalid plan or number with an error before it makes a control call.
func TestWorkCommand(t *testing.T) {
	file := filepath.Join(t.TempDir(), "plan.toml")
	for text, want := range map[string]string{
		"all = true\n[out]\nfleet = \"0\"\n":              "1 to 10000",
		"all = true\nzones = [\"a\"]\n[out]\nfleet = 1\n": "one of machines",
		"all = true\n": "out.fleet is missing",
		"all = true\nback = \"maybe\"\n[out]\nfleet = \"1\"\n":        "back",
		"machines = [\"a\", \"a\"]\n[out]\nfleet = \"1\"\n":           "stands there twice",
		"all = true\ncut_off = \"awaited\"\n[out]\nfleet = \"50%\"\n": "",
	} {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		var out, log bytes.Buffer
		code := runCommand([]string{"work", "check", file}, &out, &log)
		if want == "" && (code != 0 || !strings.Contains(out.String(), "usable")) ||
			want != "" && (code != 1 || !strings.Contains(log.String(), want)) {
			t.Errorf("plan %q: exit code %d, output %s, error output %s, want an error with %q",
				text, code, out.String(), log.String(), want)
		}
	}
	var out, log bytes.Buffer
	if code := runCommand([]string{"work", "done", "127.0.0.1:1", "x"}, &out, &log); code != 1 ||
		!strings.Contains(log.String(), "no number") {
		t.Errorf("work done with turn x: exit code %d, error output %s, want code 1 and an error", code, log.String())
	}
}
