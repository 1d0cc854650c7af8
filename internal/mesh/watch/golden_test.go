package watch

import (
	"testing"

	"caperarch/internal/mesh/goldentest"
)

// The messages must keep the JSON encoding that processes of the previous release send and expect, which
// testdata holds.
func TestMessagesOnTheWire(t *testing.T) {
	goldentest.CheckJSON[leaseRequest](t, "lease_request_instance")
	goldentest.CheckStillRead[leaseRequest](t, "lease_request") // written before requests named a new instance
	goldentest.CheckJSON[LeaseResponse](t, "lease_response_deregistered")
	// Responses of core machines of earlier releases: without deregistered instances, without a version, without a
	// digest of the list, and without the newer incarnation.
	goldentest.CheckStillRead[LeaseResponse](t, "lease_response_version")
	goldentest.CheckStillRead[LeaseResponse](t, "lease_response_digest")
	goldentest.CheckStillRead[LeaseResponse](t, "lease_response")
	goldentest.CheckStillRead[LeaseResponse](t, "lease_answer")
	goldentest.CheckJSON[watchRequest](t, "watch_request")
	goldentest.CheckJSON[frame](t, "frame_holders")
	goldentest.CheckStillRead[frame](t, "frame") // written before counts included share holders
	goldentest.CheckJSON[gossipRequest](t, "gossip")
	goldentest.CheckJSON[gossipResponse](t, "gossip_answer")
	goldentest.CheckJSON[memberListResponse](t, "roll_answer_silent")
	goldentest.CheckStillRead[memberListResponse](t, "roll_answer") // written before member lists included silent sidecars
}

func TestPaths(t *testing.T) {
	for want, got := range map[string]string{
		"/mesh/lease":  leasePath,
		"/mesh/watch":  watchPath,
		"/mesh/gossip": gossipPath,
		"/mesh/roll":   memberListPath,
	} {
		if got != want {
			t.Errorf("path of an endpoint is %q, want %q", got, want)
		}
	}
}
