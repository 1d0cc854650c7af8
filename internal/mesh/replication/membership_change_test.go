package replication

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperarch/internal/mesh/errs"
)

func TestMembershipChange(t *testing.T) {
	Convey("Given a leader of three voters with a learner", t, func() {
		h := newHarness(3, State{})
		term := h.elect(false, memberB)
		newVoters := []MemberID{memberA, memberB, memberD}
		h.replica.SetLearners(h.now, []MemberID{memberD})
		h.processReady()
		Convey("a change is rejected before an entry of the leader's own term is committed", func() {
			So(errs.KindOf(h.replica.ChangeMembership(h.now, newVoters)), ShouldEqual, errs.Busy)
		})
		h.step(memberB, h.appendResponse(term, 1))
		h.step(memberC, h.appendResponse(term, 1))
		Convey("a change is rejected if a new voter lags, voters are invalid, or the leader is excluded", func() {
			So(errs.KindOf(h.replica.ChangeMembership(h.now, newVoters)), ShouldEqual, errs.Busy)
			h.step(memberD, h.appendResponse(term, 1))
			for _, voters := range [][]MemberID{
				{memberA, memberB, memberB}, {}, {memberA, "nowhere"}, {memberB, memberC, memberD},
				{memberA, memberB, memberB + "#1"}, {memberA, memberB, memberC},
			} {
				So(errs.KindOf(h.replica.ChangeMembership(h.now, voters)), ShouldEqual, errs.Invalid)
			}
			So(h.replica.ChangeMembership(h.now, newVoters), ShouldBeNil)
		})
		Convey("a change needs majorities of both sets, and a second change is rejected until its end", func() {
			h.step(memberD, h.appendResponse(term, 1))
			So(h.replica.ChangeMembership(h.now, newVoters), ShouldBeNil)
			So(errs.KindOf(h.replica.ChangeMembership(h.now, newVoters)), ShouldEqual, errs.Busy)
			h.processReady()
			h.step(memberC, h.appendResponse(term, 2)) // a majority of the old set only
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
			So(current.Voters, ShouldResemble, newVoters)
		})
		Convey("a change does not end before its joint membership is committed", func() {
			h.step(memberD, h.appendResponse(term, 1))
			_, err := h.replica.Propose(h.now, []byte("x"))
			So(err, ShouldBeNil)
			So(h.replica.ChangeMembership(h.now, newVoters), ShouldBeNil)
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
		Convey("a majority of the new set only does not commit an entry", func() {
			h.step(memberD, h.appendResponse(term, 1))
			So(h.replica.ChangeMembership(h.now, newVoters), ShouldBeNil)
			h.processReady()
			h.step(memberD, h.appendResponse(term, 2))
			So(h.replica.commit, ShouldEqual, 1)
		})
	})
}
