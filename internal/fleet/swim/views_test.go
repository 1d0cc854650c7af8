package swim_test

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"caperarch/internal/fleet/swim"
)

// Whatever order rumours come in, and however often, the view behind them is the same: so views
// that have heard the same are equal.
func TestViewsDoNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var all []swim.Rumour
		for range rapid.IntRange(1, 30).Draw(rt, "rumours") {
			all = append(all, swim.Rumour{
				Member: rapid.IntRange(1, 4).Draw(rt, "member"),
				Session: swim.Session{
					Incarnation: rapid.Uint64Range(11, 13).Draw(rt, "life"),
					Sequence:    rapid.Uint32Range(0, 2).Draw(rt, "turn"),
				},
				State:   swim.State(rapid.IntRange(1, 4).Draw(rt, "state")),
				Accuser: rapid.IntRange(1, 4).Draw(rt, "by"),
			})
		}
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "order"), 1))
		views := [2]*lone{newLone(t, 6), newLone(t, 6)}
		for v, l := range views {
			told := append([]swim.Rumour(nil), all...)
			for range v * 10 { // the second hears some twice
				told = append(told, all[rng.IntN(len(all))])
			}
			if v == 1 {
				rng.Shuffle(len(told), func(i, j int) { told[i], told[j] = told[j], told[i] })
			}
			for _, r := range told {
				l.say(5, r)
			}
		}
		for i := 1; i < 5; i++ {
			a, as := views[0].State(i)
			b, bs := views[1].State(i)
			if a != b || as != bs {
				rt.Fatalf("member %d: %v %v and %v %v", i, a, as, b, bs)
			}
		}
		session := swim.Session{Incarnation: 10}
		if x, y := views[0].ping(5, session).Digest, views[1].ping(5, session).Digest; x != y {
			rt.Fatalf("digests %x and %x", x, y)
		}
	})
}
