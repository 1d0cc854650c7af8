package loadspread

import (
	"math"
	"testing"
	"time"
)

// A random spread has a variance of 1, a single round robin of nearly 0, and arrivals at a single upstream have a large
// ratio to the mean.
func TestSpread(t *testing.T) {
	weights := []float64{1, 1, 2, 1, 1, 2, 1, 1, 1, 1}
	var all []Arrival
	for i := range 60_000 {
		all = append(all, Arrival{At: time.Duration(i) * 2 * time.Millisecond, From: i % 7})
	}
	chance := Measure(Random(all, weights, 1), weights, 0, 2*time.Minute, time.Second)
	if math.Abs(chance.Variance-1) > 0.1 || chance.Greatest < 1.1 || chance.Idle != 0 || chance.Due != 1 {
		t.Errorf("random spread: %+v, want a variance of 1 and no idle upstreams", chance)
	}
	if limit := Measure(RoundRobin(all, weights), weights, 0, 2*time.Minute, time.Second); limit.Variance > 0.02 ||
		limit.Greatest > 1.05 {
		t.Errorf("round robin: %+v, want a variance near 0", limit)
	}
	if single := Measure(all, weights, 0, 2*time.Minute, time.Second); single.Greatest < 11 || single.Idle < 0.85 {
		t.Errorf("all at one upstream: %+v, want a large ratio and idle upstreams", single)
	}
	if a := Coincidence(Random(all, weights, 2), weights, 10*time.Millisecond); math.Abs(a-1) > 0.05 {
		t.Errorf("random spread: coincidence %v, want 1", a)
	}
	if a := Coincidence(all, weights, 10*time.Millisecond); a < 7 {
		t.Errorf("all at one upstream: coincidence %v, want at least 7", a)
	}
	if s := Measure(nil, weights, 0, time.Second, time.Minute); s.Variance != 0 {
		t.Errorf("no arrivals: %+v, want a variance of 0", s)
	}
}

// An absent upstream is not counted. An upstream has recovered from the window on from which it always gets at least
// half of its share.
func TestRecoveryTimeAndAbsentUpstreams(t *testing.T) {
	weights := []float64{0, 1, 1}
	var all []Arrival
	for i := range 4000 {
		at, to := time.Duration(i)*5*time.Millisecond, 1+i%2
		switch {
		case at < 6*time.Second, at >= 8*time.Second && at < 10*time.Second: // upstream 2 is absent
			to = 1
		case at < 8*time.Second && i%8 != 0: // upstream 2 gets an eighth of all arrivals, a quarter of its share
			to = 1
		}
		all = append(all, Arrival{At: at, To: to})
	}
	if recovery := RecoveryTime(
		all, weights, 2, 4*time.Second, 20*time.Second, 2*time.Second,
	); recovery != 6*time.Second {
		t.Errorf("recovery after %v, want 6 s", recovery)
	}
	if recovery := RecoveryTime(all[:1000], weights, 2, 0, 5*time.Second, time.Second); recovery >= 0 {
		t.Errorf("upstream without arrivals: recovery after %v, want a negative duration", recovery)
	}
	if s := Measure(RoundRobin(all, []float64{0, 1, 1}), weights, 0, 20*time.Second,
		time.Second); s.Variance > 0.02 || s.Worst > 1.05 {
		t.Errorf("with an absent upstream: %+v, want an even spread", s)
	}
}

// Two choices by the sender's own view are more even than random if the sender has many requests in flight, and random
// if it has none.
func TestTwoChoices(t *testing.T) {
	weights := []float64{1, 1, 1, 1, 1, 1}
	var all []Arrival
	for i := range 30_000 {
		all = append(all, Arrival{At: time.Duration(i) * time.Millisecond, From: i % 2})
	}
	many := Measure(TwoChoices(all, weights, 100*time.Millisecond, 1), weights, 0, 30*time.Second, time.Second).Variance
	none := Measure(TwoChoices(all, weights, 0, 1), weights, 0, 30*time.Second, time.Second).Variance
	if many > 0.5 || math.Abs(none-1) > 0.25 {
		t.Errorf("variance over mean %.2f with many requests in flight, want at most 0.5; %.2f with none, want 1",
			many, none)
	}
}
