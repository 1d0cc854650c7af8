package swim_test

import (
	"testing"
	"time"

	"caperarch/internal/fleet/peer"
	"caperarch/internal/fleet/swim"
	"caperarch/internal/lab/swimsim"
)

// A hundred that start together, each with two KiB a second, come into contact and stay there;
// where up to a fifth of the datagrams is lost nobody who lives is counted as gone, and at three in
// ten few are, for a moment (some 700 sights of it where refutations stand behind accusations).
func TestHundredWithinTheirBudget(t *testing.T) {
	for _, loss := range []float64{0, 0.1, 0.2, 0.3} {
		n := swimsim.New(
			swimsim.Config{Size: 100, Seed: 1, Loss: loss, Bytes: peer.Size, BytesPerSecond: swim.DefaultBytesPerSecond},
		)
		n.Run(30 * time.Second)
		gone, lapsed := 0, 0
		n.OnChange = func(node int, c swim.Change) {
			if c.Member == node && !c.Contact {
				lapsed++
			} else if c.State == swim.Dead {
				gone++
			}
		}
		before := n.Sent
		n.Run(20 * time.Second)
		if in := n.InContact(); loss < 0.3 && (in != n.Size || gone+lapsed > 0) || gone > 200 {
			t.Errorf("loss %v: %d in contact, %d counted as gone, %d lapses", loss, in, gone, lapsed)
		}
		if each := float64(n.Sent-before) / 20 / 100; each > 40 {
			t.Errorf("loss %v: %.0f datagrams a second each", loss, each)
		}
	}
}
