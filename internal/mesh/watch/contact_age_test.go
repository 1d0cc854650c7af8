package watch

import (
	"caperarch/internal/mesh/registry"
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
)

// scripted starts a member whose responses a test gives. stop ends it.
func (n *network) scripted(address string, lease, watch http.HandlerFunc) (stop func()) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+leasePath, lease)
	mux.HandleFunc("POST "+watchPath, watch)
	server := &http.Server{Handler: mux}
	p := &port{address, make(chan net.Conn, 64), make(chan struct{})}
	n.mu.Lock()
	n.ports[address] = p
	n.mu.Unlock()
	go func() { _ = server.Serve(p) }()
	return func() {
		_ = server.Close()
		time.Sleep(2 * callTimeout) // until its handlers end
	}
}

func TestContactAgesAddUp(t *testing.T) {
	title := "A member that follows a follower never takes its contact for newer than it is"
	runMesh(t, title, func(n *network, m []*member, c []*sidecar) {
		q := newMajority(m)
		defer close(q.done)
		reader := n.member("r:1", 7)
		defer reader.stop()
		follower := n.sidecar("reader", "zone-m1:1", memberAddresses[0])
		defer follower.stop()
		reader.mu.Lock()
		reader.contactOf = follower.ContactAge
		reader.mu.Unlock()
		last := n.sidecar("last", "zone-r:1", "r:1")
		defer last.stop()
		for _, to := range memberAddresses {
			n.sever("last", to) // the reader is its only member
		}
		q.run(3*time.Second, true, func(time.Duration) {
			if version, _ := follower.applied(); version > reader.configs.Current() {
				reader.publish(version)
			}
		})
		version, _ := last.applied()
		So(version, ShouldEqual, q.committed)

		for _, i := range []int{1, 2} {
			q.sever(i, 0) // the leader sends and receives nothing
		}
		q.change(func() { q.committed++ })
		end := time.Now()
		before, _ := last.applied()
		q.run(10*time.Second, false, func(now time.Duration) {
			age, ok := follower.ContactAge()
			if !ok || age < time.Since(end) {
				t.Fatalf("%v after the last round the reader says %v", now, age)
			}
			if now > maxContactAge {
				reader.publish(1000)
			}
			if version, _ := last.applied(); version > before+1 {
				t.Fatalf("%v after the last round a reader sent version %d", now, version)
			}
			if now > maxContactAge && reader.Server.checkContact().OK {
				t.Fatalf("%v after the last round the reader counts as in contact", now)
			}
		})
	})
	title = "A delayed response proves no more than the time of its request"
	runMesh(t, title, func(n *network, m []*member, c []*sidecar) {
		stop := n.scripted("slow:1", func(w http.ResponseWriter, _ *http.Request) {
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
		s := n.sidecar("new", "", "slow:1")
		defer s.stop()
		advance(callTimeout - 90*ms)
		age, ok := s.ContactAge()
		So(ok, ShouldBeTrue)
		So(age, ShouldBeBetween, callTimeout-51*ms, callTimeout)
	})
	title = "A delayed first configuration is only applied after a check of the contact"
	runMesh(t, title, func(n *network, m []*member, c []*sidecar) {
		var mu sync.Mutex
		contact := Contact{OK: false}
		stop := n.scripted("woken:1", func(w http.ResponseWriter, _ *http.Request) {
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
		s := n.sidecar("new", "", "woken:1")
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
	title := "A sidecar that leaves notifies a member that can notify the others"
	runMesh(t, title, func(n *network, m []*member, c []*sidecar) {
		m[0].setContact(false)
		for _, i := range []int{1, 2} {
			n.sever(memberAddresses[0], memberAddresses[i])
			n.sever(memberAddresses[i], memberAddresses[0])
		}
		So(c[0].Leave(context.Background()), ShouldBeNil)
		advance(30 * ms)
		So(c[1].upstreams(), ShouldEqual, "i-c2 i-c3")
		for _, to := range memberAddresses[1:] {
			n.sever("c1", to)
		}
		So(c[0].Leave(context.Background()), ShouldBeNil)
		n.sever("c1", memberAddresses[0])
		So(errs.KindOf(c[0].Leave(context.Background())), ShouldEqual, errs.Unreachable)
	})
	title = "What one member says of its contact does not count against another"
	runMesh(t, title, func(n *network, m []*member, c []*sidecar) {
		stop := n.scripted("out:1", func(w http.ResponseWriter, _ *http.Request) {
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
		s := n.sidecar("new", "", "out:1")
		defer s.stop()
		moved := moves{at: "out:1"}
		for now := time.Duration(0); now < 3*time.Second; now += 5 * ms {
			advance(5 * ms)
			moved.observe(s, now)
		}
		So(moved.count, ShouldEqual, 1)
	})
}

func TestWhatResponsesProve(t *testing.T) {
	Convey("A response without contact proves nothing, lowers no count and removes no member", t, func() {
		c := NewClient(ClientConfig{Zone: "z"})
		now := time.Now()
		for _, answer := range []LeaseResponse{
			{Contact: Contact{OK: false}, CaughtUp: true}, {Contact: Contact{OK: true}, CaughtUp: false},
			{Contact: Contact{OK: true, Age: -time.Hour}, CaughtUp: true},
			{Contact: Contact{OK: true}, Version: 5}, {Contact: Contact{OK: false}, Version: 4},
		} {
			c.recordConfirmation(now, &answer, 4)
			_, ok := c.ContactAge()
			So(ok, ShouldBeFalse)
		}
		peers := []Peer{{Address: "a:1"}, {Address: "b:1"}}
		c.recordMembers(&LeaseResponse{Contact: Contact{OK: true}, Counts: registry.Counts{Live: 9, Peak: 9}, Peers: peers})
		c.recordMembers(&LeaseResponse{Counts: registry.Counts{Live: 2, Peak: 3}, Peers: []Peer{{Address: "a:1"}, {Address: "c:1"}}})
		So(c.Counts(), ShouldResemble, registry.Counts{Live: 9, Peak: 9})
		So(c.Peers(), ShouldHaveLength, 3)
	})
}
