package sidecar

import (
	"testing"

	"caperarch/internal/mesh/goldentest"
)

// What other processes send and expect: testdata holds it as the release before wrote it.
func TestMessagesOnTheWire(t *testing.T) {
	goldentest.CheckJSON[DealAsk](t, "quota_ask")
	goldentest.CheckJSON[Dealt](t, "quota_answer")
	goldentest.CheckJSON[Frame](t, "config_frame")
}
