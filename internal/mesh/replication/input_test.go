package replication

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// holds is all that a message could change.
func (b *bench) holds() string {
	r := b.r
	return fmt.Sprint(r.role, r.leader, r.hardState, r.log, r.memberships, r.commit, r.matchedIndex, r.incoming, r.lastContact, r.electionDeadline, b.disk)
}

func TestImproperMessages(t *testing.T) {
	three := Membership{Voters: allMembers[:3]}
	piece := func(change func(*SnapshotChunk)) Message {
		p := &SnapshotChunk{Header: SnapshotHeader{Index: 9, Term: 1, Membership: three, Size: 4}, Data: []byte("ab")}
		change(p)
		return Message{Term: 2, SnapshotChunk: p}
	}
	membership := func(m Membership) Message {
		return entriesFrom(2, 0, 0, 0, Entry{Index: 1, Term: 1, Kind: EntryMembership, Command: m.encode()})
	}
	cases := map[string]Message{
		"of another cluster":            {Cluster: testCluster + 1, Term: 2, VoteRequest: &VoteRequest{LastIndex: 9, LastTerm: 9}},
		"without a part":                {Term: 2},
		"with two parts":                {Term: 2, VoteRequest: &VoteRequest{}, Append: &AppendEntries{}},
		"entries with a gap":            entriesFrom(2, 0, 0, 0, Entry{Index: 2, Term: 1}),
		"entries of a later term":       entriesFrom(2, 0, 0, 0, Entry{Index: 1, Term: 3}),
		"a membership cut short":        entriesFrom(2, 0, 0, 0, Entry{Index: 1, Term: 1, Kind: EntryMembership, Command: three.encode()[:9]}),
		"a membership of nobody":        membership(Membership{}),
		"one name twice":                membership(Membership{Voters: []MemberID{memberA, memberB, memberB}}),
		"two disks at one address":      membership(Membership{Voters: []MemberID{memberA, memberB, memberB + "#2"}}),
		"an address that is none":       membership(Membership{Voters: []MemberID{memberA, "10.0.0.2"}}),
		"one name twice in the old set": membership(Membership{Voters: allMembers[:3], Outgoing: []MemberID{memberA, memberA}}),
		"more voters than may be":       membership(Membership{Voters: make([]MemberID, maxVoters+1)}),
		"a snapshot of nothing":         piece(func(p *SnapshotChunk) { p.Header.Index = 0 }),
		"a snapshot that is too large":  piece(func(p *SnapshotChunk) { p.Header.Size = maxSnapshotBytes + 1 }),
		"a snapshot of less than none":  piece(func(p *SnapshotChunk) { p.Header.Size = -1 }),
		"a piece before the beginning":  piece(func(p *SnapshotChunk) { p.Offset = -1 }),
		"a piece beyond the end":        piece(func(p *SnapshotChunk) { p.Offset = 3 }),
		"a snapshot without voters":     piece(func(p *SnapshotChunk) { p.Header.Membership = Membership{} }),
	}
	for name, msg := range cases {
		Convey("A message "+name+" is counted and changes nothing", t, func() {
			b := newBench(3, State{HardState: HardState{Term: 1}})
			before := b.holds()
			So(b.step(memberB, msg), ShouldBeEmpty)
			So(b.r.RejectedMessages(), ShouldEqual, 1)
			So(b.holds(), ShouldEqual, before)
		})
	}
	Convey("A message of the replica itself is counted and changes nothing", t, func() {
		b := newBench(3, State{HardState: HardState{Term: 1}})
		before := b.holds()
		So(b.step(memberA, voteRequest(2)), ShouldBeEmpty)
		So(b.r.RejectedMessages(), ShouldEqual, 1)
		So(b.holds(), ShouldEqual, before)
	})
}

func TestImproperAnswers(t *testing.T) {
	for name, answer := range map[string]AppendResponse{
		"from the future":             {Match: 1, SentAt: time.Hour},
		"to a round that never began": {Match: 1, ReadRound: 9},
	} {
		Convey("An answer "+name+" is counted and confirms nothing", t, func() {
			b := newBench(3, State{})
			term := b.led(false, memberB)
			_, err := b.r.Read(b.now)
			So(err, ShouldBeNil)
			b.drain()
			heard := b.r.lastQuorumContact()
			b.step(memberB, Message{Term: term, AppendResponse: &answer})
			So(b.r.RejectedMessages(), ShouldEqual, 1)
			So(b.r.commit, ShouldEqual, 0)
			So(b.r.pendingReads, ShouldHaveLength, 1)
			So(b.r.lastQuorumContact(), ShouldEqual, heard)
		})
	}
}

// FuzzStep feeds a follower, a learner and a leader what may be any message: none of them panics, nor
// goes back behind what it promised or committed.
func FuzzStep(f *testing.F) {
	seeds := []Message{
		voteRequest(3), voteFor(2), entriesFrom(2, 0, 0, 1, Entry{Index: 1, Term: 1, Command: []byte("x")}),
		{Term: 2, AppendResponse: &AppendResponse{Match: 1 << 60, Rejected: true}},
		{Term: 2, AppendResponse: &AppendResponse{Match: 1 << 60, ReadRound: 1 << 60}},
		{Term: 2, SnapshotResponse: &SnapshotResponse{Index: 1, Offset: -1}},
		{Term: 2, TimeoutNow: &TimeoutNow{}},
		{Term: 2, SnapshotChunk: &SnapshotChunk{Header: SnapshotHeader{Index: 1 << 60, Term: 1, Membership: Membership{Voters: allMembers[:3]}}}},
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
		for _, votes := range []bool{true, false} {
			state := State{ID: memberA, Cluster: testCluster, HardState: HardState{Term: 1}}
			if votes {
				state.Snapshot.Membership = Membership{Voters: allMembers[:3]}
			}
			r, err := NewReplica(ReplicaConfig{State: state}, 0)
			if err != nil {
				t.Fatal(err)
			}
			b := &bench{r: r, disk: state}
			for i := range 3 {
				term, commit := r.hardState.Term, r.commit
				r.Step(b.now, memberB, msg)
				b.drain()
				if r.hardState.Term < term || r.commit < commit {
					t.Fatalf("term %d after %d, commit %d after %d", r.hardState.Term, term, r.commit, commit)
				}
				if i == 1 && votes && r.role != leader {
					b.now += time.Second
					r.startElection(b.now, VoteRequest{})
					b.drain()
					r.becomeLeader(b.now)
				}
			}
		}
	})
}
