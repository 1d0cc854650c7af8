package swim_test

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"caperarch/internal/fleet/swim"
)

// The view of a node depends only on the set of rumours that it received, not on their order or
// number: nodes that received the same rumours have equal views and digests.
func TestViewsDoNotDependOnRumourOrder(t *testing.T) {
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
		views := [2]*testNode{newTestNode(t, 6), newTestNode(t, 6)}
		for v, node := range views {
			received := append([]swim.Rumour(nil), all...)
			for range v * 10 { // the second node receives some rumours twice
				received = append(received, all[rng.IntN(len(all))])
			}
			if v == 1 {
				rng.Shuffle(len(received), func(i, j int) { received[i], received[j] = received[j], received[i] })
			}
			for _, r := range received {
				node.receiveRumour(5, r)
			}
		}
		for i := 1; i < 5; i++ {
			state0, session0 := views[0].State(i)
			state1, session1 := views[1].State(i)
			if state0 != state1 || session0 != session1 {
				rt.Fatalf(
					"views of member %d differ: %v in session %v and %v in session %v",
					i, state0, session0, state1, session1,
				)
			}
		}
		session := swim.Session{Incarnation: 10}
		if x, y := views[0].pingFrom(5, session).Digest, views[1].pingFrom(5, session).Digest; x != y {
			rt.Fatalf("digests differ: %x and %x", x, y)
		}
	})
}
