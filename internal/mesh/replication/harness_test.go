package replication

import (
	"fmt"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	// memberA to memberE are the members in tests that pass messages to a replica directly.
	memberA MemberID = "10.0.0.1:1"
	memberB MemberID = "10.0.0.2:1"
	memberC MemberID = "10.0.0.3:1"
	memberD MemberID = "10.0.0.4:1"
	memberE MemberID = "10.0.0.5:1"
	// testCluster is the id of the cluster in these tests.
	testCluster ClusterID = 77
)

var allMembers = []MemberID{memberA, memberB, memberC, memberD, memberE}

// harness runs a single replica, memberA, on a disk that never fails. Tests pass messages to the
// replica directly and control its clock.
type harness struct {
	replica *Replica
	disk    State
	now     time.Duration
	// committed holds the committed entries that Ready has returned.
	committed []Entry
}

// newHarness starts a replica on disk. Unless the disk has a snapshot, the membership consists of the
// first size members. With size 0 the replica starts without a membership, as a learner.
func newHarness(size int, disk State) *harness {
	disk.ID, disk.Cluster = memberA, testCluster
	if size > 0 && disk.Snapshot.Index == 0 {
		disk.Snapshot.Membership = Membership{Voters: allMembers[:size]}
	}
	r, err := NewReplica(ReplicaConfig{State: disk}, 0)
	So(err, ShouldBeNil)
	return &harness{replica: r, disk: disk}
}

// processReady does the work of Ready until there is none left, and returns the messages by recipient.
func (h *harness) processReady() map[MemberID][]Message {
	sent := map[MemberID][]Message{}
	for {
		ready, ok := h.replica.Ready(h.now)
		if !ok {
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

// step passes a message to the replica and returns the messages that the replica sends as a result.
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

func grantedVote(term Term) Message { return Message{Term: term, VoteResponse: &VoteResponse{}} }

// appendResponse returns a response to the newest message of the replica, which is the leader, with
// the given match index.
func (h *harness) appendResponse(term Term, index Index) Message {
	response := AppendResponse{Match: index, SentAt: h.now, ReadRound: h.replica.readRound}
	return Message{Term: term, AppendResponse: &response}
}

func appendMessage(term Term, prev Index, prevTerm Term, commit Index, entries ...Entry) Message {
	return Message{Term: term, Append: &AppendEntries{
		Heartbeat: Heartbeat{Commit: commit}, PrevIndex: prev, PrevTerm: prevTerm, Entries: entries,
	}}
}

// campaign makes the replica a candidate in the next term, by means of pre-votes from granted. It
// returns the term.
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

// elect makes the replica the leader with the votes of voters. If commit is set, voters also
// acknowledge the leader's first entry, so that it is committed. elect returns the term.
func (h *harness) elect(commit bool, voters ...MemberID) Term {
	term := h.campaign(voters...)
	for _, id := range voters {
		h.step(id, grantedVote(term))
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

// describeState formats all state of the replica that a message could change.
func (h *harness) describeState() string {
	r := h.replica
	return fmt.Sprint(r.role, r.leader, r.hardState, r.log, r.memberships, r.commit, r.matchedIndex, r.incoming,
		r.lastContact, r.electionDeadline, h.disk)
}
