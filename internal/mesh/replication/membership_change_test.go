package replication

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperarch/internal/mesh/errs"
)

func TestMembershipChange(t *testing.T) {
	Convey("Given a leader of three with a learner", t, func() {
		h := newHarness(3, State{})
		term := h.elect(false, memberB)
		swapped := []MemberID{memberA, memberB, memberD}
		h.replica.SetLearners(h.now, []MemberID{memberD})
		h.processReady()
		Convey("no change begins before an entry of its own term is committed", func() {
			So(errs.KindOf(h.replica.ChangeMembership(h.now, swapped)), ShouldEqual, errs.Busy)
		})
		h.step(memberB, h.appendResponse(term, 1))
		h.step(memberC, h.appendResponse(term, 1))
		Convey("none begins with a learner that isn't caught up, invalid voters, or without the leader", func() {
			So(errs.KindOf(h.replica.ChangeMembership(h.now, swapped)), ShouldEqual, errs.Busy)
			h.step(memberD, h.appendResponse(term, 1))
			for _, voters := range [][]MemberID{
				{memberA, memberB, memberB}, {}, {memberA, "nowhere"}, {memberB, memberC, memberD},
				{memberA, memberB, memberB + "#1"}, {memberA, memberB, memberC},
			} {
				So(errs.KindOf(h.replica.ChangeMembership(h.now, voters)), ShouldEqual, errs.Invalid)
			}
			So(h.replica.ChangeMembership(h.now, swapped), ShouldBeNil)
		})
		Convey("a change is committed by both sets, and a second one waits for its end", func() {
			h.step(memberD, h.appendResponse(term, 1))
			So(h.replica.ChangeMembership(h.now, swapped), ShouldBeNil)
			So(errs.KindOf(h.replica.ChangeMembership(h.now, swapped)), ShouldEqual, errs.Busy)
			h.processReady()
			h.step(memberC, h.appendResponse(term, 2)) // a majority of the old set alone
			So(h.replica.commit, ShouldEqual, 1)
			current, committed := h.replica.Membership()
			So(current.IsJoint(), ShouldBeTrue)
			So(committed, ShouldBeFalse)
			h.step(memberD, h.appendResponse(term, 2))
			So(h.replica.commit, ShouldEqual, 2)
			So(errs.KindOf(h.replica.ChangeMembership(h.now, allMembers[:3])), ShouldEqual, errs.Busy)
			h.step(memberD, h.appendResponse(term, 3))
			current, committed = h.replica.Membership()
			So(committed, ShouldBeTrue)
			So(current.Voters, ShouldResemble, swapped)
		})
		Convey("a change doesn't end while only earlier entries are committed", func() {
			h.step(memberD, h.appendResponse(term, 1))
			_, err := h.replica.Propose(h.now, []byte("x"))
			So(err, ShouldBeNil)
			So(h.replica.ChangeMembership(h.now, swapped), ShouldBeNil)
			h.processReady()
			h.step(memberB, h.appendResponse(term, 2))
			h.step(memberD, h.appendResponse(term, 2))
			So(h.replica.commit, ShouldEqual, 2)
			current, _ := h.replica.Membership()
			So(current.IsJoint(), ShouldBeTrue)
			h.step(memberB, h.appendResponse(term, 3))
			h.step(memberD, h.appendResponse(term, 3))
			current, _ = h.replica.Membership()
			So(current.IsJoint(), ShouldBeFalse)
		})
		Convey("the new set alone commits nothing", func() {
			h.step(memberD, h.appendResponse(term, 1))
			So(h.replica.ChangeMembership(h.now, swapped), ShouldBeNil)
			h.processReady()
			h.step(memberD, h.appendResponse(term, 2))
			So(h.replica.commit, ShouldEqual, 1)
		})
	})
	Convey("A membership is dropped with its entry, and kept by a snapshot at its index", t, func() {
		h := newHarness(3, State{})
		four := Membership{Voters: allMembers[:4]}
		h.step(memberB, entriesFrom(1, 0, 0, 0, Entry{Index: 1, Term: 1, Command: []byte("x")},
			Entry{Index: 2, Term: 1, Kind: EntryMembership, Command: four.encode()}))
		current, _ := h.replica.Membership()
		So(current, ShouldResemble, four)
		h.step(memberC, entriesFrom(2, 1, 1, 0, Entry{Index: 2, Term: 2, Command: []byte("y")}))
		current, _ = h.replica.Membership()
		So(current.Voters, ShouldResemble, allMembers[:3])
		h.step(memberC, entriesFrom(2, 2, 2, 3, Entry{Index: 3, Term: 2, Kind: EntryMembership, Command: four.encode()}))
		h.replica.Compact([]byte("state"))
		h.processReady()
		So(h.disk.Snapshot.Membership, ShouldResemble, four)
		again := newHarness(0, h.disk)
		current, _ = again.replica.Membership()
		So(current, ShouldResemble, four)
	})
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
	Convey("A term begins with the membership in force, so a learner that has the whole log knows the voters", t, func() {
		h := newHarness(3, State{})
		h.elect(true, memberB)
		learner := newHarness(0, State{})
		learner.step(memberB, entriesFrom(h.replica.hardState.Term, 0, 0, 1, h.replica.log.entries...))
		current, committed := learner.replica.Membership()
		So(committed, ShouldBeTrue)
		So(current.Voters, ShouldResemble, allMembers[:3])
		learner.replica.Compact([]byte("state"))
		So(learner.replica.log.snapshot.Membership, ShouldResemble, current)
	})
	Convey("Without a membership the log isn't compacted: every replica would reject the snapshot", t, func() {
		learner := newHarness(0, State{})
		learner.step(memberB, entriesFrom(1, 0, 0, 1, Entry{Index: 1, Term: 1, Command: []byte("x")}))
		learner.replica.Compact([]byte("state"))
		So(learner.replica.log.snapshot.Index, ShouldEqual, 0)
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
