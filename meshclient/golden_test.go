package meshclient

import (
	"testing"

	"caperarch/internal/mesh/goldentest"
)

// What servers and scripts send and expect: testdata holds it as the release before wrote it.
func TestMessagesOnTheWire(t *testing.T) {
	goldentest.CheckJSON[Document](t, "document")
	goldentest.CheckJSON[Change](t, "change")
}
