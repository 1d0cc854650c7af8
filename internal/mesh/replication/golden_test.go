package replication

import (
	"testing"

	"caperarch/internal/mesh/goldentest"
)

// What other processes send and expect: testdata holds it as the release before wrote it.
func TestMessagesOnTheWire(t *testing.T) {
	goldentest.CheckJSON[letter](t, "post")
	goldentest.CheckJSON[Message](t, "message")
	goldentest.CheckJSON[HardState](t, "hard_state")
	goldentest.CheckJSON[identity](t, "identity")
	goldentest.CheckJSON[Membership](t, "membership")
	goldentest.CheckJSON[Entry](t, "entry")
}
