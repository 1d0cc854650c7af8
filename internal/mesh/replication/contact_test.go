package replication

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestContact(t *testing.T) {
	Convey("A quorum's confirmation is dated by the echoed clock and needs a committed entry of the term", t, func() {
		h := newHarness(3, State{})
		h.now = 10 * time.Second
		heartbeat := func(echo, age time.Duration) Message {
			msg := appendMessage(1, 0, 0, 0)
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
		otherIncarnation := heartbeat(9*time.Second, 0)
		otherIncarnation.Append.EchoedClock.Incarnation++
		h.step(memberB, otherIncarnation)
		at, _, _ = h.replica.LastQuorumAck()
		So(at, ShouldEqual, 7*time.Second)
		leading := newHarness(3, State{})
		leading.elect(false, memberB)
		_, _, ok = leading.replica.LastQuorumAck()
		So(ok, ShouldBeFalse)
		So(leading.replica.heartbeat(leading.now, leading.replica.peers[memberB]).QuorumAckAge, ShouldEqual, maxDuration)
	})
	Convey("A quorum's confirmation counts only after its entries are applied", t, func() {
		var c contactTracker
		c.record(time.Second, 5)
		_, ok := c.age(2*time.Second, 4)
		So(ok, ShouldBeFalse)
		age, ok := c.age(2*time.Second, 5)
		So(ok, ShouldBeTrue)
		So(age, ShouldEqual, time.Second)
	})
}
