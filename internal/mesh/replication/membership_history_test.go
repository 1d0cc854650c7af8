package replication

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestMembershipFollowsLog(t *testing.T) {
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
}
