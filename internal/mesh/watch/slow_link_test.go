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

// The stated bounds of the deployment of issue 85.
const (
	configApplyTime = 3 * time.Second
	contactWindow   = 5 * time.Second
)

// slowLink returns both ends of a connection on which every byte arrives after a delay, which is asked for each
// time. There is no loss, and no bound on what is under way.
func slowLink(delay func() time.Duration) (here, there net.Conn) {
	here, hereFar := net.Pipe()
	there, thereFar := net.Pipe()
	go carry(hereFar, thereFar, delay)
	go carry(thereFar, hereFar, delay)
	return here, there
}

// carry passes on what it reads, each piece after the delay.
func carry(from io.ReadCloser, to io.WriteCloser, delay func() time.Duration) {
	type piece struct {
		due  time.Time
		data []byte
	}
	queue := make(chan piece, 1<<14)
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
			queue <- piece{time.Now().Add(delay()), append([]byte(nil), buffer[:n]...)}
		}
		if err != nil {
			close(queue)
			return
		}
	}
}

// changesInTime publishes a change each second, and returns the longest time that one took to reach the sidecar. One
// that is under way counts with its age.
func changesInTime(m []*member, s *sidecar, from, to int64) (longest time.Duration) {
	published := map[int64]time.Time{}
	version := from
	check := func() {
		applied, _ := s.applied()
		for v, at := range published {
			longest = max(longest, time.Since(at))
			if v <= applied {
				delete(published, v)
			}
		}
	}
	for ; version <= to; version++ {
		for _, one := range m {
			one.publish(version)
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

// startConfigured starts a sidecar on the host "slow", whose link is quick yet, with a configuration in force.
func startConfigured(n *network, m []*member) *sidecar {
	n.setDelay("slow", 0)
	s := n.sidecar("slow", "zone-m1:1", memberAddresses[0])
	So(changesInTime(m, s, 1, 1), ShouldBeLessThan, time.Second)
	return s
}

func TestSidecarBehindFullLinkHearsOfChanges(t *testing.T) {
	const oneWay = 600 * ms
	title := "A sidecar whose link has become slow, each way by what a queue of requests takes, has each change in time"
	runMesh(t, title, func(n *network, m []*member, _ []*sidecar) {
		s := startConfigured(n, m)
		defer s.stop()
		n.setDelay("slow", oneWay)
		So(changesInTime(m, s, 2, 20), ShouldBeLessThan, configApplyTime)
	})
	title = "So has one whose connections were all reset meanwhile, from the end of the contact window on"
	runMesh(t, title, func(n *network, m []*member, _ []*sidecar) {
		s := startConfigured(n, m)
		defer s.stop()
		n.setDelay("slow", oneWay)
		advance(2 * time.Second)
		for _, to := range memberAddresses {
			n.sever("slow", to)
		}
		n.heal()
		advance(contactWindow)
		So(changesInTime(m, s, 2, 20), ShouldBeLessThan, configApplyTime)
	})
}

// A sidecar that had every change as soon as its link let it counted as unconfirmed, and answered 503 for 404.
func TestQuickChangesLeaveNoSidecarUnconfirmed(t *testing.T) {
	title := "A sidecar on a slow link is confirmed again and again while the changes come faster than its answers"
	runMesh(t, title, func(n *network, m []*member, _ []*sidecar) {
		s := startConfigured(n, m)
		defer s.stop()
		n.setDelay("slow", 400*ms)
		oldest := time.Duration(0)
		for version := int64(2); version < 100; version++ {
			for _, one := range m {
				one.publish(version)
			}
			advance(100 * ms)
			age, ok := s.ContactAge()
			So(ok, ShouldBeTrue)
			oldest = max(oldest, age)
		}
		So(oldest, ShouldBeLessThan, configApplyTime)
	})
}

// A member that answers nothing more is told from a slow link by the others' answers, as soon as before.
func TestMuteMemberIsLeftInTime(t *testing.T) {
	for what, c := range map[string]struct {
		watchToo bool
		bound    time.Duration
	}{
		"One that sends nothing more is left within a silence and a question":   {true, idleTimeout + probeTimeout},
		"One that does not hear the sidecar is left before the lease has ended": {false, renewInterval + lateRenewalThreshold + probeTimeout},
	} {
		runMesh(t, what, func(n *network, m []*member, _ []*sidecar) {
			var mute atomic.Bool
			renewed := make(chan struct{}, 1)
			stop := n.scripted("mute:1", func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body) // else the server does not notice that the client has gone
				if mute.Load() {
					<-r.Context().Done()
					return
				}
				signal(renewed)
				peers := []Peer{{Address: "mute:1", Zone: "z"}, {Address: memberAddresses[0]}}
				_ = json.NewEncoder(w).Encode(LeaseResponse{Contact: Contact{OK: true}, CaughtUp: true, Zone: "z", Peers: peers})
			}, func(w http.ResponseWriter, r *http.Request) {
				for r.Context().Err() == nil {
					if !mute.Load() || !c.watchToo {
						fmt.Fprintln(w, `{"beat":{"contact":{"ok":true}}}`)
						_ = http.NewResponseController(w).Flush()
					}
					<-time.After(heartbeatInterval)
				}
			})
			defer stop()
			s := n.sidecar("new", "z", "mute:1")
			defer s.stop()
			advance(2 * time.Second)
			So(s.Peers()[0], ShouldEqual, "mute:1")
			<-renewed
			<-renewed // so that the next renewal is as far as can be
			advance(ms)
			mute.Store(true)
			advance(c.bound + probeGrace)
			So(s.Peers()[0], ShouldEqual, memberAddresses[0])
		})
	}
}
