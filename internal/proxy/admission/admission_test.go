package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// play has a gate admit a request every 10 ms; the attempt of an admitted one ends 50 ms later with score(now). It
// returns the admitted share.
func play(g Gate, from, until time.Duration, score func(now time.Duration) float64) float64 {
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

// Guards against 10 s of rejections after a shortage of 3 s: Ratio counts its own rejections as failures.
func TestRecoveringRejectsNobodyAfterAShortage(t *testing.T) {
	back := 3 * time.Second
	good := func(now time.Duration) float64 {
		if now < back {
			return 0
		}
		return 1
	}
	for name, g := range map[string]Gate{
		"recovering": NewRecovering(rand.New(rand.NewPCG(1, 2)), NewHealth()),
		"ratio":      NewRatio(rand.New(rand.NewPCG(1, 2))),
	} {
		if during := play(g, 0, back, good); during > 0.5 {
			t.Errorf("%s: admits %.2f where nothing is answered", name, during)
		}
		play(g, back+100*ms, back+2000*ms, good)
		soon := play(g, back+2000*ms, back+3000*ms, good)
		if recovered := soon > 0.9; recovered != (name == "recovering") {
			t.Errorf("%s: admits %.2f in the third second after the shortage", name, soon)
		}
	}
}

// After any sequence of events the share stays within its bounds, and good answers bring it back to 1.
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
				t.Fatalf("share %v", g.share)
			}
		}
		well := func(time.Duration) float64 { return 1 }
		play(g, now, now+4*time.Second, well)
		if share := play(g, now+4*time.Second, now+5*time.Second, well); share < 1 {
			t.Fatalf("admits %v after 4 s of good answers", share)
		}
	})
}

// A budget is kept within any span; what is older than the span no longer counts.
func TestRetryBudgetHoldsWithinAnySpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := RetryBudget{RetryLimit: RetryLimit{
			Span:  time.Second,
			Free:  float64(rapid.IntRange(0, 3).Draw(t, "free")),
			Share: rapid.Float64Range(0, 1).Draw(t, "share"),
		}}
		var requests, retries []time.Duration
		now := time.Hour
		since := func(list []time.Duration, from time.Duration) (n int) {
			for _, at := range list {
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
				n, allowed := since(retries, now-b.Span), b.Free+b.Share*float64(since(requests, now-b.Span+1))
				if float64(n) > allowed {
					t.Fatalf("%d retries, %v allowed", n, allowed)
				}
			}
		}
	})
}
