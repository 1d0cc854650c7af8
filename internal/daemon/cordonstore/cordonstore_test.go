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

// engine takes lists up at once and remembers the last state of the one server; a deaf one does so when it is let.
type engine struct {
	deaf bool
	late func()
	last chan policy.State
}

func (e *engine) UpdateServers(l call.ServerList) { e.ReplaceServers(l, nil) }

func (e *engine) ReplaceServers(l call.ServerList, taken func()) {
	for _, s := range l.Servers {
		e.last <- s.State
	}
	switch {
	case taken == nil:
	case e.deaf:
		e.late = taken
	default:
		taken()
	}
}

func open(t *testing.T, dir string) (*Store, *engine) {
	t.Helper()
	s, e := New(dir, slog.Default()), &engine{last: make(chan policy.State, 100)}
	l := s.NewList(e)
	known := l.SetInitial(call.ServerList{
		Servers:   []policy.Server{{ID: call.ServerID("s-1"), State: policy.Ready, Weight: 1}},
		Addresses: map[policy.ServerID]string{},
	}, nil)
	e.last <- known.Servers[0].State
	return s, e
}

func (e *engine) want(t *testing.T, what string, want policy.State) {
	t.Helper()
	got := testbed.Wait(t, what, e.last)
	for len(e.last) > 0 {
		got = <-e.last
	}
	if got != want {
		t.Errorf("%s: state %v, want %v", what, got, want)
	}
}

// A ban is seen by the other process of a sidecar, by those that start later, and lifted by one call to either.
func TestProcessesShareBans(t *testing.T) {
	dir := t.TempDir()
	a, ea := open(t, dir)
	b, eb := open(t, dir)
	ea.want(t, "start", policy.Ready)
	eb.want(t, "start", policy.Ready)
	for range 2 {
		if err := a.Cordon("s-1"); err != nil {
			t.Fatal(err)
		}
		ea.want(t, "told", policy.Draining)
	}
	b.reload()
	eb.want(t, "looked", policy.Draining)
	_, ec := open(t, dir)
	ec.want(t, "started later", policy.Draining)
	if err := b.Uncordon("s-1"); err != nil {
		t.Fatal(err)
	}
	eb.want(t, "told of the end", policy.Ready)
	a.reload()
	ea.want(t, "looked at the end", policy.Ready)
	if err := b.Uncordon("s-1"); err != nil {
		t.Errorf("a second call back: %v", err)
	}
	if err := b.Cordon("s-2"); !errors.Is(err, ErrNeverListed) {
		t.Errorf("an id never listed: %v", err)
	}
	if err := b.Cordon("s 1"); err == nil {
		t.Error("an id with a space was taken")
	}
}

// Without a folder, or with one that can't be written, a ban holds in this process.
func TestBanHoldsInThisProcessWithoutAFolder(t *testing.T) {
	for _, dir := range []string{"", filepath.Join(t.TempDir(), "none")} {
		s, e := open(t, dir)
		e.want(t, "start", policy.Ready)
		if err := s.Cordon("s-1"); err != nil {
			t.Errorf("%q: %v", dir, err)
		}
		e.want(t, "banned", policy.Draining)
		s.reload()
		if len(e.last) > 0 {
			t.Errorf("%q: the ban was lost at the next look", dir)
		}
	}
}

// Half a file, noise, another form and a changed byte are put aside, and what is known holds.
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
			t.Errorf("%s: bans %v", name, s.banned)
		}
		if _, err := os.Stat(s.file.path() + ".damaged"); err != nil {
			t.Errorf("%s: not put aside: %v", name, err)
		}
		if later, _ := open(t, dir); len(later.banned) != 0 {
			t.Errorf("%s: a later start has %v", name, later.banned)
		}
	}
	if err := s.Cordon("s-1"); err != nil { // written anew
		t.Fatal(err)
	}
	if later, _ := open(t, dir); len(later.banned) != 1 {
		t.Errorf("after a further call: %v", later.banned)
	}
}

// No damage passes for another list; the file is put aside or its list is the one that was written.
func TestDamageIsSeen(t *testing.T) {
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
			t.Errorf("%s: %q", how, got)
		}
	}
	if err := os.WriteFile(f.path(), make([]byte, maxFileBytes+1), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := f.read(); !errors.Is(err, durable.ErrCorrupt) {
		t.Errorf("too long: %v", err)
	}
}

// An engine that does not take a ban up gets its caller a no in time, not a yes that is not true.
func TestCordonTimesOutIfAnEngineDoesNotApplyIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, e := open(t, "")
		e.deaf = true
		begun := time.Now()
		if err := s.Cordon("s-1"); !errors.Is(err, errTimeout) || time.Since(begun) != applyTimeout {
			t.Errorf("%v after %v", err, time.Since(begun))
		}
		e.late()
	})
}

// What the file's writing takes counts too: here another process has its lock for a while.
func TestWritingTheFileCountsAgainstTheTimeout(t *testing.T) {
	const held = 600 * time.Millisecond
	s, e := open(t, t.TempDir())
	e.deaf = true
	lock, err := os.Create(filepath.Join(s.file.dir, lockName))
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX); err != nil {
		t.Fatal(err)
	}
	let := time.AfterFunc(held, func() { lock.Close() })
	defer let.Stop()
	begun := time.Now()
	if err := s.Cordon("s-1"); !errors.Is(err, errTimeout) || time.Since(begun) >= held+applyTimeout {
		t.Errorf("%v after %v", err, time.Since(begun))
	}
}
