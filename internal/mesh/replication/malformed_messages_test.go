package replication

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestMalformedMessagesChangeNothing(t *testing.T) {
	threeVoters := Membership{Voters: allMembers[:3]}
	chunk := func(modify func(*SnapshotChunk)) Message {
		p := &SnapshotChunk{Header: SnapshotHeader{Index: 9, Term: 1, Membership: threeVoters, Size: 4}, Data: []byte("ab")}
		modify(p)
		return Message{Term: 2, SnapshotChunk: p}
	}
	encodedMembership := func(data []byte) Message {
		return appendMessage(2, 0, 0, 0, Entry{Index: 1, Term: 1, Kind: EntryMembership, Command: data})
	}
	membership := func(m Membership) Message { return encodedMembership(m.encode()) }
	cases := map[string]Message{
		"from another cluster": {
			Cluster: testCluster + 1, Term: 2, VoteRequest: &VoteRequest{LastIndex: 9, LastTerm: 9},
		},
		"without a payload":                {Term: 2},
		"with two payloads":                {Term: 2, VoteRequest: &VoteRequest{}, Append: &AppendEntries{}},
		"with a gap in the entries":        appendMessage(2, 0, 0, 0, Entry{Index: 2, Term: 1}),
		"with entries of a later term":     appendMessage(2, 0, 0, 0, Entry{Index: 1, Term: 3}),
		"with a truncated membership":      encodedMembership(threeVoters.encode()[:9]),
		"with a membership without voters": membership(Membership{}),
		"with a duplicate voter":           membership(Membership{Voters: []MemberID{memberA, memberB, memberB}}),
		"with two disks at one address":    membership(Membership{Voters: []MemberID{memberA, memberB, memberB + "#2"}}),
		"with a voter without a port":      membership(Membership{Voters: []MemberID{memberA, "10.0.0.2"}}),
		"with a duplicate outgoing voter": membership(Membership{
			Voters: allMembers[:3], Outgoing: []MemberID{memberA, memberA},
		}),
		"with too many voters":              membership(Membership{Voters: make([]MemberID, maxVoters+1)}),
		"with a snapshot at index 0":        chunk(func(p *SnapshotChunk) { p.Header.Index = 0 }),
		"with a snapshot that is too large": chunk(func(p *SnapshotChunk) { p.Header.Size = maxSnapshotBytes + 1 }),
		"with a snapshot of negative size":  chunk(func(p *SnapshotChunk) { p.Header.Size = -1 }),
		"with a negative chunk offset":      chunk(func(p *SnapshotChunk) { p.Offset = -1 }),
		"with a chunk beyond the end":       chunk(func(p *SnapshotChunk) { p.Offset = 3 }),
		"with a snapshot without voters":    chunk(func(p *SnapshotChunk) { p.Header.Membership = Membership{} }),
	}
	for name, msg := range cases {
		Convey("A message "+name+" is counted and changes nothing", t, func() {
			h := newHarness(3, State{HardState: HardState{Term: 1}})
			before := h.describeState()
			So(h.step(memberB, msg), ShouldBeEmpty)
			So(h.replica.RejectedMessages(), ShouldEqual, 1)
			So(h.describeState(), ShouldEqual, before)
		})
	}
	Convey("A message from the replica itself is counted and changes nothing", t, func() {
		h := newHarness(3, State{HardState: HardState{Term: 1}})
		before := h.describeState()
		So(h.step(memberA, voteRequest(2)), ShouldBeEmpty)
		So(h.replica.RejectedMessages(), ShouldEqual, 1)
		So(h.describeState(), ShouldEqual, before)
	})
}

func TestImpossibleResponsesConfirmNothing(t *testing.T) {
	for name, response := range map[string]AppendResponse{
		"to a message sent in the future":      {Match: 1, SentAt: time.Hour},
		"to a read round that has not started": {Match: 1, ReadRound: 9},
	} {
		Convey("A response "+name+" is counted and confirms nothing", t, func() {
			h := newHarness(3, State{})
			term := h.elect(false, memberB)
			_, err := h.replica.Read(h.now)
			So(err, ShouldBeNil)
			h.processReady()
			contact := h.replica.lastQuorumContact()
			h.step(memberB, Message{Term: term, AppendResponse: &response})
			So(h.replica.RejectedMessages(), ShouldEqual, 1)
			So(h.replica.commit, ShouldEqual, 0)
			So(h.replica.pendingReads, ShouldHaveLength, 1)
			So(h.replica.lastQuorumContact(), ShouldEqual, contact)
		})
	}
}

// FuzzStep checks that no message makes a follower, a learner or a leader panic, or decreases its term
// or its commit index.
func FuzzStep(f *testing.F) {
	seeds := []Message{
		voteRequest(3), grantedVote(2), appendMessage(2, 0, 0, 1, Entry{Index: 1, Term: 1, Command: []byte("x")}),
		{Term: 2, AppendResponse: &AppendResponse{Match: 1 << 60, Rejected: true}},
		{Term: 2, AppendResponse: &AppendResponse{Match: 1 << 60, ReadRound: 1 << 60}},
		{Term: 2, SnapshotResponse: &SnapshotResponse{Index: 1, Offset: -1}},
		{Term: 2, TimeoutNow: &TimeoutNow{}},
		{Term: 2, SnapshotChunk: &SnapshotChunk{Header: SnapshotHeader{
			Index: 1 << 60, Term: 1, Membership: Membership{Voters: allMembers[:3]},
		}}},
	}
	for _, msg := range seeds {
		msg.Cluster = testCluster
		data, err := json.Marshal(msg)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
		f.Add(data[:len(data)/2])
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var msg Message
		if json.Unmarshal(data, &msg) != nil {
			return
		}
		msg.Cluster = testCluster
		for _, isVoter := range []bool{true, false} {
			state := State{ID: memberA, Cluster: testCluster, HardState: HardState{Term: 1}}
			if isVoter {
				state.Snapshot.Membership = Membership{Voters: allMembers[:3]}
			}
			r, err := NewReplica(ReplicaConfig{State: state}, 0)
			if err != nil {
				t.Fatal(err)
			}
			h := &harness{replica: r, disk: state}
			for i := range 3 {
				term, commit := r.hardState.Term, r.commit
				r.Step(h.now, memberB, msg)
				h.processReady()
				if r.hardState.Term < term || r.commit < commit {
					t.Fatalf("term is %d after it was %d, commit index is %d after it was %d",
						r.hardState.Term, term, r.commit, commit)
				}
				if i == 1 && isVoter && r.role != leader {
					h.now += time.Second
					r.startElection(h.now, VoteRequest{})
					h.processReady()
					r.becomeLeader(h.now)
				}
			}
		}
	})
}
