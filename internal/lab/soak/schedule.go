package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is the kind of an event of a schedule.
type Kind string

// The kinds of events. A series affects one sidecar after another, at intervals of Gap.
const (
	RollTerm       Kind = "roll_term"       // series: SIGTERM, and a restart as soon as the process has exited
	TermTwice      Kind = "term_twice"      // series: like RollTerm, with a second SIGTERM after Gap
	HupBurst       Kind = "hup_burst"       // three SIGHUP to each sidecar, at intervals of Gap
	Kill           Kind = "kill"            // SIGKILL to all sidecars of the event at once, and a restart after For
	Freeze         Kind = "freeze"          // SIGSTOP, and SIGCONT after For
	ConfigChanges  Kind = "config_changes"  // Count configuration changes at intervals of Gap
	KillCoreMember Kind = "kill_core"       // SIGKILL to one core member, and a restart after For
	SlowUpstreams  Kind = "slow_upstreams"  // the sidecars' upstreams take Factor times as long per request, during For
	CrashUpstreams Kind = "crash_upstreams" // the sidecars' upstreams close all connections and accept none, during For
	DrainUpstreams Kind = "drain_upstreams" // the upstreams drain and stop; new ones start at their addresses after For
	LeaveUpstreams Kind = "leave_upstreams" // like DrainUpstreams, but they deregister first, keep serving, then stop
	Pauses         Kind = "pauses"          // Count times SIGSTOP, and SIGCONT after at most For; mean interval Gap
)

// plannedKinds are the kinds of planned operations; a kind listed twice is drawn twice as often. faultKinds are the
// kinds of faults.
var (
	plannedKinds = []Kind{RollTerm, RollTerm, TermTwice, HupBurst, ConfigChanges, SlowUpstreams}
	faultKinds   = []Kind{Kill, Freeze, KillCoreMember, CrashUpstreams}
)

// Kinds returns all kinds in alphabetical order.
func Kinds() []Kind {
	all := slices.Concat(plannedKinds, faultKinds, []Kind{DrainUpstreams, LeaveUpstreams, Pauses})
	slices.Sort(all)
	return slices.Compact(all)
}

// Event is one entry of a schedule.
type Event struct {
	At       time.Duration
	Kind     Kind
	Sidecars []int `json:",omitempty"`
	Count    int   `json:",omitempty"`
	Gap, For time.Duration
	Factor   float64 `json:",omitempty"`
}

const (
	// meanInterval is the mean time between the beginnings of two events. It is shorter than most events last, so
	// that events overlap.
	meanInterval = 1200 * time.Millisecond
	// quietTail is the time at the end of a run in which no event begins, so that earlier events take effect before
	// the run ends.
	quietTail = 3 * time.Second
	// faultFreeSeedDivisor: seeds that it divides have a schedule without faults. Lost requests near planned operations
	// are only counted where no fault is near.
	faultFreeSeedDivisor = 2
)

// Draw returns the schedule of a seed for a run with the given number of sidecars, ordered by time.
func Draw(seed uint64, length time.Duration, sidecars int) []Event {
	random := rand.New(rand.NewPCG(seed, 0))
	withFaults := seed%faultFreeSeedDivisor != 0
	var all []Event
	for at := meanInterval; at < length-quietTail; at += time.Duration(random.ExpFloat64() * float64(meanInterval)) {
		kinds := plannedKinds
		if withFaults && random.IntN(2) == 0 {
			kinds = faultKinds
		}
		e := drawEvent(random, kinds[random.IntN(len(kinds))], sidecars)
		e.At = at
		all = append(all, e)
	}
	slices.SortStableFunc(all, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return all
}

// maxPauseLengths are the longest pauses of a series, of which each series uses one: from a pause within one step of a
// process up to pauses that outlast the time-out of a call or a lease.
var maxPauseLengths = []time.Duration{
	5 * time.Millisecond, 60 * time.Millisecond, 700 * time.Millisecond, 5 * time.Second,
}

const (
	// minPauses and maxPauses bound the number of pauses in a series, minPauseGap and maxPauseGap the mean interval
	// between pauses.
	minPauses, maxPauses     = 4, 24
	minPauseGap, maxPauseGap = 2 * time.Millisecond, 120 * time.Millisecond
)

// DrawPauses returns series of pauses, ordered by time, that are executed together with the schedule of the same seed.
// They stop a process at arbitrary moments, for instance between a decision and the action that depends on it.
func DrawPauses(seed uint64, length time.Duration, sidecars int) (all []Event) {
	random := rand.New(rand.NewPCG(seed, 2))
	for at := meanInterval; at < length-quietTail; at += time.Duration(random.ExpFloat64() * float64(meanInterval)) {
		all = append(all, Event{
			At: at, Kind: Pauses, Sidecars: drawSidecars(random, sidecars),
			Count: minPauses + random.IntN(maxPauses-minPauses),
			Gap:   minPauseGap + time.Duration(random.Int64N(int64(maxPauseGap-minPauseGap))),
			For:   maxPauseLengths[random.IntN(len(maxPauseLengths))],
		})
	}
	return all
}

const (
	// maxReplacementDelay bounds the time between the stop of an upstream and the start of the next one at its address.
	maxReplacementDelay = 1500 * time.Millisecond
	// leaveDivisor: on average, one in leaveDivisor drains deregisters the upstreams first.
	leaveDivisor = 3
)

// DrawDrains returns drains of upstreams, ordered by time, that are executed together with the schedule of the same
// seed.
func DrawDrains(seed uint64, length time.Duration, sidecars int) (all []Event) {
	random := rand.New(rand.NewPCG(seed, 3))
	for at := meanInterval; at < length-quietTail; at += time.Duration(2 * random.ExpFloat64() * float64(meanInterval)) {
		e := Event{
			At: at, Kind: DrainUpstreams, Sidecars: drawSidecars(random, sidecars),
			For: time.Duration(random.Int64N(int64(maxReplacementDelay))),
		}
		if random.IntN(leaveDivisor) == 0 {
			e.Kind = LeaveUpstreams
		}
		all = append(all, e)
	}
	return all
}

// drawEvent draws the sidecars, durations and counts of an event of the given kind.
func drawEvent(random *rand.Rand, kind Kind, sidecars int) Event {
	between := func(low, high time.Duration) time.Duration {
		return low + time.Duration(random.Int64N(int64(high-low)))
	}
	e := Event{Kind: kind, Sidecars: drawSidecars(random, sidecars)}
	switch kind {
	case RollTerm:
		e.Gap = between(50*time.Millisecond, 1200*time.Millisecond)
	case TermTwice:
		e.Gap = between(5*time.Millisecond, 400*time.Millisecond)
	case HupBurst:
		e.Gap = between(time.Millisecond, 200*time.Millisecond)
	case Kill, Freeze:
		e.For = between(50*time.Millisecond, 2500*time.Millisecond)
	case ConfigChanges:
		e.Sidecars, e.Count, e.Gap = nil, 1+random.IntN(8), between(20*time.Millisecond, 400*time.Millisecond)
	case KillCoreMember:
		e.Sidecars, e.For = nil, between(200*time.Millisecond, 2*time.Second)
	case SlowUpstreams:
		e.For, e.Factor = between(time.Second, 5*time.Second), 2+6*random.Float64()
	case CrashUpstreams:
		e.For = between(300*time.Millisecond, 3*time.Second)
	}
	return e
}

// drawSidecars draws the sidecars that an event affects: one, all, or a random number of them.
func drawSidecars(random *rand.Rand, sidecars int) []int {
	all := random.Perm(sidecars)
	switch random.IntN(4) {
	case 0:
		return all[:1]
	case 1:
		return all
	}
	return all[:1+random.IntN(sidecars)]
}
