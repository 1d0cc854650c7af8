package meshapi

import (
	"testing"

	"caperarch/internal/mesh/goldentest"
)

// What servers and scripts send and expect: testdata holds it as the release before wrote it.
func TestMessagesOnTheWire(t *testing.T) {
	goldentest.CheckJSON[NodeStatus](t, "view")
	goldentest.CheckJSON[Members](t, "members")
	goldentest.CheckJSON[UpstreamList](t, "upstream_list")
}

func TestPathsOfInspection(t *testing.T) {
	for want, got := range map[string]string{
		"/api/view":      NodeStatusPath,
		"/api/members":   MembersPath,
		"/api/upstreams": UpstreamsPath,
	} {
		if got != want {
			t.Errorf("a path is %q, want %q", got, want)
		}
	}
}
