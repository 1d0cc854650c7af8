package cordonstore

import (
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"caperarch/internal/lab/testbed"
	"caperarch/internal/lab/testbed/damage"
	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/durable"
	"caperarch/policy"
)

// engine is a fake Engine that records the states of the servers in each list that it gets. It applies a list
// immediately, or, if blocked, when the test calls applyBlocked.
type engine struct {
	blocked      bool
	applyBlocked func()
	states       chan policy.State
}

func (e *engine) UpdateServers(l call.ServerList) { e.ReplaceServers(l, nil) }

func (e *engine) ReplaceServers(l call.ServerList, applied func()) {
	for _, s := range l.Servers {
		e.states <- s.State
	}
	switch {
	case applied == nil:
	case e.blocked:
		e.applyBlocked = applied
	default:
		applied()
	}
}

// open returns a store with one list, which contains the ready server s-1, and the engine of the list.
func open(t *testing.T, dir string) (*Store, *engine) {
	t.Helper()
	s, e := New(dir, slog.Default()), &engine{states: make(chan policy.State, 100)}
	l := s.NewList(e)
	known := l.SetInitial(call.ServerList{
		Servers:   []policy.Server{{ID: call.ServerID("s-1"), State: policy.Ready, Weight: 1}},
		Addresses: map[policy.ServerID]string{},
	}, nil)
	e.states <- known.Servers[0].State
	return s, e
}

// want waits for a state and checks that the latest state of the server is the wanted state.
func (e *engine) want(t *testing.T, what string, want policy.State) {
	t.Helper()
	got := testbed.Wait(t, what, e.states)
	for len(e.states) > 0 {
		got = <-e.states
	}
	if got != want {
		t.Errorf("%s: state %v, want %v", what, got, want)
	}
}

// A ban applies in the other process of the sidecar and in processes that start later. One call to any of the processes
// lifts the ban.
func TestProcessesShareBans(t *testing.T) {
	dir := t.TempDir()
	a, ea := open(t, dir)
	b, eb := open(t, dir)
	ea.want(t, "initial list of process a", policy.Ready)
	eb.want(t, "initial list of process b", policy.Ready)
	for range 2 {
		if err := a.Cordon("s-1"); err != nil {
			t.Fatal(err)
		}
		ea.want(t, "process a after Cordon", policy.Draining)
	}
	b.reload()
	eb.want(t, "process b after reload", policy.Draining)
	_, ec := open(t, dir)
	ec.want(t, "process c, started after the ban", policy.Draining)
	if err := b.Uncordon("s-1"); err != nil {
		t.Fatal(err)
	}
	eb.want(t, "process b after Uncordon", policy.Ready)
	a.reload()
	ea.want(t, "process a after the second reload", policy.Ready)
	if err := b.Uncordon("s-1"); err != nil {
		t.Errorf("repeated Uncordon returned error %v, want nil", err)
	}
	if err := b.Cordon("s-2"); !errors.Is(err, ErrNeverListed) {
		t.Errorf("Cordon of an id that was never listed returned error %v, want ErrNeverListed", err)
	}
	if err := b.Cordon("s 1"); err == nil {
		t.Error("Cordon accepted an id with a space")
	}
}

// Without a directory, or with a directory that does not exist, a ban applies in this process.
func TestBanAppliesWithoutDirectory(t *testing.T) {
	for _, dir := range []string{"", filepath.Join(t.TempDir(), "none")} {
		s, e := open(t, dir)
		e.want(t, "initial list", policy.Ready)
		if err := s.Cordon("s-1"); err != nil {
			t.Errorf("directory %q: Cordon returned error %v, want nil", dir, err)
		}
		e.want(t, "list after Cordon", policy.Draining)
		s.reload()
		if len(e.states) > 0 {
			t.Errorf("directory %q: reload changed the list, want the ban to stay", dir)
		}
	}
}

// A file that is truncated, random, empty, changed in one byte or of another version is quarantined, and the bans that
// the process has applied stay in force.
func TestCorruptFileIsQuarantined(t *testing.T) {
	dir := t.TempDir()
	s, _ := open(t, dir)
	if err := s.Cordon("s-1"); err != nil {
		t.Fatal(err)
	}
	whole, err := os.ReadFile(s.file.path())
	if err != nil {
		t.Fatal(err)
	}
	changed := append([]byte(nil), whole...)
	changed[len(`{"form":1,"bans":["s-`)] = '2'
	for name, raw := range map[string][]byte{
		"half": whole[:len(whole)/2], "noise": {0, 1, 2}, "empty": {}, "changed": changed, "form": []byte(`{"form":9}`),
	} {
		if err := os.WriteFile(s.file.path(), raw, 0o600); err != nil {
			t.Fatal(err)
		}
		s.reload()
		if len(s.banned) != 1 {
			t.Errorf("%s file: bans are %v after reload, want the 1 ban from before", name, s.banned)
		}
		if _, err := os.Stat(s.file.path() + ".damaged"); err != nil {
			t.Errorf("%s file: not quarantined: %v", name, err)
		}
		if later, _ := open(t, dir); len(later.banned) != 0 {
			t.Errorf("%s file: a store opened after the quarantine has bans %v, want none", name, later.banned)
		}
	}
	if err := s.Cordon("s-1"); err != nil { // writes a new file
		t.Fatal(err)
	}
	if later, _ := open(t, dir); len(later.banned) != 1 {
		t.Errorf("a store opened after the next Cordon has bans %v, want 1 ban", later.banned)
	}
}

// Reading a damaged file returns an error or the bans that were written, never other bans.
func TestDamageIsDetected(t *testing.T) {
	f := file{t.TempDir()}
	if err := f.write([]string{"s-1", "s-22", "s-333"}); err != nil {
		t.Fatal(err)
	}
	whole, err := os.ReadFile(f.path())
	if err != nil {
		t.Fatal(err)
	}
	source := damage.NewSource(t, 16)
	for range damage.Rounds(2_000) {
		raw, how := source.Of(whole)
		if err := os.WriteFile(f.path(), raw, 0o600); err != nil {
			t.Fatal(err)
		}
		if got, err := f.read(); err == nil && !slices.Equal(got, []string{"s-1", "s-22", "s-333"}) {
			t.Errorf("damage %s: read bans %q without an error, want an error or the written bans", how, got)
		}
	}
	if err := os.WriteFile(f.path(), make([]byte, maxFileBytes+1), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := f.read(); !errors.Is(err, durable.ErrCorrupt) {
		t.Errorf("file over the maximum length: error %v, want durable.ErrCorrupt", err)
	}
}

// If an engine does not apply a ban, Cordon returns errTimeout after applyTimeout instead of reporting success.
func TestCordonTimesOutIfEngineDoesNotApplyBan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, e := open(t, "")
		e.blocked = true
		start := time.Now()
		if err := s.Cordon("s-1"); !errors.Is(err, errTimeout) || time.Since(start) != applyTimeout {
			t.Errorf("Cordon returned error %v after %v", err, time.Since(start))
		}
		e.applyBlocked()
	})
}

// The time that the file write takes counts against the timeout. Here the write waits for the file lock, which another
// process holds.
func TestWritingTheFileCountsAgainstTheTimeout(t *testing.T) {
	const held = 600 * time.Millisecond
	s, e := open(t, t.TempDir())
	e.blocked = true
	lock, err := os.Create(filepath.Join(s.file.dir, lockName))
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX); err != nil {
		t.Fatal(err)
	}
	unlock := time.AfterFunc(held, func() { lock.Close() })
	defer unlock.Stop()
	start := time.Now()
	if err := s.Cordon("s-1"); !errors.Is(err, errTimeout) || time.Since(start) >= held+applyTimeout {
		t.Errorf("Cordon returned error %v after %v", err, time.Since(start))
	}
}
