package meshclient

import (
	"testing"

	"caperarch/internal/mesh/goldentest"
)

// Servers and operators' scripts depend on the JSON encoding of the messages. The files in testdata contain the
// encoding of the previous release.
func TestMessagesOnTheWire(t *testing.T) {
	goldentest.CheckJSON[Document](t, "document")
	goldentest.CheckJSON[Change](t, "change")
}
