package emulator

import (
	"slices"
	"time"

	"caperarch/internal/lab/loadspread"
)

// EvenEvent is something that all sidecars of a day notice at about the same moment, after which
// they may well think the same. What it does to servers it does to the first of the list.
type EvenEvent struct {
	Name    string
	At      time.Duration
	End     time.Duration // from here on the servers that it touched are due their part again
	Play    func(f *Fleet)
	State   State                           // what the servers that it touches do meanwhile, where they stay
	Times   func(now time.Duration) float64 // traffic
	Touched int                             // servers
	Removed int                             // of these, so many don't come back
	Added   int                             // servers that come, and are cold for a while
}

const eventAt = 20 * time.Second

// EvenEvents are those that the spread is measured behind.
func EvenEvents(servers int) []EvenEvent {
	some := func(share float64) int { return max(1, int(share*float64(servers))) }
	replaced := func(n int, back time.Duration) func(*Fleet) {
		return func(fleet *Fleet) {
			fleet.At(eventAt, func() {
				gone := fleet.Remove(n)
				fleet.At(eventAt+back, func() { fleet.Add(gone) })
			})
		}
	}
	return []EvenEvent{
		{Name: "all start at once", At: 0, End: 0},
		{Name: "the list changes", At: eventAt, End: eventAt, Play: func(f *Fleet) {
			f.At(eventAt, func() { f.Remove(1) })
		}, Touched: 1, Removed: 1},
		{Name: "one returns, cold", At: eventAt, End: eventAt + EvenColdTime, Play: replaced(1, 0),
			Touched: 1, Removed: 1, Added: 1},
		{Name: "one is slow for 5 s", At: eventAt, End: eventAt + 5*time.Second, State: State{Slower: 8}, Touched: 1},
		{Name: "a tenth is silent for 5 s", At: eventAt, End: eventAt + 5*time.Second,
			State: State{Silent: true}, Touched: some(0.1)},
		{Name: "one is four times as quick", At: eventAt, End: eventAt, State: State{Slower: 0.25}, Touched: 1},
		{Name: "half are replaced", At: eventAt, End: eventAt + EvenColdTime, Play: replaced(servers/2, 0),
			Touched: servers / 2, Removed: servers / 2, Added: servers / 2},
		{Name: "a zone returns after 5 s", At: eventAt, End: eventAt + 5*time.Second + EvenColdTime,
			Play: replaced(some(0.3), 5*time.Second), Touched: some(0.3), Removed: some(0.3), Added: some(0.3)},
		{Name: "traffic doubles", At: eventAt, End: eventAt, Times: func(now time.Duration) float64 {
			if now >= eventAt {
				return 2
			}
			return 1
		}},
	}
}

// EvenColdTime is how long a server of an even day is cold.
const EvenColdTime = 8 * time.Second

// play has the event happen.
func (e *EvenEvent) play(f *Fleet) {
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

// EventResult is what an event did to the spread.
type EventResult struct {
	// greatest over mean among the servers that were there all along, in the worst second of the
	// ten behind it; and what chance has
	Worst, Chance float64
	Idle          float64 // share of those seconds in which one that five were due had none
	// from Ends until the last of the servers that were touched or came has half of its part; negative: it never had
	Recovery time.Duration
}

// behind is how long the spread is watched.
const behind = 10 * time.Second

// Judge says what became of a day's spread, of as many servers as it began with.
func (e *EvenEvent) Judge(all []loadspread.Arrival, servers int, until time.Duration, seed uint64) (b EventResult) {
	steady := make([]float64, servers+e.Added)
	for i := e.Touched; i < servers; i++ {
		steady[i] = 1
	}
	there := slices.DeleteFunc(slices.Clone(all), func(a loadspread.Arrival) bool {
		return a.To >= len(steady) || steady[a.To] == 0
	})
	from := e.At + time.Second // the second in which it happens is neither before nor behind
	s := loadspread.Measure(there, steady, from, from+behind, time.Second)
	b.Worst, b.Idle = s.Worst, s.Idle
	b.Chance = loadspread.Measure(loadspread.Random(there, steady, seed), steady, from, from+behind, time.Second).Worst
	due := make([]float64, servers+e.Added)
	for i := range due {
		if i >= e.Removed {
			due[i] = 1
		}
	}
	for i := range due {
		if i >= e.Removed && i < e.Touched || i >= servers {
			back := loadspread.RecoveryTime(all, due, i, e.End, until, 2*time.Second)
			if back < 0 {
				b.Recovery = -1
				return b
			}
			b.Recovery = max(b.Recovery, back)
		}
	}
	return b
}
