package policyrollout

import (
	"testing"
	"time"
)

const (
	lease    = 3 * time.Second
	confirm  = 2 * time.Second
	patience = lease + 100*time.Millisecond
)

func ref(version uint32) Ref { return Ref{Version: version, Hash: [32]byte{byte(version)}} }

func entry(t *testing.T, s Step) []byte {
	t.Helper()
	raw, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// By what a sidecar goes, as grants, entries and texts come and go.
func TestHolder(t *testing.T) {
	const begin = time.Hour
	here := map[uint32]bool{0: true}
	h := NewHolder(lease, func(r Ref) string {
		if here[r.Version] {
			return ""
		}
		return Waiting
	})
	want := func(now time.Duration, n Now, why string) {
		t.Helper()
		if got := h.Now(now); got != n {
			t.Errorf("%s: %+v, want %+v", why, got, n)
		}
	}
	now := begin
	want(now, Now{}, "a process that has just begun")
	h.Grant(now, now-2*time.Second, 0)
	want(now, Now{Mode: One}, "granted")
	want(now+999*time.Millisecond, Now{Mode: One}, "a grant counts from when it was asked for")
	want(now+time.Second, Now{}, "a lease behind that")
	h.Grant(now, now-lease, 0)
	want(now, Now{Mode: One}, "still the first one")
	h.Grant(now+time.Second, now+2*time.Second, 0)
	want(now+time.Second, Now{}, "an answer to what was not asked yet")

	now += time.Minute
	h.Grant(now, now, 3)
	want(now, Now{}, "the log is not here up to where it has to be")
	if _, err := h.Entry(2, entry(t, Step{Kind: Begun})); err != nil {
		t.Fatal(err)
	}
	want(now, Now{}, "nor is it yet")
	if _, err := h.Entry(3, entry(t, Step{Kind: Proposed, Ref: ref(1), By: 2})); err != nil {
		t.Fatal(err)
	}
	want(now, Now{Mode: One}, "its text is not here")
	if r := h.Report(now); r.Now != (Now{Mode: One}) || r.Cannot != "" || r.Have != 3 {
		t.Errorf("%+v", r)
	}
	here[1] = true
	want(now, Now{Both, Ref{}, ref(1)}, "a change is under way")
	here[1] = false
	want(now, Now{Mode: One}, "its text is gone again, and nobody was told that it goes by both")
	here[1] = true
	if r := h.Report(now); r.Now.Mode != Both {
		t.Errorf("%+v", r)
	}
	here[1] = false
	want(now, Now{}, "its text is gone, but it was told that it goes by both")
	here[1] = true
	if _, err := h.Entry(4, entry(t, Step{Kind: Taken, Ref: ref(1), By: 2})); err != nil {
		t.Fatal(err)
	}
	want(now, Now{Mode: One, New: ref(1)}, "it was taken")
	here[1] = false
	want(now, Now{}, "the text of what holds is gone")
	here[1] = true
	if _, err := h.Entry(5, []byte{0xff}); err == nil {
		t.Error("an entry that can't be read was passed over")
	}
	want(now, Now{}, "it can't know what holds")
	if r := h.Report(now); r.Cannot == "" {
		t.Errorf("%+v", r)
	}
	h.Forget()
	h.Grant(now, now, 0)
	want(now, Now{Mode: One}, "another log")
}

func TestState(t *testing.T) {
	var s State
	for i, c := range []struct {
		step Step
		ok   bool
	}{
		{Step{Kind: Proposed, Ref: ref(1), By: 1}, false}, {Step{Kind: Begun}, true}, {Step{Kind: Begun}, false},
		{Step{Kind: Proposed, Ref: ref(2), By: 1}, false}, {Step{Kind: Proposed, Ref: ref(1), Base: 1, By: 1}, false}, {Step{Kind: Taken, Ref: ref(1)}, false},
		{Step{Kind: Proposed, Ref: ref(1), By: 1}, true}, {Step{Kind: Proposed, Ref: ref(2), By: 1}, false}, {Step{Kind: Taken, Ref: ref(2)}, false}, {Step{Kind: Settled, Ref: ref(1)}, false},
		{Step{Kind: Taken, Ref: ref(1)}, true}, {Step{Kind: CalledOff, Ref: ref(1)}, false}, {Step{Kind: Proposed, Ref: ref(2), Base: 1, By: 1}, false}, {Step{Kind: Settled, Ref: ref(1)}, true},
		{Step{Kind: Proposed, Ref: ref(2), Base: 0, By: 1}, false}, {Step{Kind: Proposed, Ref: ref(2), Base: 1, By: 1}, true}, {Step{Kind: CalledOff, Ref: ref(2), Why: "no such tenant"}, true},
		{Step{Kind: Taken, Ref: ref(2)}, false}, {Step{Kind: Settled, Ref: ref(2)}, true}, {Step{Kind: Proposed, Ref: ref(3), Base: 1, By: 1}, true},
	} {
		if refused := s.Apply(uint64(i+1), c.step); (refused == "") != c.ok {
			t.Errorf("%d: %v %d: refused %q", i, c.step.Kind, c.step.Version, refused)
		}
	}
	if s.Holds != ref(1) || s.Pending != ref(3) || len(s.History) != 2 || s.History[1].Outcome != CalledOff || s.History[1].Why != "no such tenant" {
		t.Errorf("%+v", s)
	}
}

// A change settles by what sidecars report of behind its outcome: what they went by before it looks the same where it was called off.
func TestSettlesByLaterReports(t *testing.T) {
	now := time.Hour
	l := NewLeader(now, 3, patience, confirm)
	s := &State{Begun: true, Last: 1, Open: 1, OpenAt: 7}
	settles := func(have ...uint64) bool {
		for i, h := range have {
			if !l.Heard(now, now, i, Report{Life: 1, Turn: uint32(h), Have: h, Now: Now{Mode: One}}, s) {
				t.Fatal("no grant")
			}
		}
		step, ok := l.Decide(now, s, 0)
		return ok && step.Kind == Settled && step.Version == 1
	}
	if settles(7, 7, 6) {
		t.Error("it settles by a report of before the outcome")
	}
	if !settles(8, 9, 7) {
		t.Error("it does not settle")
	}
}

// A report that was overtaken on the way changes nothing, nor does one of a process that is over.
func TestOvertaken(t *testing.T) {
	now := time.Hour
	l := NewLeader(now, 3, patience, confirm)
	s := &State{Begun: true, Pending: ref(1)}
	both, one := Now{Both, Ref{}, ref(1)}, Now{Mode: One}
	for _, c := range []struct {
		r  Report
		ok bool
	}{
		{Report{Life: 5, Turn: 2, Now: both}, true}, {Report{Life: 5, Turn: 1, Now: one}, false}, {Report{Life: 5, Turn: 2, Now: both}, false}, {Report{Life: 4, Turn: 9, Now: both}, false},
		{Report{Life: 6, Turn: 1, Now: one}, false}, {Report{Life: 6, Turn: 2, Now: both}, true},
	} {
		if ok := l.Heard(now, now, 1, c.r, s); ok != c.ok {
			t.Errorf("%+v: granted %v", c.r, ok)
		}
	}
	if late := l.Behind(now, s); len(late) != 2 || late[0].Number != 0 || late[1].Number != 2 {
		t.Errorf("behind: %v", late)
	}
}

// A log that has just begun grants nobody anything and takes no change, until no grant of another log can count any more.
func TestBegins(t *testing.T) {
	now := time.Hour
	l := NewLeader(now, 1, patience, confirm)
	var s State
	if l.Heard(now, now, 0, Report{Life: 1, Turn: 1, Now: Now{Mode: One}}, &s) {
		t.Error("a grant")
	}
	if _, due := l.Decide(now+patience+confirm*5/4-1, &s, 0); due {
		t.Error("begun too early")
	}
	if step, due := l.Decide(now+patience+confirm*5/4, &s, 0); !due || step.Kind != Begun {
		t.Errorf("%+v", step)
	}
}
