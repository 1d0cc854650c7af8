package replication

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestMembershipFollowsLog(t *testing.T) {
	Convey("Truncation of the log removes its memberships, and compaction keeps them in the snapshot", t, func() {
		h := newHarness(3, State{})
		fourVoters := Membership{Voters: allMembers[:4]}
		h.step(memberB, appendMessage(1, 0, 0, 0, Entry{Index: 1, Term: 1, Command: []byte("x")},
			Entry{Index: 2, Term: 1, Kind: EntryMembership, Command: fourVoters.encode()}))
		current, _ := h.replica.Membership()
		So(current, ShouldResemble, fourVoters)
		h.step(memberC, appendMessage(2, 1, 1, 0, Entry{Index: 2, Term: 2, Command: []byte("y")}))
		current, _ = h.replica.Membership()
		So(current.Voters, ShouldResemble, allMembers[:3])
		h.step(memberC, appendMessage(2, 2, 2, 3,
			Entry{Index: 3, Term: 2, Kind: EntryMembership, Command: fourVoters.encode()}))
		h.replica.Compact([]byte("state"))
		h.processReady()
		So(h.disk.Snapshot.Membership, ShouldResemble, fourVoters)
		restarted := newHarness(0, h.disk)
		current, _ = restarted.replica.Membership()
		So(current, ShouldResemble, fourVoters)
	})
	Convey("The first entry of a term holds the membership, so that a learner with the log knows the voters", t, func() {
		h := newHarness(3, State{})
		h.elect(true, memberB)
		learner := newHarness(0, State{})
		learner.step(memberB, appendMessage(h.replica.hardState.Term, 0, 0, 1, h.replica.log.entries...))
		current, committed := learner.replica.Membership()
		So(committed, ShouldBeTrue)
		So(current.Voters, ShouldResemble, allMembers[:3])
		learner.replica.Compact([]byte("state"))
		So(learner.replica.log.snapshot.Membership, ShouldResemble, current)
	})
	Convey("A log without a membership is not compacted, because every replica would reject the snapshot", t, func() {
		learner := newHarness(0, State{})
		learner.step(memberB, appendMessage(1, 0, 0, 1, Entry{Index: 1, Term: 1, Command: []byte("x")}))
		learner.replica.Compact([]byte("state"))
		So(learner.replica.log.snapshot.Index, ShouldEqual, 0)
	})
}
