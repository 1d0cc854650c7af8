package watch

import (
	"testing"

	"caperarch/internal/mesh/goldentest"
)

// What other processes send and expect: testdata holds it as the release before wrote it.
func TestMessagesOnTheWire(t *testing.T) {
	goldentest.CheckJSON[LeaseResponse](t, "lease_response")
	// Core machines of the release before incarnations were raised.
	goldentest.CheckStillRead[LeaseResponse](t, "lease_answer")
	goldentest.CheckJSON[watchRequest](t, "watch_request")
	goldentest.CheckJSON[frame](t, "frame")
	goldentest.CheckJSON[gossipRequest](t, "gossip")
	goldentest.CheckJSON[gossipResponse](t, "gossip_answer")
	goldentest.CheckJSON[memberListResponse](t, "roll_answer")
}

func TestPaths(t *testing.T) {
	for want, got := range map[string]string{
		"/mesh/lease":  leasePath,
		"/mesh/watch":  watchPath,
		"/mesh/gossip": gossipPath,
		"/mesh/roll":   memberListPath,
	} {
		if got != want {
			t.Errorf("a path is %q, want %q", got, want)
		}
	}
}
