package api

import (
	"testing"

	"caperarch/internal/mesh/goldentest"
)

// What other processes send and expect: testdata holds it as the release before wrote it.
func TestMessagesOnTheWire(t *testing.T) {
	goldentest.CheckJSON[HeartbeatRequest](t, "heartbeat")
	goldentest.CheckJSON[HeartbeatResponse](t, "heartbeat_answer")
	goldentest.CheckJSON[ChangeResponse](t, "change_answer")
}
