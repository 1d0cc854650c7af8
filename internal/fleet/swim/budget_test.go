package swim_test

import (
	"testing"
	"time"

	"caperarch/internal/fleet/peer"
	"caperarch/internal/fleet/swim"
	"caperarch/internal/lab/swimsim"
)

// A fleet of 100 members that start together, each with a budget of 2 KiB/s, comes into contact and
// stays there. With a loss of up to 20 % of the datagrams, no live member is counted as gone. With
// a loss of 30 %, live members are rarely counted as gone, and only for a moment. If suspicions
// were gossiped before refutations, this would happen some 700 times.
func TestFleetStaysInContactWithinByteBudget(t *testing.T) {
	for _, loss := range []float64{0, 0.1, 0.2, 0.3} {
		net := swimsim.New(
			swimsim.Config{Size: 100, Seed: 1, Loss: loss, Bytes: peer.Size, BytesPerSecond: swim.DefaultBytesPerSecond},
		)
		net.Run(30 * time.Second)
		gone, lostContact := 0, 0
		net.OnChange = func(node int, c swim.Change) {
			if c.Member == node && !c.Contact {
				lostContact++
			} else if c.State == swim.Dead {
				gone++
			}
		}
		sentBefore := net.Sent
		net.Run(20 * time.Second)
		if inContact := net.InContact(); loss < 0.3 && (inContact != net.Size || gone+lostContact > 0) || gone > 200 {
			t.Errorf(
				"loss %v: %d of 100 members in contact, %d times counted as gone, %d times lost contact",
				loss, inContact, gone, lostContact,
			)
		}
		if datagramRate := float64(net.Sent-sentBefore) / 20 / 100; datagramRate > 40 {
			t.Errorf("loss %v: %.0f datagrams/s per member, want at most 40", loss, datagramRate)
		}
	}
}
