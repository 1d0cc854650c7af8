package bulkhead

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// In any order of events, also with a clock that stands still, jumps ahead or goes back, the limit is finite and at
// least 1, and a slower answer never raises it.
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
				t.Fatalf("limit %v, want it finite and at least 1", limit)
			}
			slower := b
			slower.RecordLatency(now, math.Exp(b.congestion)*10+1)
			if lower := slower.Limit(now, 1, 1<<20); lower > limit {
				t.Fatalf("limit %v, after a slower answer %v, want no increase", limit, lower)
			}
		}
	})
}

// Under congestion the limit of a balancer follows the balancer's own traffic: with heavy traffic the limit is at least
// twice as high as with light traffic. Both limits fall to two fifths or less if answers take twice as long.
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
		t.Errorf("limit %.1f at 4 requests a second, %.1f at 100; want at most 6, and twice as much up to 24", light, heavy)
	}
	if l, h := limit(4, 0.4), limit(100, 0.4); l > 0.4*light || h > 0.4*heavy {
		t.Errorf("limits %.1f and %.1f, with twice the latency %.1f and %.1f, want at most 0.4 of each", light, heavy, l, h)
	}
}

// One long answer in ten does not count as congestion; 16 slow answers in a row do.
func TestFewLongAnswersAreNotCongestion(t *testing.T) {
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
			t.Fatalf("congested at answer %d although nine of ten answers are fast", i)
		}
	}
	for range 16 {
		now += 50 * time.Millisecond
		b.RecordLatency(now, 0.4)
	}
	if !b.Congested() {
		t.Fatal("not congested after 16 slow answers in a row")
	}
}

// Guards against a new balancer that assumes the even traffic for its first ten seconds. A release replaces most
// processes, and new balancers with heavy traffic refused a fifth of their requests for that time.
func TestNewBalancerMeasuresItsTrafficWithinTwoSeconds(t *testing.T) {
	established, started := New(0.06), New(0.06)
	established.EvenShare, started.EvenShare = 0.3, 0.3
	now := time.Hour
	for i := range 4000 {
		now += 10 * time.Millisecond
		established.RecordRequest(now)
		if i >= 3800 { // the last two seconds
			started.RecordRequest(now)
		}
	}
	if s, e := started.Limit(now, 1, 1<<20), established.Limit(now, 1, 1<<20); s < 0.7*e {
		t.Errorf("limit %.1f two seconds after the start, %.1f after 40 s, want at least 0.7 of that", s, e)
	}
}

// Guards against a tenant whose flood of requests uses up the limit: another tenant may still send attempts up to its
// share.
func TestTenantFloodLeavesOthersTheirShare(t *testing.T) {
	b := New(0.06)
	b.EvenShare = 3
	limit := b.Limit(time.Hour, 0.2, 1<<20)
	inFlight := int(limit) + 1 // attempts of the flooding tenant
	if float64(inFlight) < b.Limit(time.Hour, 0.2, inFlight) || float64(inFlight) >= b.Limit(time.Hour, 0.8, 0) {
		t.Errorf("%d attempts in flight: limit %.1f, want it reached; for the other tenant %.1f, want it not reached",
			inFlight, limit, b.Limit(time.Hour, 0.8, 0))
	}
}
