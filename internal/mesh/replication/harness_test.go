package replication

import (
	"fmt"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Members of the tests that step messages by hand.
const (
	memberA MemberID = "10.0.0.1:1"
	memberB MemberID = "10.0.0.2:1"
	memberC MemberID = "10.0.0.3:1"
	memberD MemberID = "10.0.0.4:1"
	memberE MemberID = "10.0.0.5:1"
	// testCluster is the cluster of these tests.
	testCluster ClusterID = 77
)

var allMembers = []MemberID{memberA, memberB, memberC, memberD, memberE}

// harness steps messages by hand through one replica, memberA, whose disk never fails.
type harness struct {
	replica *Replica
	disk    State
	now     time.Duration
	// committed are the entries that were handed out as committed.
	committed []Entry
}

func newHarness(size int, disk State) *harness {
	disk.ID, disk.Cluster = memberA, testCluster
	if size > 0 && disk.Snapshot.Index == 0 {
		disk.Snapshot.Membership = Membership{Voters: allMembers[:size]}
	}
	r, err := NewReplica(ReplicaConfig{State: disk}, 0)
	So(err, ShouldBeNil)
	return &harness{replica: r, disk: disk}
}

// processReady does everything that is ready and returns the messages for each member.
func (h *harness) processReady() map[MemberID][]Message {
	sent := map[MemberID][]Message{}
	for {
		ready, some := h.replica.Ready(h.now)
		if !some {
			return sent
		}
		if ready.Persist != nil {
			h.disk.applyBatch(ready.Persist)
		}
		for _, e := range ready.Messages {
			sent[e.To] = append(sent[e.To], e.Message)
		}
		h.committed = append(h.committed, ready.CommittedEntries...)
		h.replica.Advance(h.now, &ready)
	}
}

func (h *harness) step(from MemberID, msg Message) map[MemberID][]Message {
	if msg.Cluster == 0 {
		msg.Cluster = testCluster
	}
	h.replica.Step(h.now, from, msg)
	return h.processReady()
}

func voteRequest(term Term) Message {
	return Message{Term: term, VoteRequest: &VoteRequest{LastIndex: 100, LastTerm: term}}
}

func voteFor(term Term) Message { return Message{Term: term, VoteResponse: &VoteResponse{}} }

// appendResponse answers the newest message of the leader.
func (h *harness) appendResponse(term Term, index Index) Message {
	response := AppendResponse{Match: index, SentAt: h.now, ReadRound: h.replica.readRound}
	return Message{Term: term, AppendResponse: &response}
}

func entriesFrom(term Term, prev Index, prevTerm Term, commit Index, entries ...Entry) Message {
	return Message{Term: term, Append: &AppendEntries{
		Heartbeat: Heartbeat{Commit: commit}, PrevIndex: prev, PrevTerm: prevTerm, Entries: entries,
	}}
}

// campaign makes the replica a candidate in the next term, with the pre-votes of granted.
func (h *harness) campaign(granted ...MemberID) Term {
	h.now += time.Second
	h.replica.Tick(h.now)
	h.processReady()
	term := h.replica.hardState.Term + 1
	for _, id := range granted {
		h.step(id, Message{Term: term, VoteResponse: &VoteResponse{PreVote: true}})
	}
	So(h.replica.role, ShouldEqual, candidate)
	return term
}

// elect makes the replica the leader, with its first entry committed where commit says so.
func (h *harness) elect(commit bool, voters ...MemberID) Term {
	term := h.campaign(voters...)
	for _, id := range voters {
		h.step(id, voteFor(term))
	}
	So(h.replica.role, ShouldEqual, leader)
	if commit {
		for _, id := range voters {
			h.step(id, h.appendResponse(term, h.replica.log.lastIndex()))
		}
		So(h.replica.hasCommittedInTerm(), ShouldBeTrue)
	}
	return term
}

// describeState formats everything that a message could change.
func (h *harness) describeState() string {
	r := h.replica
	return fmt.Sprint(r.role, r.leader, r.hardState, r.log, r.memberships, r.commit, r.matchedIndex, r.incoming,
		r.lastContact, r.electionDeadline, h.disk)
}
