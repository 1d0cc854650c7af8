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

const roundPlan = "all = true\nin_time = 0.5\nlongest = \"1m\"\n[out]\nfleet = \"2\"\ncell = \"1\"\n"

// Five processes under load take six machines out, two at once, while the leader is killed, then another one
// stands still for 10 s, two are cut off, and messages are lost, late and doubled. By the operators' and the
// upstreams' records nothing comes to a machine that somebody works on, nothing is out there, and never more
// are out than the plan says.
func TestWorkRound(t *testing.T) {
	t.Parallel()
	const cold, delay = 1500 * time.Millisecond, 60 * time.Millisecond
	f := startFleet(t, fleet.Config{Size: 5, Nodes: 6, CutOff: "[limits]\nopen = 40\n", Edit: func(_, settings map[string]any) {
		settings["rules"].(map[string]any)["cold_ms"] = float64(cold.Milliseconds())
	}})
	for _, n := range f.Nodes {
		n.Delay.Store(int64(delay))
		n.Do(testbed.Always(testbed.Slow))
	}
	stop := f.Load(150)
	if err := f.Sidecars[0].ProposeMaintenance(roundPlan); err == nil {
		t.Error("a plan before there is a log was taken")
	}
	if err := f.Sidecars[0].Bootstrap(); err != nil {
		t.Fatal(err)
	}
	if _, _, why := f.AwaitPolicy(0, testbed.MaxWait); why != "" {
		t.Fatal(why)
	}
	for plan, says := range map[string]string{
		"all = true\n[out]\nfleet = \"10%\"\n":                              "less than one",
		"machines = [\"s-0\", \"s-99\"]\n[out]\nfleet = \"1\"\n":            "machines[1]: s-99 is not listed",
		"all = true\nlongest = \"1s\"\nbacks = \"x\"\n[out]\nfleet = \"1\"": "backs",
	} {
		if err := f.Sidecars[1].ProposeMaintenance(plan); err == nil || !strings.Contains(err.Error(), says) {
			t.Errorf("%q: %v, want %q", plan, err, says)
		}
	}
	if err := f.Sidecars[1].MaintenanceCommand("done", 7); err == nil || !strings.Contains(err.Error(), "turn 7 is over, or never was") {
		t.Errorf("done for a turn that never was: %v", err)
	}
	leader := func() int {
		for _, s := range f.Sidecars {
			if v, ok := s.Policy(); ok && v.Leader >= 0 && f.Sidecars[v.Leader].Running() {
				return v.Leader
			}
		}
		return 0
	}
	round := f.StartOperators(1, 300*time.Millisecond, cold)
	begun := time.Now()
	testbed.Until(t, "the plan to be taken", func() bool { return f.Sidecars[1].ProposeMaintenance(roundPlan) == nil })
	awaits := func(turns int) {
		t.Helper()
		for end := time.Now().Add(time.Minute); len(round.Windows()) < turns && !round.Ended(); time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("waited in vain for turn %d: %s", turns, round.Status)
			}
		}
		t.Logf("%d turns after %v", turns, time.Since(begun))
	}
	awaits(1)
	t.Log("the leader dies, and comes back having forgotten")
	l := leader()
	f.Sidecars[l].Crash()
	time.Sleep(500 * time.Millisecond)
	f.Sidecars[l].Start()
	awaits(2)
	t.Log("the leader stands still for 10 s, and goes on thinking that it leads")
	l = leader()
	f.Sidecars[l].Stop()
	time.Sleep(10 * time.Second)
	f.Sidecars[l].Continue()
	awaits(3)
	t.Log("messages lost, late and twice; then all held for 3 s")
	f.Peers.Break(fleet.Faults{Loss: 0.2, Duplicate: 0.2, Delay: 50 * time.Millisecond}, 3)
	awaits(4)
	f.Peers.Hold(3 * time.Second)
	time.Sleep(3500 * time.Millisecond)
	f.Peers.Break(fleet.Faults{}, 1)
	for end := time.Now().Add(90 * time.Second); !round.Ended(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the plan does not end: %s", round.Status)
		}
	}
	took := time.Since(begun)
	round.End()
	stop()
	tally, broken := f.Check()
	found := round.Check(2, delay, fleetLease)
	for _, b := range slices.Concat(broken, found.Bounds, found.Arrived) {
		t.Error(b)
	}
	t.Logf("six machines after %v; %+v, statuses other than 200: %v; %d requests at a free machine by sidecars that something had just happened to", took, tally, f.CountByStatus(), found.Misrouted)
	seen := make(map[string]int)
	for _, x := range round.Windows() {
		seen[x.Node.ID]++
	}
	if len(seen) != 6 || tally.Served < 1000 {
		t.Errorf("machines that had their turn: %v; %d served", seen, tally.Served)
	}
}

// The command line says what is wrong with a plan before it calls anybody.
func TestWorkCommand(t *testing.T) {
	file := filepath.Join(t.TempDir(), "plan.toml")
	for text, says := range map[string]string{
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
		if says == "" && (code != 0 || !strings.Contains(out.String(), "usable")) || says != "" && (code != 1 || !strings.Contains(log.String(), says)) {
			t.Errorf("%q: %d %s %s, want %q", text, code, out.String(), log.String(), says)
		}
	}
	var out, log bytes.Buffer
	if code := runCommand([]string{"work", "done", "127.0.0.1:1", "x"}, &out, &log); code != 1 || !strings.Contains(log.String(), "no number") {
		t.Errorf("done x: %d %s", code, log.String())
	}
}
