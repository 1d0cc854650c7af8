package api

import (
	"testing"

	"caperarch/internal/mesh/goldentest"
)

// What other processes send and expect: testdata holds it as the release before wrote it.
func TestMessagesOnTheWire(t *testing.T) {
	goldentest.CheckJSON[Beat](t, "heartbeat")
	goldentest.CheckJSON[Acknowledged](t, "heartbeat_answer")
	goldentest.CheckJSON[Taken](t, "change_answer")
}
