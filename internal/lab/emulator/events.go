package emulator

import (
	"slices"
	"time"

	"caperarch/internal/lab/loadspread"
)

// SpreadEvent is an event that all sidecars notice at about the same moment, so that they could react in step. An event
// that affects servers affects the first ones of the list.
type SpreadEvent struct {
	Name    string
	At      time.Duration
	End     time.Duration // from here on, the affected servers should get their share again
	Play    func(f *Fleet)
	State   State                           // behaviour of the affected servers between At and End
	Times   func(now time.Duration) float64 // factor of the traffic
	Touched int                             // number of affected servers
	Removed int                             // number of affected servers that are removed permanently
	Added   int                             // number of added servers, which are cold at first
}

const eventAt = 20 * time.Second

// SpreadEvents returns the events after which the spread is measured.
func SpreadEvents(servers int) []SpreadEvent {
	some := func(share float64) int { return max(1, int(share*float64(servers))) }
	replaced := func(n int, back time.Duration) func(*Fleet) {
		return func(fleet *Fleet) {
			fleet.At(eventAt, func() {
				gone := fleet.Remove(n)
				fleet.At(eventAt+back, func() { fleet.Add(gone) })
			})
		}
	}
	return []SpreadEvent{
		{Name: "all start at once", At: 0, End: 0},
		{Name: "the list changes", At: eventAt, End: eventAt, Play: func(f *Fleet) {
			f.At(eventAt, func() { f.Remove(1) })
		}, Touched: 1, Removed: 1},
		{Name: "one returns, cold", At: eventAt, End: eventAt + SpreadSlowStartTime, Play: replaced(1, 0),
			Touched: 1, Removed: 1, Added: 1},
		{Name: "one is slow for 5 s", At: eventAt, End: eventAt + 5*time.Second, State: State{Slower: 8}, Touched: 1},
		{Name: "a tenth is silent for 5 s", At: eventAt, End: eventAt + 5*time.Second,
			State: State{Silent: true}, Touched: some(0.1)},
		{Name: "one is four times as quick", At: eventAt, End: eventAt, State: State{Slower: 0.25}, Touched: 1},
		{Name: "half are replaced", At: eventAt, End: eventAt + SpreadSlowStartTime, Play: replaced(servers/2, 0),
			Touched: servers / 2, Removed: servers / 2, Added: servers / 2},
		{Name: "a zone returns after 5 s", At: eventAt, End: eventAt + 5*time.Second + SpreadSlowStartTime,
			Play: replaced(some(0.3), 5*time.Second), Touched: some(0.3), Removed: some(0.3), Added: some(0.3)},
		{Name: "traffic doubles", At: eventAt, End: eventAt, Times: func(now time.Duration) float64 {
			if now >= eventAt {
				return 2
			}
			return 1
		}},
	}
}

// SpreadSlowStartTime is the slow-start time of a server.
const SpreadSlowStartTime = 8 * time.Second

// play schedules the event.
func (e *SpreadEvent) play(f *Fleet) {
	if e.Play != nil {
		e.Play(f)
	}
	if e.State != (State{}) {
		f.At(e.At, func() { f.Set(e.Touched, e.State) })
		if e.End > e.At {
			f.At(e.End, func() { f.Set(e.Touched, State{}) })
		}
	}
}

// EventResult is the effect of an event on the spread.
type EventResult struct {
	// Worst is the largest ratio of a server's requests to the mean in the worst second of the observation time, among
	// the servers that the event didn't affect. Chance is the same for a random spread.
	Worst, Chance float64
	Idle          float64 // share of servers and seconds without requests, where five or more were due
	// Recovery is the time from End until the last affected or added server gets half of its share; negative if one
	// never does.
	Recovery time.Duration
}

// observationTime is how long after an event the spread is measured.
const observationTime = 10 * time.Second

// Evaluate measures the effect of the event in a run that began with the given number of servers.
func (e *SpreadEvent) Evaluate(
	all []loadspread.Arrival, servers int, until time.Duration, seed uint64,
) (b EventResult) {
	steady := make([]float64, servers+e.Added)
	for i := e.Touched; i < servers; i++ {
		steady[i] = 1
	}
	counted := slices.DeleteFunc(slices.Clone(all), func(a loadspread.Arrival) bool {
		return a.To >= len(steady) || steady[a.To] == 0
	})
	from := e.At + time.Second // skip the second of the event itself
	s := loadspread.Measure(counted, steady, from, from+observationTime, time.Second)
	b.Worst, b.Idle = s.Worst, s.Idle
	b.Chance = loadspread.Measure(loadspread.Random(counted, steady, seed), steady, from, from+observationTime,
		time.Second).Worst
	due := make([]float64, servers+e.Added)
	for i := range due {
		if i >= e.Removed {
			due[i] = 1
		}
	}
	for i := range due {
		if i >= e.Removed && i < e.Touched || i >= servers {
			recovery := loadspread.RecoveryTime(all, due, i, e.End, until, 2*time.Second)
			if recovery < 0 {
				b.Recovery = -1
				return b
			}
			b.Recovery = max(b.Recovery, recovery)
		}
	}
	return b
}
