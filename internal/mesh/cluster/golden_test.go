package cluster

import (
	"testing"

	"caperarch/internal/mesh/goldentest"
)

// TestMessagesOnTheWire checks the JSON forms of the messages that other processes send and expect. The
// files in testdata were written by the previous release.
func TestMessagesOnTheWire(t *testing.T) {
	goldentest.CheckJSON[Announcement](t, "announcement")
	goldentest.CheckJSON[AnnounceRequest](t, "announce_request")
	goldentest.CheckStillRead[AnnounceRequest](t, "announcement") // sent by releases without knownMachines
	goldentest.CheckJSON[AnnounceResponse](t, "peers")
}
