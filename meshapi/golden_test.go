package meshapi

import (
	"testing"

	"caperarch/internal/mesh/goldentest"
)

// Servers and operators' scripts depend on the JSON encoding of the messages. The files in testdata contain the
// encoding of the previous release.
func TestMessagesOnTheWire(t *testing.T) {
	goldentest.CheckJSON[NodeStatus](t, "view")
	goldentest.CheckJSON[Members](t, "members")
	goldentest.CheckJSON[UpstreamList](t, "upstream_list")
	goldentest.CheckJSON[HeartbeatRequest](t, "heartbeat")
	goldentest.CheckJSON[HeartbeatResponse](t, "heartbeat_answer")
	goldentest.CheckJSON[ChangeResponse](t, "change_answer")
}

func TestPaths(t *testing.T) {
	for want, got := range map[string]string{
		"/api/view":                                  NodeStatusPath,
		"/api/members":                               MembersPath,
		"/api/upstreams":                             UpstreamsPath,
		"/api/configuration/replace":                 ReplacePath,
		"/api/configuration/update":                  UpdatePath,
		"/api/configuration/describe":                DescribePath,
		"/api/instances/i-1/heartbeat":               InstancePath(HeartbeatPattern, "i-1"),
		"/api/instances/a%2Fb%20%7Bid%7D/deregister": InstancePath(DeregisterPattern, "a/b {id}"),
	} {
		if got != want {
			t.Errorf("path is %q, want %q", got, want)
		}
	}
}
