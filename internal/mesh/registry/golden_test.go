package registry

import (
	"testing"

	"caperarch/internal/mesh/goldentest"
)

// Running processes of an earlier release send and expect these messages. The files in testdata were written by that
// release.
func TestMessagesOnTheWire(t *testing.T) {
	goldentest.CheckJSON[Lease](t, "lease")
	goldentest.CheckJSON[RemoteLease](t, "remote")
	goldentest.CheckJSON[Renewal](t, "renewal")
	goldentest.CheckJSON[UpstreamReport](t, "vouched")
	goldentest.CheckJSON[Upstream](t, "upstream")
}
