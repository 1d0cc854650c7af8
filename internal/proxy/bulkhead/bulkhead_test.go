package bulkhead

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// In any order of events, and with a clock that stands still or jumps, the limit is finite and at least one, and
// slower answers never raise it.
func TestLimitStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(rapid.Float64Range(0, 600).Draw(t, "hold"))
		b.EvenShare = rapid.Float64Range(0, 1e9).Draw(t, "even")
		now := time.Hour
		for range rapid.IntRange(0, 100).Draw(t, "events") {
			now += time.Duration(rapid.Int64Range(-int64(time.Second), int64(time.Hour)).Draw(t, "passes"))
			if rapid.Bool().Draw(t, "came") {
				b.RecordRequest(now)
			} else {
				b.RecordLatency(now, rapid.Float64Range(0, 1000).Draw(t, "took"))
			}
			limit := b.Limit(now, 1, 1<<20)
			if !(limit >= 1) || math.IsInf(limit, 0) {
				t.Fatalf("limit %v", limit)
			}
			slower := b
			slower.RecordLatency(now, math.Exp(b.congestion)*10+1)
			if more := slower.Limit(now, 1, 1<<20); more > limit {
				t.Fatalf("limit %v, after a slower answer %v", limit, more)
			}
		}
	})
}

// Under congestion the limit of a balancer follows its own traffic: that of a heavy one is higher than that of a
// light one, and both fall below two fifths where answers take twice as long.
func TestLimitFollowsTheBalancersOwnTraffic(t *testing.T) {
	limit := func(rate, latency float64) float64 {
		b := New(0.06)
		b.EvenShare = 1.2
		now := time.Hour
		for range int(60 * rate) {
			now += time.Duration(float64(time.Second) / rate)
			b.RecordRequest(now)
			b.RecordLatency(now, latency)
		}
		return b.Limit(now, 1, 1<<20)
	}
	light, heavy := limit(4, 0.2), limit(100, 0.2)
	if light > 6 || heavy < 2*light || heavy > 24 {
		t.Errorf("limit %.1f at 4 requests a second, %.1f at 100", light, heavy)
	}
	if l, h := limit(4, 0.4), limit(100, 0.4); l > 0.4*light || h > 0.4*heavy {
		t.Errorf("limits %.1f and %.1f, where answers take twice as long %.1f and %.1f", light, heavy, l, h)
	}
}

// One long answer in ten is no congestion, slow answers are.
func TestFewLongAnswersAreNoCongestion(t *testing.T) {
	b := New(0.06)
	now := time.Hour
	for i := range 100 {
		now += 50 * time.Millisecond
		latency := 0.1
		if i%10 == 0 {
			latency = 1
		}
		b.RecordLatency(now, latency)
		if b.Congested() && i > 20 {
			t.Fatalf("congested at answer %d, nine of ten are quick", i)
		}
	}
	for range 16 {
		now += 50 * time.Millisecond
		b.RecordLatency(now, 0.4)
	}
	if !b.Congested() {
		t.Fatal("not congested after 16 slow answers")
	}
}

// Guards against ten seconds in which a new balancer takes its traffic for the mean one: a release replaces most
// processes, and heavy ones refused a fifth of their requests for that time.
func TestNewBalancerLearnsItsTrafficSoon(t *testing.T) {
	old, young := New(0.06), New(0.06)
	old.EvenShare, young.EvenShare = 0.3, 0.3
	now := time.Hour
	for i := range 4000 {
		now += 10 * time.Millisecond
		old.RecordRequest(now)
		if i >= 3800 { // two seconds before
			young.RecordRequest(now)
		}
	}
	if y, o := young.Limit(now, 1, 1<<20), old.Limit(now, 1, 1<<20); y < 0.7*o {
		t.Errorf("limit %.1f two seconds after the start, %.1f long after", y, o)
	}
}

// Guards against a tenant that floods and uses up the limit: the other has attempts up to its share.
func TestTenantFloodLeavesOthersTheirShare(t *testing.T) {
	b := New(0.06)
	b.EvenShare = 3
	limit := b.Limit(time.Hour, 0.2, 1<<20)
	inFlight := int(limit) + 1 // of the flood
	if float64(inFlight) < b.Limit(time.Hour, 0.2, inFlight) || float64(inFlight) >= b.Limit(time.Hour, 0.8, 0) {
		t.Errorf("%d in flight: limit %.1f, for the other tenant %.1f", inFlight, limit, b.Limit(time.Hour, 0.8, 0))
	}
}
