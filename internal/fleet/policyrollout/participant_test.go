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
	h := NewParticipant(lease, func(r Ref) string {
		if here[r.Version] {
			return ""
		}
		return TextMissing
	})
	want := func(now time.Duration, n Active, why string) {
		t.Helper()
		if got := h.Active(now); got != n {
			t.Errorf("%s: %+v, want %+v", why, got, n)
		}
	}
	now := begin
	want(now, Active{}, "a process that has just begun")
	h.RecordGrant(now, now-2*time.Second, 0)
	want(now, Active{Mode: OneVersion}, "granted")
	want(now+999*time.Millisecond, Active{Mode: OneVersion}, "a grant counts from when it was asked for")
	want(now+time.Second, Active{}, "a lease behind that")
	h.RecordGrant(now, now-lease, 0)
	want(now, Active{Mode: OneVersion}, "still the first one")
	h.RecordGrant(now+time.Second, now+2*time.Second, 0)
	want(now+time.Second, Active{}, "an answer to what was not asked yet")

	now += time.Minute
	h.RecordGrant(now, now, 3)
	want(now, Active{}, "the log is not here up to where it has to be")
	if _, err := h.ApplyEntry(2, entry(t, Step{Kind: Started})); err != nil {
		t.Fatal(err)
	}
	want(now, Active{}, "nor is it yet")
	if _, err := h.ApplyEntry(3, entry(t, Step{Kind: Proposed, Ref: ref(1), Sidecar: 2})); err != nil {
		t.Fatal(err)
	}
	want(now, Active{Mode: OneVersion}, "its text is not here")
	if r := h.NextReport(now); r.Active != (Active{Mode: OneVersion}) || r.Rejection != "" || r.LastIndex != 3 {
		t.Errorf("%+v", r)
	}
	here[1] = true
	want(now, Active{BothVersions, Ref{}, ref(1)}, "a change is under way")
	here[1] = false
	want(now, Active{Mode: OneVersion}, "its text is gone again, and nobody was told that it goes by both")
	here[1] = true
	if r := h.NextReport(now); r.Active.Mode != BothVersions {
		t.Errorf("%+v", r)
	}
	here[1] = false
	want(now, Active{}, "its text is gone, but it was told that it goes by both")
	here[1] = true
	if _, err := h.ApplyEntry(4, entry(t, Step{Kind: Committed, Ref: ref(1), Sidecar: 2})); err != nil {
		t.Fatal(err)
	}
	want(now, Active{Mode: OneVersion, New: ref(1)}, "it was taken")
	here[1] = false
	want(now, Active{}, "the text of what holds is gone")
	here[1] = true
	if _, err := h.ApplyEntry(5, []byte{0xff}); err == nil {
		t.Error("an entry that can't be read was passed over")
	}
	want(now, Active{}, "it can't know what holds")
	if r := h.NextReport(now); r.Rejection == "" {
		t.Errorf("%+v", r)
	}
	h.Reset()
	h.RecordGrant(now, now, 0)
	want(now, Active{Mode: OneVersion}, "another log")
}

func TestState(t *testing.T) {
	var s State
	for i, c := range []struct {
		step Step
		ok   bool
	}{
		{Step{Kind: Proposed, Ref: ref(1), Sidecar: 1}, false}, {Step{Kind: Started}, true}, {Step{Kind: Started}, false},
		{Step{Kind: Proposed, Ref: ref(2), Sidecar: 1}, false},
		{Step{Kind: Proposed, Ref: ref(1), Base: 1, Sidecar: 1}, false},
		{Step{Kind: Committed, Ref: ref(1)}, false},
		{Step{Kind: Proposed, Ref: ref(1), Sidecar: 1}, true},
		{Step{Kind: Proposed, Ref: ref(2), Sidecar: 1}, false},
		{Step{Kind: Committed, Ref: ref(2)}, false},
		{Step{Kind: Completed, Ref: ref(1)}, false},
		{Step{Kind: Committed, Ref: ref(1)}, true},
		{Step{Kind: Aborted, Ref: ref(1)}, false},
		{Step{Kind: Proposed, Ref: ref(2), Base: 1, Sidecar: 1}, false},
		{Step{Kind: Completed, Ref: ref(1)}, true},
		{Step{Kind: Proposed, Ref: ref(2), Base: 0, Sidecar: 1}, false},
		{Step{Kind: Proposed, Ref: ref(2), Base: 1, Sidecar: 1}, true},
		{Step{Kind: Aborted, Ref: ref(2), Reason: "no such tenant"}, true},
		{Step{Kind: Committed, Ref: ref(2)}, false},
		{Step{Kind: Completed, Ref: ref(2)}, true},
		{Step{Kind: Proposed, Ref: ref(3), Base: 1, Sidecar: 1}, true},
	} {
		if refused := s.Apply(uint64(i+1), c.step); (refused == "") != c.ok {
			t.Errorf("%d: %v %d: refused %q", i, c.step.Kind, c.step.Version, refused)
		}
	}
	if s.Current != ref(1) || s.Pending != ref(3) || len(s.History) != 2 ||
		s.History[1].Outcome != Aborted || s.History[1].Reason != "no such tenant" {
		t.Errorf("%+v", s)
	}
}

// A change settles by what sidecars report of behind its outcome: what they went by before it looks
// the same where it was called off.
func TestSettlesByLaterReports(t *testing.T) {
	now := time.Hour
	l := NewLeader(now, 3, patience, confirm)
	s := &State{Started: true, LastVersion: 1, Completing: 1, OutcomeIndex: 7}
	settles := func(have ...uint64) bool {
		for i, h := range have {
			if !l.ReceiveReport(
				now, now, i,
				Report{Incarnation: 1, Sequence: uint32(h), LastIndex: h, Active: Active{Mode: OneVersion}},
				s,
			) {
				t.Fatal("no grant")
			}
		}
		step, ok := l.Decide(now, s, 0)
		return ok && step.Kind == Completed && step.Version == 1
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
	s := &State{Started: true, Pending: ref(1)}
	both, one := Active{BothVersions, Ref{}, ref(1)}, Active{Mode: OneVersion}
	for _, c := range []struct {
		r  Report
		ok bool
	}{
		{Report{Incarnation: 5, Sequence: 2, Active: both}, true},
		{Report{Incarnation: 5, Sequence: 1, Active: one}, false},
		{Report{Incarnation: 5, Sequence: 2, Active: both}, false},
		{Report{Incarnation: 4, Sequence: 9, Active: both}, false},
		{Report{Incarnation: 6, Sequence: 1, Active: one}, false},
		{Report{Incarnation: 6, Sequence: 2, Active: both}, true},
	} {
		if ok := l.ReceiveReport(now, now, 1, c.r, s); ok != c.ok {
			t.Errorf("%+v: granted %v", c.r, ok)
		}
	}
	if late := l.Laggards(now, s); len(late) != 2 || late[0].Number != 0 || late[1].Number != 2 {
		t.Errorf("behind: %v", late)
	}
}

// A log that has just begun grants nobody anything and takes no change, until no grant of another
// log can count any more.
func TestBegins(t *testing.T) {
	now := time.Hour
	l := NewLeader(now, 1, patience, confirm)
	var s State
	if l.ReceiveReport(now, now, 0, Report{Incarnation: 1, Sequence: 1, Active: Active{Mode: OneVersion}}, &s) {
		t.Error("a grant")
	}
	if _, due := l.Decide(now+patience+confirm*5/4-1, &s, 0); due {
		t.Error("begun too early")
	}
	if step, due := l.Decide(now+patience+confirm*5/4, &s, 0); !due || step.Kind != Started {
		t.Errorf("%+v", step)
	}
}
