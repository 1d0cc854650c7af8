package replication

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestLeadershipTransfer(t *testing.T) {
	Convey("A leader that is only in the outgoing set transfers leadership", t, func() {
		jointMembership := Membership{Voters: []MemberID{memberB, memberC, memberD}, Outgoing: allMembers[:3]}
		h := newHarness(3, State{
			HardState: HardState{Term: 1},
			Snapshot:  Snapshot{Index: 1, Term: 1, Membership: jointMembership},
		})
		term := h.elect(true, memberB, memberC)
		h.step(memberD, h.appendResponse(term, 2))
		current, committed := h.replica.Membership()
		So(committed && current.IsJoint(), ShouldBeTrue)
		h.now += HeartbeatInterval
		h.replica.Tick(h.now)
		requested := false
		for _, messages := range h.processReady() {
			for _, msg := range messages {
				requested = requested || msg.TimeoutNow != nil
			}
		}
		So(requested, ShouldBeTrue)
	})
	Convey("Leadership is not transferred to a voter that lacks committed entries", t, func() {
		h := newHarness(3, State{})
		term := h.elect(true, memberB)
		So(h.replica.TransferLeadership(h.now), ShouldBeTrue)
		sent := h.processReady()[memberB]
		So(sent[len(sent)-1].TimeoutNow, ShouldNotBeNil)
		// memberC, the only voter in contact, lacks committed entries.
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
	Convey("A leader in a transfer skips leaving voters, ignores later acks, and steps down after a timeout", t, func() {
		h := newHarness(3, State{})
		term := h.elect(true, memberB)
		h.step(memberB, h.appendResponse(term, 1))
		So(h.replica.TransferLeadership(h.now, memberB), ShouldBeFalse)
		requested := h.now
		So(h.replica.TransferLeadership(h.now), ShouldBeTrue)
		h.processReady()
		for h.now < requested+leadershipTransferTimeout {
			h.now += HeartbeatInterval / 2
			h.step(memberB, h.appendResponse(term, 1))
			So(h.replica.IsLeader(h.now) || h.now > requested+leadershipTransferTimeout, ShouldBeTrue)
			at, _, _ := h.replica.LastQuorumAck()
			So(at, ShouldBeLessThanOrEqualTo, requested)
		}
		h.now = requested + leadershipTransferTimeout + 1
		So(h.replica.IsLeader(h.now), ShouldBeFalse)
	})
	Convey("A vote in a leadership transfer is rejected if the candidate's log is not up-to-date", t, func() {
		h := newHarness(3, State{HardState: HardState{Term: 2}, Entries: []Entry{{Index: 1, Term: 2, Command: []byte("x")}}})
		for _, request := range []VoteRequest{{LastIndex: 5, LastTerm: 1}, {LastIndex: 0, LastTerm: 2}} {
			request.Transfer = true
			sent := h.step(memberB, Message{Term: 3, VoteRequest: &request})
			So(sent[memberB][0].VoteResponse.Rejected, ShouldBeTrue)
		}
	})
}
