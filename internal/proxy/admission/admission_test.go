package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// play asks a gate every 10 ms from a time on, each let in ends 50 ms later as good as good says, and returns the share let in.
func play(g Gate, from, until time.Duration, good func(now time.Duration) float64) float64 {
	asked, let := 0, 0
	var ends []time.Duration
	for now := from; now < until; now += 10 * ms {
		for len(ends) > 0 && ends[0] <= now {
			g.AttemptEnded(now, AttemptEnd{Score: good(now), Duration: 50 * ms, LatencyTarget: 100 * ms})
			ends = ends[1:]
		}
		if asked++; g.Admit(now, 1) {
			let++
			g.AttemptStarted(now)
			ends = append(ends, now+50*ms)
		}
	}
	return float64(let) / float64(asked)
}

// Guards against 10 s of refusals after a shortage of 3 s: the old ratio counts what it turned away against itself.
func TestAShortageThatIsOverTurnsNobodyAway(t *testing.T) {
	back := 3 * time.Second
	good := func(now time.Duration) float64 {
		if now < back {
			return 0
		}
		return 1
	}
	for name, g := range map[string]Gate{
		"recovering": NewRecovering(rand.New(rand.NewPCG(1, 2)), NewHealth()), "ratio": NewRatio(rand.New(rand.NewPCG(1, 2))),
	} {
		if during := play(g, 0, back, good); during > 0.5 {
			t.Errorf("%s: lets %.2f in where nothing is answered", name, during)
		}
		play(g, back+100*ms, back+2000*ms, good)
		soon := play(g, back+2000*ms, back+3000*ms, good)
		if recovered := soon > 0.9; recovered != (name == "recovering") {
			t.Errorf("%s: lets %.2f in in the third second behind the shortage", name, soon)
		}
	}
}

// Whatever happens: it draws only where not all may try, never shuts for good, and where all is well lets all in.
func TestRecoveringFindsBackFromAnything(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewRecovering(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), NewHealth())
		now := time.Hour
		for range rapid.IntRange(0, 300).Draw(t, "events") {
			now += time.Duration(rapid.Int64Range(0, int64(200*ms)).Draw(t, "passes"))
			if rapid.Bool().Draw(t, "ask") {
				g.Admit(now, rapid.Float64Range(0, 5).Draw(t, "worth"))
			} else {
				g.AttemptEnded(now, AttemptEnd{Score: rapid.Float64Range(0, 1).Draw(t, "good"), Ignored: rapid.Bool().Draw(t, "mute")})
			}
			if !(g.share >= minShare && g.share <= 1) {
				t.Fatalf("share %v", g.share)
			}
		}
		well := func(time.Duration) float64 { return 1 }
		play(g, now, now+4*time.Second, well)
		if share := play(g, now+4*time.Second, now+5*time.Second, well); share < 1 {
			t.Fatalf("lets %v in after 4 s of good answers", share)
		}
	})
}

// A budget holds within any span, and gives back what left it.
func TestBudgetHoldsWithinAnySpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := RetryBudget{RetryLimit: RetryLimit{Span: time.Second, Free: float64(rapid.IntRange(0, 3).Draw(t, "free")), Share: rapid.Float64Range(0, 1).Draw(t, "share")}}
		var taken, tried []time.Duration
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
				taken = append(taken, now)
			} else if !b.Exhausted(now) {
				b.RecordRetry(now)
				tried = append(tried, now)
				if n, most := since(tried, now-b.Span), b.Free+b.Share*float64(since(taken, now-b.Span+1)); float64(n) > most {
					t.Fatalf("%d further attempts, %v allowed", n, most)
				}
			}
		}
	})
}
