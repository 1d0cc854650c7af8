package cluster

import (
	"testing"

	"caperarch/internal/mesh/goldentest"
)

// What other processes send and expect: testdata holds it as the release before wrote it.
func TestMessagesOnTheWire(t *testing.T) {
	goldentest.CheckJSON[Announcement](t, "announcement")
	goldentest.CheckJSON[AnnounceRequest](t, "announce_request")
	goldentest.CheckStillRead[AnnounceRequest](t, "announcement") // of the release before lists had a digest
	goldentest.CheckJSON[AnnounceResponse](t, "peers")
}
