package replication

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestVotes(t *testing.T) {
	Convey("A vote survives a power loss, and a request for a second vote in the same term is rejected", t, func() {
		h := newHarness(3, State{})
		sent := h.step(memberB, voteRequest(4))
		So(sent[memberB][0].VoteResponse.Rejected, ShouldBeFalse)
		So(h.disk.HardState, ShouldResemble, HardState{Term: 4, Vote: memberB})
		h = newHarness(3, h.disk)
		sent = h.step(memberC, voteRequest(4))
		So(sent[memberC][0].VoteResponse.Rejected, ShouldBeTrue)
	})
	Convey("A vote is sent, and the replica's own vote is counted, only with the Ready that syncs the vote", t, func() {
		h := newHarness(1, State{})
		h.now = time.Second
		h.replica.Tick(h.now)
		So(h.replica.role, ShouldEqual, candidate)
		ready, _ := h.replica.Ready(h.now)
		So(ready.Persist.HardState, ShouldResemble, &HardState{Term: 1, Vote: memberA})
		So(h.replica.role, ShouldEqual, candidate)
		h.replica.Advance(h.now, &ready)
		So(h.replica.role, ShouldEqual, leader)
		h = newHarness(3, State{})
		msg := voteRequest(4)
		msg.Cluster = testCluster
		h.replica.Step(h.now, memberB, msg)
		ready, _ = h.replica.Ready(h.now)
		So(ready.Messages, ShouldHaveLength, 1)
		So(ready.Persist, ShouldNotBeNil)
		So(ready.Persist.HardState, ShouldResemble, &HardState{Term: 4, Vote: memberB})
	})
	Convey("A vote in a term that is already synced is sent in the Ready that syncs the vote", t, func() {
		h := newHarness(3, State{Entries: []Entry{{Index: 1, Term: 1}}})
		outdated := Message{Term: 4, VoteRequest: &VoteRequest{}}
		So(h.step(memberC, outdated)[memberC][0].VoteResponse.Rejected, ShouldBeTrue)
		msg := voteRequest(4)
		msg.Cluster = testCluster
		h.replica.Step(h.now, memberB, msg)
		ready, _ := h.replica.Ready(h.now)
		So(ready.Messages[0].Message.VoteResponse.Rejected, ShouldBeFalse)
		So(ready.Persist, ShouldNotBeNil)
		So(ready.Persist.HardState, ShouldResemble, &HardState{Term: 4, Vote: memberB})
	})
	Convey("The replica's own vote does not count before it is synced, even if another vote arrives", t, func() {
		h := newHarness(3, State{})
		h.step(memberB, appendMessage(1, 0, 0, 0))
		h.replica.Step(h.now, memberB, Message{Cluster: testCluster, Term: 1, TimeoutNow: &TimeoutNow{}})
		h.replica.Step(h.now, memberC, Message{Cluster: testCluster, Term: 2, VoteResponse: &VoteResponse{}})
		So(h.replica.role, ShouldEqual, candidate)
		h.processReady()
		So(h.replica.role, ShouldEqual, leader)
		So(h.disk.HardState, ShouldResemble, HardState{Term: 2, Vote: memberA})
	})
	Convey("A candidate ignores votes of a learner and of another disk at a voter's address", t, func() {
		h := newHarness(3, State{})
		term := h.campaign(memberB)
		h.step(memberD, grantedVote(term))
		h.step(memberB+"#1", grantedVote(term))
		So(h.replica.role, ShouldEqual, candidate)
		h.step(memberB, grantedVote(term))
		So(h.replica.role, ShouldEqual, leader)
	})
	Convey("With a joint membership, a candidate needs majorities of both sets", t, func() {
		jointMembership := Membership{
			Voters:   []MemberID{memberA, memberD, memberE},
			Outgoing: []MemberID{memberA, memberB, memberC},
		}
		for _, firstVoter := range []MemberID{memberB, memberD} {
			h := newHarness(3, State{
				Snapshot:  Snapshot{Index: 1, Term: 1, Membership: jointMembership},
				HardState: HardState{Term: 1},
			})
			term := h.campaign(memberB, memberD)
			h.step(firstVoter, grantedVote(term))
			So(h.replica.role, ShouldEqual, candidate)
			h.step(memberB, grantedVote(term))
			h.step(memberD, grantedVote(term))
			So(h.replica.role, ShouldEqual, leader)
		}
	})
	Convey("During a leader's lease, a vote is granted only in a leadership transfer", t, func() {
		h := newHarness(3, State{})
		h.step(memberB, appendMessage(1, 0, 0, 0))
		h.now += MinElectionTimeout / 2
		So(h.step(memberC, voteRequest(5)), ShouldBeEmpty)
		So(h.replica.hardState.Term, ShouldEqual, 1)
		transfer := voteRequest(5)
		transfer.VoteRequest.Transfer = true
		So(h.step(memberC, transfer)[memberC][0].VoteResponse.Rejected, ShouldBeFalse)
	})
}
