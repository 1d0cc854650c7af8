package sidecar

import (
	"testing"

	"caperarch/internal/mesh/goldentest"
)

// The messages that other processes send and expect; testdata holds them as the previous release wrote them.
func TestMessagesOnTheWire(t *testing.T) {
	goldentest.CheckJSON[AllocateRequest](t, "quota_request")
	goldentest.CheckJSON[AllocateResponse](t, "quota_response")
	// Messages of the last release without the floor lease.
	goldentest.CheckStillRead[AllocateRequest](t, "quota_ask")
	goldentest.CheckStillRead[AllocateResponse](t, "quota_answer")
	goldentest.CheckJSON[ConfigUpdate](t, "config_frame")
}

func TestQuotaPath(t *testing.T) {
	if AllocatePath != "/mesh/deal" {
		t.Errorf("sidecars request tokens at %q, want /mesh/deal", AllocatePath)
	}
}
