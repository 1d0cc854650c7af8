package replication

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestLeadershipTransfer(t *testing.T) {
	Convey("A leader that is only in the outgoing set transfers leadership to a new voter", t, func() {
		joint := Membership{Voters: []MemberID{memberB, memberC, memberD}, Outgoing: allMembers[:3]}
		h := newHarness(3, State{HardState: HardState{Term: 1}, Snapshot: Snapshot{Index: 1, Term: 1, Membership: joint}})
		term := h.elect(true, memberB, memberC)
		h.step(memberD, h.appendResponse(term, 2))
		current, committed := h.replica.Membership()
		So(committed && current.IsJoint(), ShouldBeTrue)
		h.now += HeartbeatInterval
		h.replica.Tick(h.now)
		asked := false
		for _, messages := range h.processReady() {
			for _, msg := range messages {
				asked = asked || msg.TimeoutNow != nil
			}
		}
		So(asked, ShouldBeTrue)
	})
	Convey("Leadership isn't transferred to a voter that lacks committed entries", t, func() {
		h := newHarness(3, State{})
		term := h.elect(true, memberB)
		So(h.replica.TransferLeadership(h.now), ShouldBeTrue)
		sent := h.processReady()[memberB]
		So(sent[len(sent)-1].TimeoutNow, ShouldNotBeNil)
		// The only voter in contact lacks them.
		h.now += ContactTimeout
		h.step(memberC, h.appendResponse(term, 0))
		h.now += ContactTimeout / 2
		So(h.replica.TransferLeadership(h.now), ShouldBeFalse)
		for _, messages := range h.processReady() {
			for _, msg := range messages {
				So(msg.TimeoutNow, ShouldBeNil)
			}
		}
	})
	Convey("A leader that transfers leadership asks no leaving voter, counts no later ack and steps down", t, func() {
		h := newHarness(3, State{})
		term := h.elect(true, memberB)
		h.step(memberB, h.appendResponse(term, 1))
		So(h.replica.TransferLeadership(h.now, memberB), ShouldBeFalse)
		asked := h.now
		So(h.replica.TransferLeadership(h.now), ShouldBeTrue)
		h.processReady()
		for h.now < asked+leadershipTransferTimeout {
			h.now += HeartbeatInterval / 2
			h.step(memberB, h.appendResponse(term, 1))
			So(h.replica.IsLeader(h.now) || h.now > asked+leadershipTransferTimeout, ShouldBeTrue)
			at, _, _ := h.replica.LastQuorumAck()
			So(at, ShouldBeLessThanOrEqualTo, asked)
		}
		h.now = asked + leadershipTransferTimeout + 1
		So(h.replica.IsLeader(h.now), ShouldBeFalse)
	})
	Convey("A vote for a transfer of leadership is granted to no log that lacks entries", t, func() {
		h := newHarness(3, State{HardState: HardState{Term: 2}, Entries: []Entry{{Index: 1, Term: 2, Command: []byte("x")}}})
		for _, request := range []VoteRequest{{LastIndex: 5, LastTerm: 1}, {LastIndex: 0, LastTerm: 2}} {
			request.Transfer = true
			sent := h.step(memberB, Message{Term: 3, VoteRequest: &request})
			So(sent[memberB][0].VoteResponse.Rejected, ShouldBeTrue)
		}
	})
}
