package replication

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestContact(t *testing.T) {
	Convey("A confirmation is as old as the echoed clock, and needs a committed entry of the leader's term", t, func() {
		h := newHarness(3, State{})
		h.now = 10 * time.Second
		heartbeat := func(echo, age time.Duration) Message {
			msg := entriesFrom(1, 0, 0, 0)
			msg.Append.EchoedClock, msg.Append.QuorumAckAge = ClockReading{Incarnation: h.replica.incarnation, At: echo}, age
			return msg
		}
		h.step(memberB, heartbeat(9*time.Second, maxDuration))
		at, _, _ := h.replica.LastQuorumAck()
		So(at, ShouldBeLessThan, 0)
		h.step(memberB, heartbeat(8*time.Second, time.Second))
		at, _, ok := h.replica.LastQuorumAck()
		So(ok, ShouldBeTrue)
		So(at, ShouldEqual, 7*time.Second)
		other := heartbeat(9*time.Second, 0)
		other.Append.EchoedClock.Incarnation++
		h.step(memberB, other)
		at, _, _ = h.replica.LastQuorumAck()
		So(at, ShouldEqual, 7*time.Second)
		lead := newHarness(3, State{})
		lead.elect(false, memberB)
		_, _, ok = lead.replica.LastQuorumAck()
		So(ok, ShouldBeFalse)
		So(lead.replica.heartbeat(lead.now, lead.replica.peers[memberB]).QuorumAckAge, ShouldEqual, maxDuration)
	})
	Convey("A confirmation whose entries aren't applied yet doesn't count", t, func() {
		var c contactTracker
		c.record(time.Second, 5)
		_, ok := c.age(2*time.Second, 4)
		So(ok, ShouldBeFalse)
		age, ok := c.age(2*time.Second, 5)
		So(ok, ShouldBeTrue)
		So(age, ShouldEqual, time.Second)
	})
}
