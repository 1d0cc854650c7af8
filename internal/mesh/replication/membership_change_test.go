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
}
