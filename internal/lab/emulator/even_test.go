package emulator

import (
	"math"
	"slices"
	"testing"
	"time"

	"caperarch/internal/lab/loadspread"
)

// Without faults, the spread over 10 s must be better than chance. It is worse if the sidecars' subsets (arcs) cover
// some servers more often than others, even if each sidecar spreads its own requests evenly.
func TestEvenSpreadFromSubsets(t *testing.T) {
	for _, d := range []SpreadRun{
		{Sidecars: 40, Servers: 40, RatePerSidecar: 4}, {Sidecars: 24, Servers: 12, RatePerSidecar: 5},
		{Sidecars: 100, Servers: 20, RatePerSidecar: 4}, {Sidecars: 100, Servers: 66, RatePerSidecar: 4},
	} {
		d.Until = 70 * time.Second
		const seeds = 3
		short, long, chance := 0.0, 0.0, 0.0
		for seed := range uint64(seeds) {
			all, weights, err := d.Run(seed)
			if err != nil {
				t.Fatal(err)
			}
			from := 10 * time.Second
			short += loadspread.Measure(all, weights, from, d.Until, time.Second).Variance / seeds
			long += loadspread.Measure(all, weights, from, d.Until, 10*time.Second).Variance / seeds
			chance += loadspread.Measure(loadspread.Random(all, weights, seed), weights, from, d.Until,
				10*time.Second).Variance / seeds
		}
		t.Logf("%d sidecars, %d servers: variance over mean %.2f in 1 s, %.2f in 10 s, by chance %.2f",
			d.Sidecars, d.Servers, short, long, chance)
		if short > 0.6 || long > 0.7 {
			t.Errorf("%d sidecars, %d servers: variance over mean %.2f in 1 s and %.2f in 10 s, want at most 0.6 and 0.7",
				d.Sidecars, d.Servers, short, long)
		}
	}
}

// meanVariance returns the mean over some seeds of variance over mean and greatest over mean, in windows of 10 s.
func meanVariance(t *testing.T, d SpreadRun, from time.Duration, seeds uint64) (variance, greatest float64) {
	t.Helper()
	for seed := range seeds {
		all, weights, err := d.Run(seed)
		if err != nil {
			t.Fatal(err)
		}
		s := loadspread.Measure(all, weights, from, d.Until, 10*time.Second)
		variance += s.Variance / float64(seeds)
		greatest += s.Greatest / float64(seeds)
	}
	return variance, greatest
}

// A few sidecars have most of the traffic. If each of them kept to its own arc, servers under adjacent arcs would get a
// third more requests than the others.
func TestHeavySidecarsSpreadEvenly(t *testing.T) {
	d := SpreadRun{Sidecars: 300, Servers: 60, RatePerSidecar: 4, Heavy: true, Until: 60 * time.Second}
	variance, greatest := meanVariance(t, d, 30*time.Second, 2)
	t.Logf("a tenth of the sidecars has half of the traffic: variance over mean %.2f, greatest over mean %.2f",
		variance, greatest)
	if variance > 1.1 || greatest > 1.25 {
		t.Errorf("variance over mean %.2f and greatest over mean %.2f, want at most 1.1 and 1.25", variance, greatest)
	}
}

// If the running sidecars know which ones are dead, their arcs close the gaps. If each sidecar has another wrong view
// of the dead, the spread must be no worse than by chance.
func TestEvenSpreadWithDeadSidecars(t *testing.T) {
	d := SpreadRun{Sidecars: 100, Servers: 20, RatePerSidecar: 4, Dead: 0.2, Until: 50 * time.Second}
	blind, _ := meanVariance(t, d, 10*time.Second, 3)
	d.Known = true
	known, _ := meanVariance(t, d, 10*time.Second, 3)
	d.Dead, d.Wrong = 0, true
	wrong, _ := meanVariance(t, d, 10*time.Second, 3)
	t.Logf("variance over mean with a dead fifth %.2f, if known to the others %.2f; %.2f if each "+
		"sidecar wrongly considers another fifth dead", blind, known, wrong)
	if known > 0.45 || known > 0.7*blind {
		t.Errorf("a fifth is dead: variance over mean %.2f, %.2f if known to the others; want at most 0.45 if known",
			blind, known)
	}
	if wrong > 1.2 {
		t.Errorf("variance over mean %.2f if each sidecar wrongly considers a fifth dead, want at most 1.2", wrong)
	}
}

// After an event that all sidecars notice at about the same moment, no server may be overloaded or idle, and the
// affected servers must get their share again.
func TestEventsDoNotSynchronizeSidecars(t *testing.T) {
	for _, event := range SpreadEvents(20) {
		t.Run(event.Name, func(t *testing.T) {
			t.Parallel()
			d := SpreadRun{Sidecars: 100, Servers: 20, RatePerSidecar: 4, Until: event.End + 34*time.Second,
				Event: &event}
			worst, chance := 0.0, 0.0
			for seed := range uint64(3) {
				all, _, err := d.Run(seed)
				if err != nil {
					t.Fatal(err)
				}
				b := event.Evaluate(all, d.Servers, d.Until, seed)
				t.Logf("seed %d: %+v", seed, b)
				worst, chance = worst+b.Worst, chance+b.Chance
				if b.Idle > 0.01 || b.Recovery < 0 || b.Recovery > 26*time.Second {
					t.Errorf("seed %d: idle share %.3f, recovery after %v; want at most 0.01 and 26 s",
						seed, b.Idle, b.Recovery)
				}
			}
			if worst > 1.1*chance {
				t.Errorf("greatest over mean in the worst second %.2f, want at most 1.1 times that of chance, %.2f",
					worst/3, chance/3)
			}
		})
	}
}

// Rule 4 takes precedence over an even spread: when all servers but one have just started, all sidecars together send a
// cold server no more than its slow-start limit in each second, although the traffic is higher.
func TestSlowStartLimitBeatsEvenness(t *testing.T) {
	const servers = 20
	event := SpreadEvent{At: eventAt, End: eventAt + SpreadSlowStartTime, Removed: servers - 1, Added: servers - 1,
		Play: func(f *Fleet) {
			f.At(eventAt, func() { f.Add(f.Remove(servers - 1)) })
		}}
	for _, heavy := range []bool{false, true} {
		d := SpreadRun{Sidecars: 100, Servers: servers, RatePerSidecar: 8, Heavy: heavy, Cold: 1,
			Until: event.End, Event: &event}
		for seed := range uint64(3) {
			all, _, err := d.Run(seed)
			if err != nil {
				t.Fatal(err)
			}
			cold, most := d.config(seed).Module, 0.0
			for second := range int(SpreadSlowStartTime / time.Second) {
				from := event.At + time.Duration(second)*time.Second
				warm := cold.SlowStartShare + (1-cold.SlowStartShare)*float64(second)/SpreadSlowStartTime.Seconds()
				limit := cold.SlowStartOverload * warm * cold.Tenants[0].Quota / servers
				got := make([]float64, servers+event.Added)
				for _, a := range all {
					if a.At >= from && a.At < from+time.Second {
						got[a.To]++
					}
				}
				most = max(most, slices.Max(got[servers:])/(limit+3*math.Sqrt(limit)+3))
			}
			t.Logf("heavy %v, seed %d: at most %.2f of the slow-start limit", heavy, seed, most)
			if most > 1 {
				t.Errorf("heavy %v, seed %d: a cold server got %.2f times its slow-start limit", heavy, seed, most)
			}
		}
	}
}
