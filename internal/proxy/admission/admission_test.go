package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// simulate passes a request to a gate every 10 ms. The attempt of an admitted request ends 50 ms later, with the score
// that score returns for that time. simulate returns the fraction of the requests that the gate admitted.
func simulate(g Gate, from, until time.Duration, score func(now time.Duration) float64) float64 {
	requests, admitted := 0, 0
	var ends []time.Duration
	for now := from; now < until; now += 10 * ms {
		for len(ends) > 0 && ends[0] <= now {
			g.AttemptEnded(now, AttemptEnd{Score: score(now), Duration: 50 * ms, LatencyTarget: 100 * ms})
			ends = ends[1:]
		}
		requests++
		if g.Admit(now, 1) {
			admitted++
			g.AttemptStarted(now)
			ends = append(ends, now+50*ms)
		}
	}
	return float64(admitted) / float64(requests)
}

// Guards against rejections that go on for 10 s after a shortage of 3 s, as with Ratio, which counts its own rejections
// as failures. Recovering must admit nearly all requests in the third second after the shortage.
func TestRecoveringAdmitsRequestsAfterAShortage(t *testing.T) {
	shortageEnd := 3 * time.Second
	score := func(now time.Duration) float64 {
		if now < shortageEnd {
			return 0
		}
		return 1
	}
	for name, g := range map[string]Gate{
		"recovering": NewRecovering(rand.New(rand.NewPCG(1, 2)), NewHealth()),
		"ratio":      NewRatio(rand.New(rand.NewPCG(1, 2))),
	} {
		if during := simulate(g, 0, shortageEnd, score); during > 0.5 {
			t.Errorf("%s: admits a share of %.2f while no request is answered in time, want at most 0.5", name, during)
		}
		simulate(g, shortageEnd+100*ms, shortageEnd+2000*ms, score)
		later := simulate(g, shortageEnd+2000*ms, shortageEnd+3000*ms, score)
		if recovered := later > 0.9; recovered != (name == "recovering") {
			t.Errorf("%s: admits a share of %.2f in the third second after the shortage, want above 0.9 if recovering",
				name, later)
		}
	}
}

// After any sequence of events the share is within its bounds, and 4 s of answers in time return it to 1.
func TestRecoveringRecoversFromAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewRecovering(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), NewHealth())
		now := time.Hour
		for range rapid.IntRange(0, 300).Draw(t, "events") {
			now += time.Duration(rapid.Int64Range(0, int64(200*ms)).Draw(t, "passes"))
			if rapid.Bool().Draw(t, "ask") {
				g.Admit(now, rapid.Float64Range(0, 5).Draw(t, "value"))
			} else {
				score, ignored := rapid.Float64Range(0, 1).Draw(t, "score"), rapid.Bool().Draw(t, "ignored")
				g.AttemptEnded(now, AttemptEnd{Score: score, Ignored: ignored})
			}
			if !(g.share >= minShare && g.share <= 1) {
				t.Fatalf("share %v, want minShare to 1", g.share)
			}
		}
		alwaysInTime := func(time.Duration) float64 { return 1 }
		simulate(g, now, now+4*time.Second, alwaysInTime)
		if share := simulate(g, now+4*time.Second, now+5*time.Second, alwaysInTime); share < 1 {
			t.Fatalf("admits a share of %v after 4 s of answers in time, want 1", share)
		}
	})
}

// The number of retries within any Span stays within the limit; events older than the Span do not count.
func TestRetryBudgetHoldsWithinAnySpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := RetryBudget{RetryLimit: RetryLimit{
			Span:  time.Second,
			Free:  float64(rapid.IntRange(0, 3).Draw(t, "free")),
			Share: rapid.Float64Range(0, 1).Draw(t, "share"),
		}}
		var requests, retries []time.Duration
		now := time.Hour
		countSince := func(times []time.Duration, from time.Duration) (n int) {
			for _, at := range times {
				if at >= from {
					n++
				}
			}
			return n
		}
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now += time.Duration(rapid.Int64Range(0, int64(300*ms)).Draw(t, "passes"))
			if rapid.Bool().Draw(t, "request") {
				b.RecordRequest(now)
				requests = append(requests, now)
			} else if !b.Exhausted(now) {
				b.RecordRetry(now)
				retries = append(retries, now)
				n, allowed := countSince(retries, now-b.Span), b.Free+b.Share*float64(countSince(requests, now-b.Span+1))
				if float64(n) > allowed {
					t.Fatalf("%d retries, want at most %v", n, allowed)
				}
			}
		}
	})
}
