package watch

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Bounds that the deployment of issue 85 requires: configApplyTime is the longest time until a sidecar has
// applied a configuration change, and contactWindow the time after a loss of connections within which the
// bound need not hold.
const (
	configApplyTime = 3 * time.Second
	contactWindow   = 5 * time.Second
)

// newSlowLink returns both ends of a connection on which every byte arrives after a delay; delay is called
// for each packet. No byte is lost, and up to 16384 packets can be in transit in each
// direction.
func newSlowLink(delay func() time.Duration) (local, remote net.Conn) {
	local, localFar := net.Pipe()
	remote, remoteFar := net.Pipe()
	go copyDelayed(localFar, remoteFar, delay)
	go copyDelayed(remoteFar, localFar, delay)
	return local, remote
}

// copyDelayed reads packets from one connection and writes each of them to the other after the delay.
func copyDelayed(from io.ReadCloser, to io.WriteCloser, delay func() time.Duration) {
	type packet struct {
		due  time.Time
		data []byte
	}
	queue := make(chan packet, 1<<14)
	go func() {
		defer to.Close()
		for p := range queue {
			<-time.After(time.Until(p.due))
			if _, err := to.Write(p.data); err != nil {
				from.Close()
			}
		}
	}()
	buffer := make([]byte, 4<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			queue <- packet{time.Now().Add(delay()), append([]byte(nil), buffer[:n]...)}
		}
		if err != nil {
			close(queue)
			return
		}
	}
}

// longestApplyTime publishes the versions from..to, one per second, and returns the longest time until the
// sidecar has applied a version. A version not yet applied at the end counts with its age.
func longestApplyTime(members []*testMember, s *testSidecar, from, to int64) (longest time.Duration) {
	published := map[int64]time.Time{}
	version := from
	check := func() {
		appliedVersion, _ := s.appliedVersion()
		for v, at := range published {
			longest = max(longest, time.Since(at))
			if v <= appliedVersion {
				delete(published, v)
			}
		}
	}
	for ; version <= to; version++ {
		for _, member := range members {
			member.publish(version)
		}
		published[version] = time.Now()
		for range 100 {
			advance(10 * ms)
			check()
		}
	}
	for range 500 {
		advance(10 * ms)
		check()
	}
	return longest
}

// startConfiguredSidecar starts a sidecar on the host "slow", whose link has no delay yet, and waits until
// the sidecar has applied a first version.
func startConfiguredSidecar(network *testNetwork, members []*testMember) *testSidecar {
	network.setDelay("slow", 0)
	s := network.testSidecar("slow", "zone-m1:1", memberAddresses[0])
	So(longestApplyTime(members, s, 1, 1), ShouldBeLessThan, time.Second)
	return s
}

func TestSidecarOnSlowLinkAppliesChangesInTime(t *testing.T) {
	const oneWay = 600 * ms
	title := "A sidecar whose link has become slow in both directions applies each change in time"
	runMesh(t, title, func(network *testNetwork, members []*testMember, _ []*testSidecar) {
		s := startConfiguredSidecar(network, members)
		defer s.stop()
		network.setDelay("slow", oneWay)
		So(longestApplyTime(members, s, 2, 20), ShouldBeLessThan, configApplyTime)
	})
	title = "After all connections on a slow link were reset, changes are applied in time after the contact window"
	runMesh(t, title, func(network *testNetwork, members []*testMember, _ []*testSidecar) {
		s := startConfiguredSidecar(network, members)
		defer s.stop()
		network.setDelay("slow", oneWay)
		advance(2 * time.Second)
		for _, address := range memberAddresses {
			network.blockLink("slow", address)
		}
		network.heal()
		advance(contactWindow)
		So(longestApplyTime(members, s, 2, 20), ShouldBeLessThan, configApplyTime)
	})
}

// Guards against a sidecar on a slow link that counts as unconfirmed although it applies every change as soon
// as the link delivers it: such a sidecar responded with 503 in place of 404.
func TestFrequentChangesKeepSidecarConfirmed(t *testing.T) {
	title := "A sidecar on a slow link stays confirmed while changes follow faster than its round trip"
	runMesh(t, title, func(network *testNetwork, members []*testMember, _ []*testSidecar) {
		s := startConfiguredSidecar(network, members)
		defer s.stop()
		network.setDelay("slow", 400*ms)
		oldest := time.Duration(0)
		for version := int64(2); version < 100; version++ {
			for _, member := range members {
				member.publish(version)
			}
			advance(100 * ms)
			age, ok := s.ContactAge()
			So(ok, ShouldBeTrue)
			oldest = max(oldest, age)
		}
		So(oldest, ShouldBeLessThan, configApplyTime)
	})
}

// A sidecar distinguishes an unresponsive core machine from a slow link by the responses of other core
// machines, and leaves it within the same time as without tolerance of slow links.
func TestSidecarLeavesUnresponsiveMemberInTime(t *testing.T) {
	for title, test := range map[string]struct {
		watchSilent bool
		bound       time.Duration
	}{
		"A sidecar leaves a silent core machine after idleTimeout and one search": {true, idleTimeout + probeTimeout},
		"A sidecar leaves a core machine that receives no renewals before the lease has expired": {
			false, renewInterval + lateRenewalThreshold + probeTimeout,
		},
	} {
		runMesh(t, title, func(network *testNetwork, members []*testMember, _ []*testSidecar) {
			var unresponsive atomic.Bool
			renewed := make(chan struct{}, 1)
			stop := network.startScriptedMember("mute:1", func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body) // without it the server does not notice a disconnect
				if unresponsive.Load() {
					<-r.Context().Done()
					return
				}
				signal(renewed)
				peers := []Peer{{Address: "mute:1", Zone: "z"}, {Address: memberAddresses[0]}}
				_ = json.NewEncoder(w).Encode(LeaseResponse{Contact: Contact{OK: true}, CaughtUp: true, Zone: "z", Peers: peers})
			}, func(w http.ResponseWriter, r *http.Request) {
				for r.Context().Err() == nil {
					if !unresponsive.Load() || !test.watchSilent {
						fmt.Fprintln(w, `{"beat":{"contact":{"ok":true}}}`)
						_ = http.NewResponseController(w).Flush()
					}
					<-time.After(heartbeatInterval)
				}
			})
			defer stop()
			s := network.testSidecar("new", "z", "mute:1")
			defer s.stop()
			advance(2 * time.Second)
			So(s.Peers()[0], ShouldEqual, "mute:1")
			<-renewed
			<-renewed // the next renewal is now as far away as possible
			advance(ms)
			unresponsive.Store(true)
			advance(test.bound + probeGrace)
			So(s.Peers()[0], ShouldEqual, memberAddresses[0])
		})
	}
}
