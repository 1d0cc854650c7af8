package sidecar

import (
	"fmt"
	"slices"
	"testing"

	"caperarch/internal/mesh/balancer"
	"caperarch/internal/mesh/registry"
	"caperarch/policy"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// localInbound is the address of the sidecar's own inbound listener, otherInbound that of another sidecar's.
const (
	localInbound = "10.1.0.40:8109"
	otherInbound = "10.1.0.41:8109"
)

// testUpstream returns an upstream in zone hall-a beside the sidecar with the given inbound address.
func testUpstream(
	instance, inbound string, state registry.State, sequence int64,
) registry.Upstream {
	return registry.Upstream{
		Instance: instance, Service: "s", Inbound: inbound, Zone: "hall-a", Slots: 4,
		State: state, Sequence: sequence,
	}
}

// listedStates returns the states of the upstreams in the balancer's list, by address.
func listedStates(e *endpoints) map[string]policy.State {
	all := make(map[string]policy.State)
	l := e.balancerListing()
	for _, u := range l.Servers {
		all[l.Addresses[u.ID]] = u.State
	}
	So(l.Servers, ShouldHaveLength, len(all))
	return all
}

func TestEndpointsPreferDirectReports(t *testing.T) {
	type states = map[string]policy.State
	type upstreams = []registry.Upstream
	local := func(instance string) string { return localInbound + " " + instance }
	// beat records a heartbeat of a local instance.
	beat := func(e *endpoints, instance string, state registry.State, sequence int64) bool {
		return e.recordHeartbeat(testUpstream(instance, "", state, sequence))
	}
	Convey("Heartbeats take precedence over pushed entries, and later heartbeats over earlier ones", t, func() {
		e := newEndpoints([]string{"hall-a", "hall-b"}, localInbound)
		e.apply(true, upstreams{
			testUpstream("i-0", localInbound, registry.Ready, 8),
			testUpstream("j", otherInbound, registry.Ready, 1),
			testUpstream("k", "", registry.Ready, 1),
		}, nil)
		So(listedStates(e), ShouldResemble, states{
			local("i-0"): policy.Ready, otherInbound + " j": policy.Ready,
		})
		So(beat(e, "i-1", registry.Ready, 4), ShouldBeTrue)
		So(listedStates(e), ShouldResemble, states{
			local("i-1"): policy.Ready, otherInbound + " j": policy.Ready,
		})
		So(e.adoptDiscovered(testUpstream("i-9", "", registry.Ready, 0)), ShouldBeFalse)
		So(beat(e, "i-1", registry.Ready, 3), ShouldBeFalse)
		So(beat(e, "i-1", registry.Draining, 3), ShouldBeFalse)
		So(e.localUpstream().Sequence, ShouldEqual, 4)
		So(beat(e, "i-1", registry.Draining, 5), ShouldBeTrue)
		So(beat(e, "i-1", registry.Ready, 4), ShouldBeFalse)
		So(beat(e, "i-1", registry.Ready, 5), ShouldBeFalse)
		e.apply(false, upstreams{testUpstream("i-1", localInbound, registry.Ready, 4)}, []string{"j"})
		So(listedStates(e), ShouldResemble, states{local("i-1"): policy.Draining})
		e.deregister("i-1")
		So(beat(e, "i-1", registry.Ready, 6), ShouldBeFalse)
		So(listedStates(e), ShouldBeEmpty)
		So(e.gateListing("a").Servers[0].State, ShouldEqual, policy.Deregistered)
		So(beat(e, "i-2", registry.Ready, 1), ShouldBeTrue)
		So(listedStates(e), ShouldResemble, states{local("i-2"): policy.Ready})
	})
	Convey("A pushed entry can change the local upstream to draining, but not back to ready", t, func() {
		e := newEndpoints(nil, localInbound)
		beat(e, "i-1", registry.Ready, 4)
		So(e.apply(false, upstreams{
			testUpstream("i-1", localInbound, registry.Draining, 3),
			testUpstream("i-2", localInbound, registry.Draining, 9),
		}, nil), ShouldBeFalse)
		So(e.localUpstream().State, ShouldEqual, registry.Ready)
		So(e.apply(false, upstreams{testUpstream("i-1", localInbound, registry.Draining, 5)}, nil), ShouldBeTrue)
		So(listedStates(e), ShouldResemble, states{local("i-1"): policy.Draining})
		So(e.apply(false, upstreams{testUpstream("i-1", localInbound, registry.Ready, 6)}, nil), ShouldBeFalse)
		So(beat(e, "i-1", registry.Ready, 4), ShouldBeFalse)
		So(listedStates(e), ShouldResemble, states{local("i-1"): policy.Draining})
	})
	Convey("A late heartbeat of a deregistered instance does not replace its successor", t, func() {
		e := newEndpoints(nil, localInbound)
		beat(e, "i-1", registry.Ready, 4)
		e.deregister("i-1")
		beat(e, "i-2", registry.Ready, 1)
		So(beat(e, "i-1", registry.Draining, 5), ShouldBeFalse)
		So(e.localUpstream().Instance, ShouldEqual, "i-2")
	})
}

// Guards against a late heartbeat of a former instance that was not known before and replaces its ready successor.
func TestLateHeartbeatOfFormerInstanceIsIgnored(t *testing.T) {
	e := newEndpoints(nil, localInbound)
	e.recordHeartbeat(testUpstream("i-2", "", registry.Ready, 1))
	for range 2 {
		recorded := e.recordHeartbeat(testUpstream("i-1", "", registry.Draining, 9))
		if recorded || e.localUpstream().Instance != "i-2" {
			t.Fatalf("heartbeat of the former instance i-1 recorded: %v, the local upstream is %+v, want i-2",
				recorded, e.localUpstream())
		}
	}
	if !e.recordHeartbeat(testUpstream("i-2", "", registry.Draining, 2)) ||
		!e.recordHeartbeat(testUpstream("i-3", "", registry.Ready, 1)) {
		t.Errorf("a heartbeat of the current or next instance was not recorded, the local upstream is %+v", e.localUpstream())
	}
}

// Only the upstream behind this sidecar's own gate is listed in zone balancer.SameMachine.
func TestListingMarksTheUpstreamOnThisMachine(t *testing.T) {
	e := newEndpoints([]string{"a", "b"}, localInbound)
	e.apply(true, []registry.Upstream{
		testUpstream("pushed", localInbound, registry.Ready, 1), testUpstream("other", otherInbound, registry.Ready, 1),
	}, nil)
	zonesOf := func() map[string]int {
		zones, listing := map[string]int{}, e.balancerListing()
		for _, server := range listing.Servers {
			zones[listing.Names[server.ID]] = server.Zone
		}
		return zones
	}
	if got := zonesOf(); got["pushed"] != balancer.SameMachine || got["other"] != 0 {
		t.Errorf("zones by instance %v before the local upstream is known, want SameMachine for pushed and 0 for other", got)
	}
	e.recordHeartbeat(testUpstream("local", "", registry.Ready, 2))
	if got := zonesOf(); len(got) != 2 || got["local"] != balancer.SameMachine || got["other"] != 0 {
		t.Errorf("zones by instance %v, want SameMachine for local, 0 for other and no more", got)
	}
}

// hasReady must be true exactly if the balancer's list has a ready upstream.
func TestHasReadyAgreesWithBalancerListing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := newEndpoints(nil, localInbound)
		for step := range rapid.IntRange(1, 12).Draw(t, "steps") {
			instance := fmt.Sprintf("i-%d", rapid.IntRange(0, 2).Draw(t, "instance"))
			state := registry.State(rapid.IntRange(0, 2).Draw(t, "state"))
			full := rapid.Bool().Draw(t, "full")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				e.recordHeartbeat(testUpstream(instance, "", state, int64(step)))
			case 1:
				e.deregister(instance)
			case 2:
				e.apply(full, []registry.Upstream{testUpstream(instance, localInbound, state, 1)}, nil)
			default:
				e.apply(full, []registry.Upstream{testUpstream("j", otherInbound, state, 1)}, []string{instance})
			}
			servers := e.balancerListing().Servers
			ready := slices.ContainsFunc(servers, func(u policy.Server) bool { return u.State == policy.Ready })
			if e.hasReady() != ready {
				t.Fatalf("hasReady is %v, but the balancer's list is %+v", e.hasReady(), servers)
			}
		}
	})
}
