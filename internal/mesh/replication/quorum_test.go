package replication

import (
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestQuorum(t *testing.T) {
	Convey("A majority is more than half of the voters, also of an even number of voters", t, func() {
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
	Convey("A leader commits an entry of an earlier term only together with an entry of its own term", t, func() {
		old := Entry{Index: 1, Term: 1, Command: []byte("old")}
		h := newHarness(3, State{HardState: HardState{Term: 1}, Entries: []Entry{old}})
		term := h.elect(false, memberB)
		h.step(memberC, h.appendResponse(term, 1))
		So(h.replica.commit, ShouldEqual, 0)
		h.step(memberB, h.appendResponse(term, 2))
		So(h.replica.commit, ShouldEqual, 2)
	})
	Convey("Responses of learners, of other disks at a voter's address and of earlier terms commit nothing", t, func() {
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
	Convey("A follower commits only entries that are known to equal the leader's entries", t, func() {
		entries := []Entry{{Index: 1, Term: 1}, {Index: 2, Term: 1, Command: []byte("other")}}
		h := newHarness(3, State{HardState: HardState{Term: 1}, Entries: entries})
		h.step(memberB, appendMessage(2, 1, 1, 2))
		So(h.replica.commit, ShouldEqual, 1)
		h.step(memberB, appendMessage(2, 1, 1, 2, Entry{Index: 2, Term: 2, Command: []byte("x")}))
		So(string(h.committed[1].Command), ShouldEqual, "x")
	})
	Convey("An entry on the leader's own disk counts toward the quorum only after it is synced", t, func() {
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
}
