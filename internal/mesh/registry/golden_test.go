package registry

import (
	"testing"

	"caperarch/internal/mesh/goldentest"
)

// What other processes send and expect: testdata holds it as the release before wrote it.
func TestMessagesOnTheWire(t *testing.T) {
	goldentest.CheckJSON[Lease](t, "lease")
	goldentest.CheckJSON[RemoteLease](t, "remote")
	goldentest.CheckJSON[Renewal](t, "renewal")
	goldentest.CheckJSON[UpstreamReport](t, "vouched")
	goldentest.CheckJSON[Upstream](t, "upstream")
}
