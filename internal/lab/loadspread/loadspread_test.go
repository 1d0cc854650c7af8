package loadspread

import (
	"math"
	"testing"
	"time"
)

// Chance comes out at 1, one round robin for all at next to nothing, all at one upstream far above.
func TestSpread(t *testing.T) {
	weights := []float64{1, 1, 2, 1, 1, 2, 1, 1, 1, 1}
	var all []Arrival
	for i := range 60_000 {
		all = append(all, Arrival{At: time.Duration(i) * 2 * time.Millisecond, From: i % 7})
	}
	chance := Measure(Random(all, weights, 1), weights, 0, 2*time.Minute, time.Second)
	if math.Abs(chance.Variance-1) > 0.1 || chance.Greatest < 1.1 || chance.Idle != 0 || chance.Due != 1 {
		t.Errorf("chance: %+v", chance)
	}
	if limit := Measure(RoundRobin(all, weights), weights, 0, 2*time.Minute, time.Second); limit.Variance > 0.02 ||
		limit.Greatest > 1.05 {
		t.Errorf("one round robin: %+v", limit)
	}
	if one := Measure(all, weights, 0, 2*time.Minute, time.Second); one.Greatest < 11 || one.Idle < 0.85 {
		t.Errorf("all at one: %+v", one)
	}
	if a := Coincidence(Random(all, weights, 2), weights, 10*time.Millisecond); math.Abs(a-1) > 0.05 {
		t.Errorf("chance is alike %v", a)
	}
	if a := Coincidence(all, weights, 10*time.Millisecond); a < 7 {
		t.Errorf("all at one is alike %v", a)
	}
	if s := Measure(nil, weights, 0, time.Second, time.Minute); s.Variance != 0 {
		t.Errorf("nothing: %+v", s)
	}
}

// An upstream that is not there counts for nothing; one that comes back is back from the window on
// in which it has half of its part, for good.
func TestBackAndAbsent(t *testing.T) {
	weights := []float64{0, 1, 1}
	var all []Arrival
	for i := range 4000 {
		at, to := time.Duration(i)*5*time.Millisecond, 1+i%2
		switch {
		case at < 6*time.Second, at >= 8*time.Second && at < 10*time.Second: // away, and once more
			to = 1
		case at < 8*time.Second && i%8 != 0: // an eighth of all: a quarter of its part
			to = 1
		}
		all = append(all, Arrival{At: at, To: to})
	}
	if back := RecoveryTime(all, weights, 2, 4*time.Second, 20*time.Second, 2*time.Second); back != 6*time.Second {
		t.Errorf("back after %v, want 6 s", back)
	}
	if back := RecoveryTime(all[:1000], weights, 2, 0, 5*time.Second, time.Second); back >= 0 {
		t.Errorf("one that never came is back after %v", back)
	}
	if s := Measure(RoundRobin(all, []float64{0, 1, 1}), weights, 0, 20*time.Second,
		time.Second); s.Variance > 0.02 || s.Worst > 1.05 {
		t.Errorf("with one that is not there: %+v", s)
	}
}

// Random of two by one's own view is evener than chance where a sender has many out, and chance where it has none.
func TestTwo(t *testing.T) {
	weights := []float64{1, 1, 1, 1, 1, 1}
	var all []Arrival
	for i := range 30_000 {
		all = append(all, Arrival{At: time.Duration(i) * time.Millisecond, From: i % 2})
	}
	many := Measure(TwoChoices(all, weights, 100*time.Millisecond, 1), weights, 0, 30*time.Second, time.Second).Variance
	none := Measure(TwoChoices(all, weights, 0, 1), weights, 0, 30*time.Second, time.Second).Variance
	if many > 0.5 || math.Abs(none-1) > 0.25 {
		t.Errorf("variance over mean %.2f with many out, %.2f with none", many, none)
	}
}
