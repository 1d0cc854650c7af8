package replication

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestQuorum(t *testing.T) {
	Convey("A majority is more than half, also of an even number", t, func() {
		for size, need := range []int{0, 1, 2, 2, 3, 3} {
			m := Membership{Voters: allMembers[:size]}
			for have := range size + 1 {
				holds := func(id MemberID) bool { return slices.Index(allMembers, id) < have }
				match := func(id MemberID) Index {
					if holds(id) {
						return 7
					}
					return 3
				}
				So(m.hasQuorum(holds), ShouldEqual, size > 0 && have >= need)
				So(size > 0 && quorumValue(m, match) == 7, ShouldEqual, size > 0 && have >= need)
			}
		}
	})
}

func TestCommit(t *testing.T) {
	Convey("A leader doesn't commit an entry of an earlier term by counting replicas", t, func() {
		old := Entry{Index: 1, Term: 1, Command: []byte("old")}
		h := newHarness(3, State{HardState: HardState{Term: 1}, Entries: []Entry{old}})
		term := h.elect(false, memberB)
		h.step(memberC, h.appendResponse(term, 1))
		So(h.replica.commit, ShouldEqual, 0)
		h.step(memberB, h.appendResponse(term, 2))
		So(h.replica.commit, ShouldEqual, 2)
	})
	Convey("It counts neither learners, nor other disks at a voter's address, nor an earlier term's responses", t, func() {
		h := newHarness(3, State{})
		term := h.elect(false, memberB)
		h.step(memberB+"#1", h.appendResponse(term, 1))
		So(h.replica.commit, ShouldEqual, 0)
		h.replica.SetLearners(h.now, []MemberID{memberD, memberB + "#1"})
		h.processReady()
		h.step(memberD, h.appendResponse(term, 1))
		h.step(memberB+"#1", h.appendResponse(term, 1))
		h.step(memberB, h.appendResponse(term-1, 1))
		So(h.replica.commit, ShouldEqual, 0)
		h.step(memberB, h.appendResponse(term, 1))
		So(h.replica.commit, ShouldEqual, 1)
	})
	Convey("A follower applies only entries that are known to equal the leader's", t, func() {
		entries := []Entry{{Index: 1, Term: 1}, {Index: 2, Term: 1, Command: []byte("other")}}
		h := newHarness(3, State{HardState: HardState{Term: 1}, Entries: entries})
		h.step(memberB, entriesFrom(2, 1, 1, 2))
		So(h.replica.commit, ShouldEqual, 1)
		h.step(memberB, entriesFrom(2, 1, 1, 2, Entry{Index: 2, Term: 2, Command: []byte("x")}))
		So(string(h.committed[1].Command), ShouldEqual, "x")
	})
	Convey("The leader's own disk counts once it is synced", t, func() {
		h := newHarness(3, State{})
		term := h.elect(true, memberB)
		_, err := h.replica.Propose(h.now, []byte("x"))
		So(err, ShouldBeNil)
		ready, _ := h.replica.Ready(h.now)
		So(ready.Persist.Entries, ShouldHaveLength, 1)
		h.replica.stepAppendResponse(h.now, memberB, term, h.appendResponse(term, h.replica.log.lastIndex()).AppendResponse)
		So(h.replica.commit, ShouldEqual, h.replica.log.lastIndex()-1)
		h.replica.Advance(h.now, &ready)
		So(h.replica.commit, ShouldEqual, h.replica.log.lastIndex())
	})
	Convey("A read needs a round of its own and a committed entry of the term", t, func() {
		h := newHarness(3, State{})
		term := h.elect(false, memberB)
		_, err := h.replica.Read(h.now)
		So(err, ShouldBeNil)
		h.processReady()
		h.step(memberC, h.appendResponse(term, 0))
		So(h.replica.pendingReads, ShouldHaveLength, 1)
		So(h.replica.pendingReads[0].index, ShouldEqual, 0)
		h.step(memberB, h.appendResponse(term, 1))
		So(h.replica.pendingReads, ShouldBeEmpty)
		early := h.appendResponse(term, 1)
		_, err = h.replica.Read(h.now)
		So(err, ShouldBeNil)
		h.processReady()
		h.step(memberB, early)
		So(h.replica.pendingReads, ShouldHaveLength, 1)
		h.step(memberB, h.appendResponse(term, 1))
		So(h.replica.pendingReads, ShouldBeEmpty)
	})
	Convey("A confirmation is as old as the echoed clock, and needs a committed entry of the leader's term", t, func() {
		h := newHarness(3, State{})
		h.now = 10 * time.Second
		heartbeat := func(echo, age time.Duration) Message {
			msg := entriesFrom(1, 0, 0, 0)
			msg.Append.EchoedClock, msg.Append.QuorumAckAge = ClockReading{Incarnation: h.replica.incarnation, At: echo}, age
			return msg
		}
		h.step(memberB, heartbeat(9*time.Second, forever))
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
		So(lead.replica.heartbeat(lead.now, lead.replica.peers[memberB]).QuorumAckAge, ShouldEqual, forever)
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
