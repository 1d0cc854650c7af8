package watch

import (
	"testing"

	"caperarch/internal/mesh/goldentest"
)

// What other processes send and expect: testdata holds it as the release before wrote it.
func TestMessagesOnTheWire(t *testing.T) {
	goldentest.CheckJSON[leaseRequest](t, "lease_request")
	goldentest.CheckJSON[LeaseResponse](t, "lease_response_version")
	// Core machines of the releases before responses had a version, lists a digest, and incarnations were raised.
	goldentest.CheckStillRead[LeaseResponse](t, "lease_response_digest")
	goldentest.CheckStillRead[LeaseResponse](t, "lease_response")
	goldentest.CheckStillRead[LeaseResponse](t, "lease_answer")
	goldentest.CheckJSON[watchRequest](t, "watch_request")
	goldentest.CheckJSON[frame](t, "frame_holders")
	goldentest.CheckStillRead[frame](t, "frame") // before share holders were counted
	goldentest.CheckJSON[gossipRequest](t, "gossip")
	goldentest.CheckJSON[gossipResponse](t, "gossip_answer")
	goldentest.CheckJSON[memberListResponse](t, "roll_answer_silent")
	goldentest.CheckStillRead[memberListResponse](t, "roll_answer") // before silent sidecars were remembered
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
