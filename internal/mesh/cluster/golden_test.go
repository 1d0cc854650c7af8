package cluster

import (
	"testing"

	"caperarch/internal/mesh/goldentest"
)

// What other processes send and expect: testdata holds it as the release before wrote it.
func TestMessagesOnTheWire(t *testing.T) {
	goldentest.CheckJSON[Announcement](t, "announcement")
	goldentest.CheckJSON[AnnounceResponse](t, "peers")
}
