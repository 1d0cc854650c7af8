package policyrollout

import (
	"testing"
	"time"
)

const (
	lease            = 3 * time.Second
	quorumAckTimeout = 2 * time.Second
	leaseExpiry      = lease + 100*time.Millisecond
)

// ref returns a version whose hash is derived from its number.
func ref(version uint32) Ref { return Ref{Version: version, Hash: [32]byte{byte(version)}} }

// entry returns the encoded log entry of a step.
func entry(t *testing.T, s Step) []byte {
	t.Helper()
	raw, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// Checks the policy that a sidecar applies as grants expire, entries arrive and texts appear and disappear.
func TestParticipantActive(t *testing.T) {
	const start = time.Hour
	available := map[uint32]bool{0: true}
	participant := NewParticipant(lease, func(r Ref) string {
		if available[r.Version] {
			return ""
		}
		return TextMissing
	})
	want := func(now time.Duration, n Active, why string) {
		t.Helper()
		if got := participant.Active(now); got != n {
			t.Errorf("%s: active is %+v, want %+v", why, got, n)
		}
	}
	now := start
	want(now, Active{}, "a process that has just started")
	participant.RecordGrant(now, now-2*time.Second, 0)
	want(now, Active{Mode: OneVersion}, "granted")
	want(now+999*time.Millisecond, Active{Mode: OneVersion}, "just before a lease after the report was sent")
	want(now+time.Second, Active{}, "a lease after the report was sent")
	participant.RecordGrant(now, now-lease, 0)
	want(now, Active{Mode: OneVersion}, "a grant that has expired on arrival does not replace the first one")
	participant.RecordGrant(now+time.Second, now+2*time.Second, 0)
	want(now+time.Second, Active{}, "a grant of a report that was not sent yet")

	now += time.Minute
	participant.RecordGrant(now, now, 3)
	want(now, Active{}, "a grant up to index 3 with an empty log")
	if _, err := participant.ApplyEntry(2, entry(t, Step{Kind: Started})); err != nil {
		t.Fatal(err)
	}
	want(now, Active{}, "a grant up to index 3 with the log up to index 2")
	if _, err := participant.ApplyEntry(3, entry(t, Step{Kind: Proposed, Ref: ref(1), Sidecar: 2})); err != nil {
		t.Fatal(err)
	}
	want(now, Active{Mode: OneVersion}, "a change whose text is missing")
	if r := participant.NextReport(now); r.Active != (Active{Mode: OneVersion}) ||
		r.Rejection != "" || r.LastIndex != 3 {
		t.Errorf("report is %+v, want one version, no rejection and last index 3", r)
	}
	available[1] = true
	want(now, Active{BothVersions, Ref{}, ref(1)}, "a change in progress whose text is present")
	available[1] = false
	want(now, Active{Mode: OneVersion}, "the text was lost before a report of both versions")
	available[1] = true
	if r := participant.NextReport(now); r.Active.Mode != BothVersions {
		t.Errorf("report is %+v, want both versions", r)
	}
	available[1] = false
	want(now, Active{}, "the text was lost after a report of both versions")
	available[1] = true
	if _, err := participant.ApplyEntry(4, entry(t, Step{Kind: Committed, Ref: ref(1), Sidecar: 2})); err != nil {
		t.Fatal(err)
	}
	want(now, Active{Mode: OneVersion, New: ref(1)}, "the change was committed")
	available[1] = false
	want(now, Active{}, "the text of the current version was lost")
	available[1] = true
	if _, err := participant.ApplyEntry(5, []byte{0xff}); err == nil {
		t.Error("ApplyEntry of a malformed entry succeeded, want an error")
	}
	want(now, Active{}, "after an entry that can't be decoded")
	if r := participant.NextReport(now); r.Rejection == "" {
		t.Errorf("report is %+v, want a rejection", r)
	}
	participant.Reset()
	participant.RecordGrant(now, now, 0)
	want(now, Active{Mode: OneVersion}, "a grant of a new log")
}

// Checks which steps State accepts in which order, and the state that results.
func TestState(t *testing.T) {
	var s State
	for i, c := range []struct {
		step Step
		ok   bool
	}{
		{Step{Kind: Proposed, Ref: ref(1), Sidecar: 1}, false},
		{Step{Kind: Started}, true},
		{Step{Kind: Started}, false},
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
		if rejected := s.Apply(uint64(i+1), c.step); (rejected == "") != c.ok {
			t.Errorf("step %d, %v of version %d: rejection is %q", i, c.step.Kind, c.step.Version, rejected)
		}
	}
	if s.Current != ref(1) || s.Pending != ref(3) || len(s.History) != 2 ||
		s.History[1].Outcome != Aborted || s.History[1].Reason != "no such tenant" {
		t.Errorf("state is %+v, want current 1, pending 3 and the abort of 2 in the history", s)
	}
}

// Guards against completing a change by a report that was sent before the change's outcome was applied: after
// an abort, the report from before the change states the same active version.
func TestCompletedByReportsAfterOutcome(t *testing.T) {
	now := time.Hour
	l := NewLeader(now, 3, leaseExpiry, quorumAckTimeout)
	s := &State{Started: true, LastVersion: 1, Completing: 1, OutcomeIndex: 7}
	completes := func(lastIndexes ...uint64) bool {
		for i, lastIndex := range lastIndexes {
			if !l.ReceiveReport(
				now, now, i,
				Report{
					Incarnation: 1, Sequence: uint32(lastIndex), LastIndex: lastIndex,
					Active: Active{Mode: OneVersion},
				},
				s,
			) {
				t.Fatal("the report was not granted")
			}
		}
		step, ok := l.Decide(now, s, 0)
		return ok && step.Kind == Completed && step.Version == 1
	}
	if completes(7, 7, 6) {
		t.Error("the change is completed by a report from before the outcome")
	}
	if !completes(8, 9, 7) {
		t.Error("the change is not completed although all reports are from after the outcome")
	}
}

// Guards against grants and records of a report that arrives after a newer report, or that an earlier process
// of the sidecar has sent.
func TestOutdatedReportsAreDropped(t *testing.T) {
	now := time.Hour
	l := NewLeader(now, 3, leaseExpiry, quorumAckTimeout)
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
			t.Errorf("report %+v: granted is %v", c.r, ok)
		}
	}
	if laggards := l.Laggards(now, s); len(laggards) != 2 || laggards[0].Number != 0 || laggards[1].Number != 2 {
		t.Errorf("laggards are %v, want sidecars 0 and 2", laggards)
	}
}

// Guards against a new log that grants reports or starts before all grants of the previous log have expired.
func TestNewLogWaitsForEarlierGrants(t *testing.T) {
	now := time.Hour
	l := NewLeader(now, 1, leaseExpiry, quorumAckTimeout)
	var s State
	if l.ReceiveReport(now, now, 0, Report{Incarnation: 1, Sequence: 1, Active: Active{Mode: OneVersion}}, &s) {
		t.Error("a report was granted before the log has started")
	}
	if _, due := l.Decide(now+leaseExpiry+quorumAckTimeout*5/4-1, &s, 0); due {
		t.Error("the log starts before the grants of earlier leaders have expired")
	}
	if step, due := l.Decide(now+leaseExpiry+quorumAckTimeout*5/4, &s, 0); !due || step.Kind != Started {
		t.Errorf("step is %+v, want Started", step)
	}
}
