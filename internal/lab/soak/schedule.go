package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is what an event of a schedule does.
type Kind string

// The kinds of events. Those of a series go from sidecar to sidecar, Gap apart.
const (
	RollTerm       Kind = "roll_term"       // series: SIGTERM, and a start as soon as the process has ended
	TermTwice      Kind = "term_twice"      // series: the same with a second SIGTERM Gap later
	HupBurst       Kind = "hup_burst"       // SIGHUP to each, three times, Gap apart
	Kill           Kind = "kill"            // SIGKILL to all of them at once, and a start For later
	Freeze         Kind = "freeze"          // SIGSTOP, and SIGCONT For later
	ConfigChanges  Kind = "config_changes"  // Count changes, Gap apart
	KillCoreMember Kind = "kill_core"       // SIGKILL to one core member, and a start For later
	SlowUpstreams  Kind = "slow_upstreams"  // their upstreams take Factor times as long, For long
	CrashUpstreams Kind = "crash_upstreams" // their upstreams end all connections and accept none, For long
	DrainUpstreams Kind = "drain_upstreams" // their upstreams drain and end, others start at their addresses For later
	LeaveUpstreams Kind = "leave_upstreams" // the same, but they deregister first, then serve on and end
	Pauses         Kind = "pauses"          // SIGSTOP and SIGCONT to each, Count times, For at most, Gap apart on average
)

// planned are the kinds that are no faults; faults are the others.
var (
	planned = []Kind{RollTerm, RollTerm, TermTwice, HupBurst, ConfigChanges, SlowUpstreams}
	faults  = []Kind{Kill, Freeze, KillCoreMember, CrashUpstreams}
)

// Kinds are all kinds.
func Kinds() []Kind {
	all := slices.Concat(planned, faults, []Kind{DrainUpstreams, LeaveUpstreams, Pauses})
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
	// meanPause is the mean time between the beginnings of two events: shorter than most of them last, so that
	// they overlap.
	meanPause = 1200 * time.Millisecond
	// quietEnd at the end of a run nothing new begins, so that what has begun shows its effect.
	quietEnd = 3 * time.Second
	// plannedOnlySeeds is the share of seeds without faults, one in so many: losses around planned work are judged
	// only where no fault is near.
	plannedOnlySeeds = 2
)

// Draw returns the schedule of a seed for a run of so many sidecars, in order.
func Draw(seed uint64, length time.Duration, sidecars int) []Event {
	random := rand.New(rand.NewPCG(seed, 0))
	mayHaveFaults := seed%plannedOnlySeeds != 0
	var all []Event
	for at := meanPause; at < length-quietEnd; at += time.Duration(random.ExpFloat64() * float64(meanPause)) {
		kinds := planned
		if mayHaveFaults && random.IntN(2) == 0 {
			kinds = faults
		}
		e := drawEvent(random, kinds[random.IntN(len(kinds))], sidecars)
		e.At = at
		all = append(all, e)
	}
	slices.SortStableFunc(all, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return all
}

// longestPauses are how long the pauses of a series may be: within a step of a process, over a time-out of a call,
// over a lease.
var longestPauses = []time.Duration{
	5 * time.Millisecond, 60 * time.Millisecond, 700 * time.Millisecond, 5 * time.Second,
}

const (
	// minPauses and maxPauses bound the pauses of a series, minPauseGap and maxPauseGap their mean distance.
	minPauses, maxPauses     = 4, 24
	minPauseGap, maxPauseGap = 2 * time.Millisecond, 120 * time.Millisecond
)

// DrawPauses returns series of pauses to be played beside the schedule of the same seed, in order: a process that
// stops at any moment, for instance between a decision and what follows from it.
func DrawPauses(seed uint64, length time.Duration, sidecars int) (all []Event) {
	random := rand.New(rand.NewPCG(seed, 2))
	for at := meanPause; at < length-quietEnd; at += time.Duration(random.ExpFloat64() * float64(meanPause)) {
		all = append(all, Event{
			At: at, Kind: Pauses, Sidecars: drawSidecars(random, sidecars),
			Count: minPauses + random.IntN(maxPauses-minPauses),
			Gap:   minPauseGap + time.Duration(random.Int64N(int64(maxPauseGap-minPauseGap))),
			For:   longestPauses[random.IntN(len(longestPauses))],
		})
	}
	return all
}

const (
	// maxReplaceTime is the longest time between an upstream's end and the start of the next one at its address.
	maxReplaceTime = 1500 * time.Millisecond
	// leaveShare of the upstreams that drain deregister first, one in so many.
	leaveShare = 3
)

// DrawDrains returns drains of upstreams to be played beside the schedule of the same seed, in order.
func DrawDrains(seed uint64, length time.Duration, sidecars int) (all []Event) {
	random := rand.New(rand.NewPCG(seed, 3))
	for at := meanPause; at < length-quietEnd; at += time.Duration(2 * random.ExpFloat64() * float64(meanPause)) {
		e := Event{
			At: at, Kind: DrainUpstreams, Sidecars: drawSidecars(random, sidecars),
			For: time.Duration(random.Int64N(int64(maxReplaceTime))),
		}
		if random.IntN(leaveShare) == 0 {
			e.Kind = LeaveUpstreams
		}
		all = append(all, e)
	}
	return all
}

// drawEvent draws what one event of a kind does.
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

// drawSidecars draws which sidecars an event is about: one, some or all.
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
