package emulator

import (
	"math"
	"slices"
	"testing"
	"time"

	"caperarch/internal/lab/loadspread"
)

// Guards against arcs that lie over some servers more often than over others: worse than chance
// over ten seconds, with nothing wrong, though each sidecar's own turns are even.
func TestEvenFromThinViews(t *testing.T) {
	for _, d := range []EvenDay{
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
		t.Logf("%d sidecars before %d: variance over mean %.2f in 1 s, %.2f in 10 s, by chance %.2f",
			d.Sidecars, d.Servers, short, long, chance)
		if short > 0.6 || long > 0.7 {
			t.Errorf("%d sidecars before %d: variance over mean %.2f in 1 s, %.2f in 10 s", d.Sidecars,
				d.Servers, short, long)
		}
	}
}

// meanVariance plays a day from some seeds and returns the mean variance over mean and greatest over mean in 10 s.
func meanVariance(t *testing.T, d EvenDay, from time.Duration, seeds uint64) (variance, greatest float64) {
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

// Guards against the few that have most of the traffic: each keeps to an arc of its own, and where
// these lie side by side their servers have a third more than the others.
func TestHeavySidecarsSpreadWide(t *testing.T) {
	d := EvenDay{Sidecars: 300, Servers: 60, RatePerSidecar: 4, Heavy: true, Until: 60 * time.Second}
	variance, greatest := meanVariance(t, d, 30*time.Second, 2)
	t.Logf("a tenth has half of it: variance over mean %.2f, greatest %.2f", variance, greatest)
	if variance > 1.1 || greatest > 1.25 {
		t.Errorf("a tenth has half of it: variance over mean %.2f, greatest %.2f", variance, greatest)
	}
}

// Where those that live know who does not, they close the gaps; where they know it wrongly, each in
// its own way, they are no worse than by chance.
func TestEvenAmongThoseThatLive(t *testing.T) {
	d := EvenDay{Sidecars: 100, Servers: 20, RatePerSidecar: 4, Dead: 0.2, Until: 50 * time.Second}
	blind, _ := meanVariance(t, d, 10*time.Second, 3)
	d.Known = true
	known, _ := meanVariance(t, d, 10*time.Second, 3)
	d.Dead, d.Wrong = 0, true
	wrong, _ := meanVariance(t, d, 10*time.Second, 3)
	t.Logf("a fifth is dead: variance over mean %.2f, %.2f where that is known; %.2f where each "+
		"believes another fifth to be", blind, known, wrong)
	if known > 0.45 || known > 0.7*blind {
		t.Errorf("a fifth is dead: variance over mean %.2f, %.2f where that is known", blind, known)
	}
	if wrong > 1.2 {
		t.Errorf("variance over mean %.2f where each believes another fifth to be dead", wrong)
	}
}

// Behind what all notice at about the same moment nobody is overrun and nobody left idle; what was
// touched has its part again.
func TestEventsPutNobodyInStep(t *testing.T) {
	for _, event := range EvenEvents(20) {
		t.Run(event.Name, func(t *testing.T) {
			t.Parallel()
			d := EvenDay{Sidecars: 100, Servers: 20, RatePerSidecar: 4, Until: event.End + 34*time.Second,
				Event: &event}
			worst, chance := 0.0, 0.0
			for seed := range uint64(3) {
				all, _, err := d.Run(seed)
				if err != nil {
					t.Fatal(err)
				}
				b := event.Judge(all, d.Servers, d.Until, seed)
				t.Logf("seed %d: %+v", seed, b)
				worst, chance = worst+b.Worst, chance+b.Chance
				if b.Idle > 0.01 || b.Recovery < 0 || b.Recovery > 26*time.Second {
					t.Errorf("seed %d: idle %.3f, back after %v", seed, b.Idle, b.Recovery)
				}
			}
			if worst > 1.1*chance {
				t.Errorf("greatest over mean in the worst second %.2f, by chance %.2f", worst/3, chance/3)
			}
		})
	}
}

// Rule 4 goes before evenness: where all but one have just come, they get, in each of their first
// seconds and by all sidecars together, no more than the settings have them bear, though traffic is
// more.
func TestColdBudgetGoesBeforeEvenness(t *testing.T) {
	const servers = 20
	event := EvenEvent{At: eventAt, End: eventAt + EvenColdTime, Removed: servers - 1, Added: servers - 1,
		Play: func(f *Fleet) {
			f.At(eventAt, func() { f.Add(f.Remove(servers - 1)) })
		}}
	for _, heavy := range []bool{false, true} {
		d := EvenDay{Sidecars: 100, Servers: servers, RatePerSidecar: 8, Heavy: heavy, Cold: 1,
			Until: event.End, Event: &event}
		for seed := range uint64(3) {
			all, _, err := d.Run(seed)
			if err != nil {
				t.Fatal(err)
			}
			cold, most := d.config(seed).Module, 0.0
			for second := range int(EvenColdTime / time.Second) {
				from := event.At + time.Duration(second)*time.Second
				warm := cold.SlowStartShare + (1-cold.SlowStartShare)*float64(second)/EvenColdTime.Seconds()
				bears := cold.SlowStartOverload * warm * cold.Tenants[0].Quota / servers
				got := make([]float64, servers+event.Added)
				for _, a := range all {
					if a.At >= from && a.At < from+time.Second {
						got[a.To]++
					}
				}
				most = max(most, slices.Max(got[servers:])/(bears+3*math.Sqrt(bears)+3))
			}
			t.Logf("heavy %v, seed %d: at most %.2f of what one bears", heavy, seed, most)
			if most > 1 {
				t.Errorf("heavy %v, seed %d: one got %.2f times what it bears", heavy, seed, most)
			}
		}
	}
}
