package policyrollout

import (
	"fmt"
	"time"
)

// Leader is the part of the sidecar that leads the log: it grants, and decides when a change goes on. What it knows is of one term: a new leader knows nothing, and waits until no grant of
// another's can count any more.
//
// The promise: no sidecar goes by a new version alone while another goes by the old one alone. Why: a version is taken only when each sidecar has told this leader that it goes by both, or has no
// grant that counts. Whoever goes by both never goes back to the old one alone, but by an entry that calls the change off; whoever has no grant goes by CutOff, and gets one while the change is under
// way only by telling that it goes by both. So what made the decision right stays so until the log has its outcome, however late that comes.
type Leader struct {
	Size     int
	Patience time.Duration // a lease, and the errors of both clocks
	Confirm  time.Duration // a leader that a majority has not confirmed for so long grants nothing

	since   time.Duration
	members []reported
	begun   time.Duration // when what is under way was first seen; 0: nothing is
	version uint32
}

// reported is what a leader knows of a sidecar.
type reported struct {
	granted time.Duration // last; 0: never by this leader
	report  Report
	heard   bool
	at      time.Duration // when
}

// NewLeader begins a term.
func NewLeader(now time.Duration, size int, patience, confirm time.Duration) *Leader {
	return &Leader{Size: size, Patience: patience, Confirm: confirm, since: now, members: make([]reported, size)}
}

// quiet is when no grant of a leader before this one can count any more. That one was last confirmed before this one was elected, granted for Confirm behind that at most, by its own clock, and a
// grant counts from when what it answers was sent.
func (l *Leader) quiet() time.Duration { return l.since + l.Patience + l.Confirm + l.Confirm/4 }

// Heard takes a report, and says whether it is granted. s is what the log makes of the policy here, all of it up to where this leader was confirmed; confirmed is when it was confirmed last.
func (l *Leader) Heard(now, confirmed time.Duration, from int, r Report, s *State) bool {
	if from < 0 || from >= l.Size {
		return false
	}
	m := &l.members[from]
	// Overtaken on the way: told by itself that it goes by both and then, late, that it went by one, eighty of three hundred held a change up (accordnet, 300, seed 1).
	if m.heard && (r.Life < m.report.Life || r.Life == m.report.Life && r.Turn <= m.report.Turn) {
		return false
	}
	m.report, m.heard, m.at = r, true, now
	switch {
	case now-confirmed >= l.Confirm || !s.Begun:
		return false
	case s.Pending.Version != 0 && !goesByBoth(r, s):
		return false // not now: else the change would wait for one that may never come to it
	case r.Now.Mode == CutOff:
		return false
	}
	m.granted = now
	return true
}

func goesByBoth(r Report, s *State) bool { return r.Now == Now{Both, s.Holds, s.Pending} }

// Seat is that by which a sidecar was last heard to vote, and whether that was within a patience.
func (l *Leader) Seat(now time.Duration, i int) (seat uint64, lately bool) {
	m := &l.members[i]
	return m.report.Seat, m.heard && now-m.at < l.Patience
}

// Since is when the term began.
func (l *Leader) Since() time.Duration { return l.since }

// Until is when no grant of a sidecar can count any more, by this leader's clock.
func (l *Leader) Until(i int) time.Duration {
	if granted := l.members[i].granted; granted != 0 {
		return max(l.quiet(), granted+l.Patience)
	}
	return l.quiet()
}

// free says that a sidecar goes by CutOff for certain: it has no grant that counts, of this leader or one before.
func (l *Leader) free(now time.Duration, i int) bool {
	return now >= l.Until(i)
}

// Decide says what the log needs next; false: nothing now.
func (l *Leader) Decide(now time.Duration, s *State, self int) (Step, bool) {
	if !s.Begun {
		return Step{Kind: Begun, By: self}, now >= l.quiet()
	}
	if s.Offer.Version != 0 {
		return l.offer(now, s, self)
	}
	if s.Pending.Version == 0 {
		l.begun, l.version = 0, 0
		// What was reported before the outcome may be of before the change: one that has come to both since looked the same (seed 551).
		if s.Open != 0 && l.all(now, func(r Report) bool { return r.Have >= s.OpenAt && r.Now == Now{Mode: One, New: s.Holds} }) {
			return Step{Kind: Settled, Ref: Ref{Version: s.Open}, By: self}, true
		}
		return Step{}, false
	}
	if l.version != s.Pending.Version {
		l.begun, l.version = now, s.Pending.Version
	}
	if step, no := l.cannot(now, s.Pending.Version); no {
		return step, true
	}
	there := 0
	for i := range l.members {
		m := &l.members[i]
		if m.granted > 0 && now < m.granted+l.Patience {
			there++
		}
	}
	if l.all(now, func(r Report) bool { return goesByBoth(r, s) }) && 2*there > l.Size {
		return Step{Kind: Taken, Ref: Ref{Version: s.Pending.Version}, By: self}, true
	}
	if now >= max(l.begun, l.quiet())+changeTime*l.Patience/2 {
		return Step{Kind: CalledOff, Ref: Ref{Version: s.Pending.Version}, By: self, Why: fmt.Sprintf("%d of %d came to it in time", there, l.Size)}, true
	}
	return Step{}, false
}

// cannot calls a version off where somebody heard of lately can't apply it.
func (l *Leader) cannot(now time.Duration, version uint32) (Step, bool) {
	for i := range l.members {
		if m := &l.members[i]; m.heard && m.report.Cannot != "" && now-m.at < l.Patience {
			return Step{Kind: CalledOff, Ref: Ref{Version: version}, By: i, Why: m.report.Cannot}, true
		}
	}
	return Step{}, false
}

// offer has a change proposed once its text is with all who go by the log, or with most after a while.
func (l *Leader) offer(now time.Duration, s *State, self int) (Step, bool) {
	if l.version != s.Offer.Version {
		l.begun, l.version = now, s.Offer.Version
	}
	if step, no := l.cannot(now, s.Offer.Version); no {
		return step, true
	}
	ready := 0
	for i := range l.members {
		if !l.free(now, i) && l.members[i].report.Ready == s.Offer.Version {
			ready++
		}
	}
	late := now >= max(l.begun, l.quiet())+offerTime
	switch {
	case 2*ready > l.Size && (late || l.all(now, func(r Report) bool { return r.Ready == s.Offer.Version })):
		l.version = 0 // the change's own time begins with its entry
		return Step{Kind: Proposed, Ref: s.Offer, Base: s.Holds.Version, By: s.By}, true
	case late:
		return Step{Kind: CalledOff, Ref: Ref{Version: s.Offer.Version}, By: self, Why: fmt.Sprintf("%d of %d had its text in time", ready, l.Size)}, true
	}
	return Step{}, false
}

// offerTime is how long a text may be on its way.
const offerTime = time.Minute

// changeTime is how many halves of a patience a change may take before it is called off: one for those that are cut off, and as much again for texts that are late.
const changeTime = 4

// Behind are those that a change waits for: what they tell, or that they have not been heard of.
func (l *Leader) Behind(now time.Duration, s *State) (all []Behind) {
	for i := range l.members {
		m := &l.members[i]
		switch r := m.report; {
		case l.free(now, i):
		case s.Offer.Version != 0 && m.heard && r.Ready == s.Offer.Version:
		case s.Offer.Version != 0 && m.heard && r.Cannot == "":
			all = append(all, Behind{i, Waiting})
		case !m.heard:
			all = append(all, Behind{i, "not heard of yet"})
		case s.Pending.Version != 0 && goesByBoth(r, s), s.Pending.Version == 0 && r.Have >= s.OpenAt && r.Now == Now{Mode: One, New: s.Holds}:
		case r.Cannot != "":
			all = append(all, Behind{i, r.Cannot})
		default:
			all = append(all, Behind{i, fmt.Sprintf("%s, heard %.1fs ago", r.Now.Mode, (now - m.at).Seconds())})
		}
	}
	return all
}

// Behind is a sidecar that a change waits for.
type Behind struct {
	Number int
	Why    string
}

// all says whether something holds of all that may have a grant that counts.
func (l *Leader) all(now time.Duration, holds func(Report) bool) bool {
	for i := range l.members {
		if !l.free(now, i) && !(l.members[i].heard && holds(l.members[i].report)) {
			return false
		}
	}
	return true
}
