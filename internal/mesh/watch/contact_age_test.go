package watch

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/registry"
)

// startScriptedMember starts a core machine that responds to leases and watches with the given handlers. stop
// stops it and waits until its handlers have ended.
func (n *testNetwork) startScriptedMember(address string, lease, watch http.HandlerFunc) (stop func()) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+leasePath, lease)
	mux.HandleFunc("POST "+watchPath, watch)
	server := &http.Server{Handler: mux}
	p := &pipeListener{address, make(chan net.Conn, 64), make(chan struct{})}
	n.mu.Lock()
	n.listeners[address] = p
	n.mu.Unlock()
	go func() { _ = server.Serve(p) }()
	return func() {
		_ = server.Close()
		time.Sleep(2 * callTimeout) // the handlers end within this time
	}
}

func TestContactAgesAddUp(t *testing.T) {
	title := "A core machine that derives its contact from a sidecar's ContactAge never reports a contact newer than it is"
	runMesh(t, title, func(network *testNetwork, members []*testMember, sidecars []*testSidecar) {
		quorum := newQuorumSimulator(members)
		defer close(quorum.done)
		relay := network.testMember("r:1", 7)
		defer relay.stop()
		relaySidecar := network.testSidecar("reader", "zone-m1:1", memberAddresses[0])
		defer relaySidecar.stop()
		relay.mu.Lock()
		relay.contactFunc = relaySidecar.ContactAge
		relay.mu.Unlock()
		lastSidecar := network.testSidecar("last", "zone-r:1", "r:1")
		defer lastSidecar.stop()
		for _, address := range memberAddresses {
			network.blockLink("last", address) // the relay is the only core machine that this sidecar reaches
		}
		quorum.run(3*time.Second, true, func(time.Duration) {
			if version, _ := relaySidecar.appliedVersion(); version > relay.configSource.Current() {
				relay.publish(version)
			}
		})
		version, _ := lastSidecar.appliedVersion()
		So(version, ShouldEqual, quorum.committed)

		for _, i := range []int{1, 2} {
			quorum.blockLink(i, 0) // the leader receives no responses
		}
		quorum.update(func() { quorum.committed++ })
		cutAt := time.Now()
		before, _ := lastSidecar.appliedVersion()
		quorum.run(10*time.Second, false, func(now time.Duration) {
			age, ok := relaySidecar.ContactAge()
			if !ok || age < time.Since(cutAt) {
				t.Fatalf("%v after the last confirmation the relay's sidecar reports contact age %v, want at least %[1]v",
					now, age)
			}
			if now > maxContactAge {
				relay.publish(1000)
			}
			if version, _ := lastSidecar.appliedVersion(); version > before+1 {
				t.Fatalf("%v after the last confirmation the relay has sent version %d, want none without contact",
					now, version)
			}
			if now > maxContactAge && relay.Server.checkContact().OK {
				t.Fatalf("%v after the last confirmation the relay is in contact, want contact lost", now)
			}
		})
	})
	title = "A delayed response confirms the configuration only as of the time of its request"
	runMesh(t, title, func(network *testNetwork, members []*testMember, sidecars []*testSidecar) {
		stop := network.startScriptedMember("slow:1", func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(callTimeout - 100*ms)
			_ = json.NewEncoder(w).Encode(LeaseResponse{Contact: Contact{OK: true, Age: 50 * ms}, CaughtUp: true})
		}, func(w http.ResponseWriter, r *http.Request) {
			for r.Context().Err() == nil {
				fmt.Fprintln(w, `{"beat":{"contact":{"ok":true}}}`)
				_ = http.NewResponseController(w).Flush()
				time.Sleep(heartbeatInterval)
			}
		})
		defer stop()
		s := network.testSidecar("new", "", "slow:1")
		defer s.stop()
		advance(callTimeout - 90*ms)
		age, ok := s.ContactAge()
		So(ok, ShouldBeTrue)
		So(age, ShouldBeBetween, callTimeout-51*ms, callTimeout)
	})
	title = "A first configuration that arrives late is applied only after the core machine's contact was checked again"
	runMesh(t, title, func(network *testNetwork, members []*testMember, sidecars []*testSidecar) {
		var mu sync.Mutex
		contact := Contact{OK: false}
		stop := network.startScriptedMember("woken:1", func(w http.ResponseWriter, _ *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			_ = json.NewEncoder(w).Encode(LeaseResponse{Contact: contact})
		}, func(w http.ResponseWriter, r *http.Request) {
			for range 4 {
				fmt.Fprintln(w, `{"beat":{"contact":{"ok":true}}}`)
				_ = http.NewResponseController(w).Flush()
				time.Sleep(heartbeatInterval)
			}
			fmt.Fprintln(w, `{"charter":[5]}`)
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		})
		defer stop()
		s := network.testSidecar("new", "", "woken:1")
		defer s.stop()
		advance(5 * time.Second)
		So(s.configFrames(), ShouldBeEmpty)
		mu.Lock()
		contact.OK = true
		mu.Unlock()
		advance(5 * time.Second)
		So(s.configFrames(), ShouldContain, "[5]")
	})
}

func TestLeavingWithoutContact(t *testing.T) {
	title := "A sidecar that leaves notifies a core machine that can notify the others"
	runMesh(t, title, func(network *testNetwork, members []*testMember, sidecars []*testSidecar) {
		members[0].setContact(false)
		for _, i := range []int{1, 2} {
			network.blockLink(memberAddresses[0], memberAddresses[i])
			network.blockLink(memberAddresses[i], memberAddresses[0])
		}
		So(sidecars[0].Leave(context.Background()), ShouldBeNil)
		advance(30 * ms)
		So(sidecars[1].upstreams(), ShouldEqual, "i-c2 i-c3")
		for _, address := range memberAddresses[1:] {
			network.blockLink("c1", address)
		}
		So(sidecars[0].Leave(context.Background()), ShouldBeNil)
		network.blockLink("c1", memberAddresses[0])
		So(errs.KindOf(sidecars[0].Leave(context.Background())), ShouldEqual, errs.Unreachable)
	})
	title = "A loss of contact that one core machine reports does not make the sidecar leave the next one"
	runMesh(t, title, func(network *testNetwork, members []*testMember, sidecars []*testSidecar) {
		stop := network.startScriptedMember("out:1", func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(100 * ms)
			peers := []Peer{{Address: memberAddresses[0]}, {Address: memberAddresses[1]}, {Address: memberAddresses[2]}}
			_ = json.NewEncoder(w).Encode(LeaseResponse{Peers: peers})
		}, func(w http.ResponseWriter, r *http.Request) {
			for r.Context().Err() == nil {
				fmt.Fprintln(w, `{"beat":{}}`)
				_ = http.NewResponseController(w).Flush()
				time.Sleep(time.Millisecond)
			}
		})
		defer stop()
		s := network.testSidecar("new", "", "out:1")
		defer s.stop()
		changes := memberChanges{current: "out:1"}
		for now := time.Duration(0); now < 3*time.Second; now += 5 * ms {
			advance(5 * ms)
			changes.observe(s, now)
		}
		So(changes.count, ShouldEqual, 1)
	})
}

func TestResponsesWithoutContactConfirmNothing(t *testing.T) {
	Convey("A response without contact confirms no configuration, lowers no count and removes no core machine", t, func() {
		client := NewClient(ClientConfig{Zone: "z"})
		now := time.Now()
		for _, response := range []LeaseResponse{
			{Contact: Contact{OK: false}, CaughtUp: true}, {Contact: Contact{OK: true}, CaughtUp: false},
			{Contact: Contact{OK: true, Age: -time.Hour}, CaughtUp: true},
			{Contact: Contact{OK: true}, Version: 5}, {Contact: Contact{OK: false}, Version: 4},
		} {
			client.recordConfirmation(now, &response, 4)
			_, ok := client.ContactAge()
			So(ok, ShouldBeFalse)
		}
		peers := []Peer{{Address: "a:1"}, {Address: "b:1"}}
		client.recordMembers(&LeaseResponse{
			Contact: Contact{OK: true}, Counts: registry.Counts{Live: 9, Peak: 9}, Peers: peers,
		})
		client.recordMembers(&LeaseResponse{
			Counts: registry.Counts{Live: 2, Peak: 3}, Peers: []Peer{{Address: "a:1"}, {Address: "c:1"}},
		})
		So(client.Counts(), ShouldResemble, registry.Counts{Live: 9, Peak: 9})
		So(client.Peers(), ShouldHaveLength, 3)
	})
}
