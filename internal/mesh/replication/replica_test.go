package replication

import (
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/smartystreets/goconvey/convey"

	"caperarch/internal/mesh/errs"
)

// Members of the tests that play messages by hand.
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

// bench plays messages by hand against one replica, memberA, whose disk never fails.
type bench struct {
	r    *Replica
	disk State
	now  time.Duration
	// committed is what was handed out as committed.
	committed []Entry
}

func newBench(size int, disk State) *bench {
	disk.ID, disk.Cluster = memberA, testCluster
	if size > 0 && disk.Snapshot.Index == 0 {
		disk.Snapshot.Membership = Membership{Voters: allMembers[:size]}
	}
	r, err := NewReplica(ReplicaConfig{State: disk}, 0)
	So(err, ShouldBeNil)
	return &bench{r: r, disk: disk}
}

// drain does all that is ready and returns the messages for each member.
func (b *bench) drain() map[MemberID][]Message {
	sent := map[MemberID][]Message{}
	for {
		ready, some := b.r.Ready(b.now)
		if !some {
			return sent
		}
		if ready.Persist != nil {
			b.disk.put(ready.Persist)
		}
		for _, e := range ready.Messages {
			sent[e.To] = append(sent[e.To], e.Message)
		}
		b.committed = append(b.committed, ready.CommittedEntries...)
		b.r.Advance(b.now, &ready)
	}
}

func (b *bench) step(from MemberID, msg Message) map[MemberID][]Message {
	if msg.Cluster == 0 {
		msg.Cluster = testCluster
	}
	b.r.Step(b.now, from, msg)
	return b.drain()
}

func voteRequest(term Term) Message {
	return Message{Term: term, VoteRequest: &VoteRequest{LastIndex: 100, LastTerm: term}}
}

func voteFor(term Term) Message { return Message{Term: term, VoteResponse: &VoteResponse{}} }

// matches answers the newest message of the leader.
func (b *bench) matches(term Term, index Index) Message {
	return Message{Term: term, AppendResponse: &AppendResponse{Match: index, SentAt: b.now, ReadRound: b.r.readRound}}
}

func entriesFrom(term Term, prev Index, prevTerm Term, commit Index, entries ...Entry) Message {
	return Message{Term: term, Append: &AppendEntries{
		Heartbeat: Heartbeat{Commit: commit}, PrevIndex: prev, PrevTerm: prevTerm, Entries: entries,
	}}
}

// ballot brings the replica to where it asks for votes in the next term.
func (b *bench) ballot(grants ...MemberID) Term {
	b.now += time.Second
	b.r.Tick(b.now)
	b.drain()
	term := b.r.hardState.Term + 1
	for _, id := range grants {
		b.step(id, Message{Term: term, VoteResponse: &VoteResponse{PreVote: true}})
	}
	So(b.r.role, ShouldEqual, candidate)
	return term
}

// led brings the replica to lead, with its first entry committed where commit says so.
func (b *bench) led(commit bool, voters ...MemberID) Term {
	term := b.ballot(voters...)
	for _, id := range voters {
		b.step(id, voteFor(term))
	}
	So(b.r.role, ShouldEqual, leader)
	if commit {
		for _, id := range voters {
			b.step(id, b.matches(term, b.r.log.lastIndex()))
		}
		So(b.r.hasCommittedInTerm(), ShouldBeTrue)
	}
	return term
}

func TestVotes(t *testing.T) {
	Convey("A vote is kept over a loss of power, and a second one in its term refused", t, func() {
		b := newBench(3, State{})
		sent := b.step(memberB, voteRequest(4))
		So(sent[memberB][0].VoteResponse.Rejected, ShouldBeFalse)
		So(b.disk.HardState, ShouldResemble, HardState{Term: 4, Vote: memberB})
		b = newBench(3, b.disk)
		sent = b.step(memberC, voteRequest(4))
		So(sent[memberC][0].VoteResponse.Rejected, ShouldBeTrue)
	})
	Convey("A vote goes out in no Ready but the one that syncs it or a later one, the own one included", t, func() {
		b := newBench(1, State{})
		b.now = time.Second
		b.r.Tick(b.now)
		So(b.r.role, ShouldEqual, candidate)
		ready, _ := b.r.Ready(b.now)
		So(ready.Persist.HardState, ShouldResemble, &HardState{Term: 1, Vote: memberA})
		So(b.r.role, ShouldEqual, candidate)
		b.r.Advance(b.now, &ready)
		So(b.r.role, ShouldEqual, leader)
		b = newBench(3, State{})
		msg := voteRequest(4)
		msg.Cluster = testCluster
		b.r.Step(b.now, memberB, msg)
		ready, _ = b.r.Ready(b.now)
		So(ready.Messages, ShouldHaveLength, 1)
		So(ready.Persist, ShouldNotBeNil)
		So(ready.Persist.HardState, ShouldResemble, &HardState{Term: 4, Vote: memberB})
	})
	Convey("So does a vote in a term that is synced already", t, func() {
		b := newBench(3, State{Entries: []Entry{{Index: 1, Term: 1}}})
		behind := Message{Term: 4, VoteRequest: &VoteRequest{}}
		So(b.step(memberC, behind)[memberC][0].VoteResponse.Rejected, ShouldBeTrue)
		msg := voteRequest(4)
		msg.Cluster = testCluster
		b.r.Step(b.now, memberB, msg)
		ready, _ := b.r.Ready(b.now)
		So(ready.Messages[0].Message.VoteResponse.Rejected, ShouldBeFalse)
		So(ready.Persist, ShouldNotBeNil)
		So(ready.Persist.HardState, ShouldResemble, &HardState{Term: 4, Vote: memberB})
	})
	Convey("The own vote doesn't count before it is synced, whoever else votes", t, func() {
		b := newBench(3, State{})
		b.step(memberB, entriesFrom(1, 0, 0, 0))
		b.r.Step(b.now, memberB, Message{Cluster: testCluster, Term: 1, TimeoutNow: &TimeoutNow{}})
		b.r.Step(b.now, memberC, Message{Cluster: testCluster, Term: 2, VoteResponse: &VoteResponse{}})
		So(b.r.role, ShouldEqual, candidate)
		b.drain()
		So(b.r.role, ShouldEqual, leader)
		So(b.disk.HardState, ShouldResemble, HardState{Term: 2, Vote: memberA})
	})
	Convey("A candidate counts no vote of a learner or of another disk at a voter's address", t, func() {
		b := newBench(3, State{})
		term := b.ballot(memberB)
		b.step(memberD, voteFor(term))
		b.step(memberB+"#1", voteFor(term))
		So(b.r.role, ShouldEqual, candidate)
		b.step(memberB, voteFor(term))
		So(b.r.role, ShouldEqual, leader)
	})
	Convey("In the joint phase votes of both sets are needed", t, func() {
		joint := Membership{Voters: []MemberID{memberA, memberD, memberE}, Outgoing: []MemberID{memberA, memberB, memberC}}
		for _, half := range []MemberID{memberB, memberD} {
			b := newBench(3, State{Snapshot: Snapshot{Index: 1, Term: 1, Membership: joint}, HardState: HardState{Term: 1}})
			term := b.ballot(memberB, memberD)
			b.step(half, voteFor(term))
			So(b.r.role, ShouldEqual, candidate)
			b.step(memberB, voteFor(term))
			b.step(memberD, voteFor(term))
			So(b.r.role, ShouldEqual, leader)
		}
	})
	Convey("While a leader is heard no vote is given, unless that leader asked for the election", t, func() {
		b := newBench(3, State{})
		b.step(memberB, entriesFrom(1, 0, 0, 0))
		b.now += MinElectionTimeout / 2
		So(b.step(memberC, voteRequest(5)), ShouldBeEmpty)
		So(b.r.hardState.Term, ShouldEqual, 1)
		handed := voteRequest(5)
		handed.VoteRequest.Transfer = true
		So(b.step(memberC, handed)[memberC][0].VoteResponse.Rejected, ShouldBeFalse)
	})
}

func TestMajorities(t *testing.T) {
	Convey("A majority is more than half, of even sets too", t, func() {
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

func TestCommitment(t *testing.T) {
	Convey("A leader counts no majority for an older term's entry", t, func() {
		b := newBench(3, State{HardState: HardState{Term: 1}, Entries: []Entry{{Index: 1, Term: 1, Command: []byte("old")}}})
		term := b.led(false, memberB)
		b.step(memberC, b.matches(term, 1))
		So(b.r.commit, ShouldEqual, 0)
		b.step(memberB, b.matches(term, 2))
		So(b.r.commit, ShouldEqual, 2)
	})
	Convey("It counts neither learners, nor other disks at a voter's address, nor answers to an earlier term", t, func() {
		b := newBench(3, State{})
		term := b.led(false, memberB)
		b.step(memberB+"#1", b.matches(term, 1))
		So(b.r.commit, ShouldEqual, 0)
		b.r.SetLearners(b.now, []MemberID{memberD, memberB + "#1"})
		b.drain()
		b.step(memberD, b.matches(term, 1))
		b.step(memberB+"#1", b.matches(term, 1))
		b.step(memberB, b.matches(term-1, 1))
		So(b.r.commit, ShouldEqual, 0)
		b.step(memberB, b.matches(term, 1))
		So(b.r.commit, ShouldEqual, 1)
	})
	Convey("A follower applies nothing that its leader hasn't confirmed to be the same there", t, func() {
		b := newBench(3, State{HardState: HardState{Term: 1}, Entries: []Entry{{Index: 1, Term: 1}, {Index: 2, Term: 1, Command: []byte("other")}}})
		b.step(memberB, entriesFrom(2, 1, 1, 2))
		So(b.r.commit, ShouldEqual, 1)
		b.step(memberB, entriesFrom(2, 1, 1, 2, Entry{Index: 2, Term: 2, Command: []byte("x")}))
		So(string(b.committed[1].Command), ShouldEqual, "x")
	})
	Convey("Its own disk counts once it is synced", t, func() {
		b := newBench(3, State{})
		term := b.led(true, memberB)
		_, err := b.r.Propose(b.now, []byte("x"))
		So(err, ShouldBeNil)
		ready, _ := b.r.Ready(b.now)
		So(ready.Persist.Entries, ShouldHaveLength, 1)
		b.r.stepAppendResponse(b.now, memberB, term, b.matches(term, b.r.log.lastIndex()).AppendResponse)
		So(b.r.commit, ShouldEqual, b.r.log.lastIndex()-1)
		b.r.Advance(b.now, &ready)
		So(b.r.commit, ShouldEqual, b.r.log.lastIndex())
	})
	Convey("A read needs a round of its own and an entry of the term", t, func() {
		b := newBench(3, State{})
		term := b.led(false, memberB)
		_, err := b.r.Read(b.now)
		So(err, ShouldBeNil)
		b.drain()
		b.step(memberC, b.matches(term, 0))
		So(b.r.pendingReads, ShouldHaveLength, 1)
		So(b.r.pendingReads[0].index, ShouldEqual, 0)
		b.step(memberB, b.matches(term, 1))
		So(b.r.pendingReads, ShouldBeEmpty)
		early := b.matches(term, 1)
		_, err = b.r.Read(b.now)
		So(err, ShouldBeNil)
		b.drain()
		b.step(memberB, early)
		So(b.r.pendingReads, ShouldHaveLength, 1)
		b.step(memberB, b.matches(term, 1))
		So(b.r.pendingReads, ShouldBeEmpty)
	})
	Convey("A confirmation is as old as the echo that came with it, and counts under a leader with an entry of its term alone", t, func() {
		b := newBench(3, State{})
		b.now = 10 * time.Second
		heartbeat := func(echo, age time.Duration) Message {
			msg := entriesFrom(1, 0, 0, 0)
			msg.Append.EchoedClock, msg.Append.QuorumAckAge = ClockReading{Incarnation: b.r.incarnation, At: echo}, age
			return msg
		}
		b.step(memberB, heartbeat(9*time.Second, forever))
		at, _, _ := b.r.LastQuorumAck()
		So(at, ShouldBeLessThan, 0)
		b.step(memberB, heartbeat(8*time.Second, time.Second))
		at, _, ok := b.r.LastQuorumAck()
		So(ok, ShouldBeTrue)
		So(at, ShouldEqual, 7*time.Second)
		other := heartbeat(9*time.Second, 0)
		other.Append.EchoedClock.Incarnation++
		b.step(memberB, other)
		at, _, _ = b.r.LastQuorumAck()
		So(at, ShouldEqual, 7*time.Second)
		lead := newBench(3, State{})
		lead.led(false, memberB)
		_, _, ok = lead.r.LastQuorumAck()
		So(ok, ShouldBeFalse)
		So(lead.r.heartbeat(lead.now, lead.r.peers[memberB]).QuorumAckAge, ShouldEqual, forever)
	})
	Convey("A confirmation that the application hasn't reached doesn't count", t, func() {
		var c contactTracker
		c.record(time.Second, 5)
		_, ok := c.age(2*time.Second, 4)
		So(ok, ShouldBeFalse)
		age, ok := c.age(2*time.Second, 5)
		So(ok, ShouldBeTrue)
		So(age, ShouldEqual, time.Second)
	})
}

func TestChangeOfMembership(t *testing.T) {
	Convey("Given a leader of three with a learner", t, func() {
		b := newBench(3, State{})
		term := b.led(false, memberB)
		swapped := []MemberID{memberA, memberB, memberD}
		b.r.SetLearners(b.now, []MemberID{memberD})
		b.drain()
		Convey("no change begins before an entry of its own term is committed", func() {
			So(errs.KindOf(b.r.ChangeMembership(b.now, swapped)), ShouldEqual, errs.Busy)
		})
		b.step(memberB, b.matches(term, 1))
		b.step(memberC, b.matches(term, 1))
		Convey("none with a learner that hasn't caught up, with one name twice, none, no address, or without the leader", func() {
			So(errs.KindOf(b.r.ChangeMembership(b.now, swapped)), ShouldEqual, errs.Busy)
			b.step(memberD, b.matches(term, 1))
			for _, voters := range [][]MemberID{
				{memberA, memberB, memberB}, {}, {memberA, "nowhere"}, {memberB, memberC, memberD},
				{memberA, memberB, memberB + "#1"}, {memberA, memberB, memberC},
			} {
				So(errs.KindOf(b.r.ChangeMembership(b.now, voters)), ShouldEqual, errs.Invalid)
			}
			So(b.r.ChangeMembership(b.now, swapped), ShouldBeNil)
		})
		Convey("one is committed by both sets, and a second one waits for its end", func() {
			b.step(memberD, b.matches(term, 1))
			So(b.r.ChangeMembership(b.now, swapped), ShouldBeNil)
			So(errs.KindOf(b.r.ChangeMembership(b.now, swapped)), ShouldEqual, errs.Busy)
			b.drain()
			b.step(memberC, b.matches(term, 2)) // a majority of the old set alone
			So(b.r.commit, ShouldEqual, 1)
			current, committed := b.r.Membership()
			So(current.IsJoint(), ShouldBeTrue)
			So(committed, ShouldBeFalse)
			b.step(memberD, b.matches(term, 2))
			So(b.r.commit, ShouldEqual, 2)
			So(errs.KindOf(b.r.ChangeMembership(b.now, allMembers[:3])), ShouldEqual, errs.Busy)
			b.step(memberD, b.matches(term, 3))
			current, committed = b.r.Membership()
			So(committed, ShouldBeTrue)
			So(current.Voters, ShouldResemble, swapped)
		})
		Convey("it doesn't end while only what came before it is committed", func() {
			b.step(memberD, b.matches(term, 1))
			_, err := b.r.Propose(b.now, []byte("x"))
			So(err, ShouldBeNil)
			So(b.r.ChangeMembership(b.now, swapped), ShouldBeNil)
			b.drain()
			b.step(memberB, b.matches(term, 2))
			b.step(memberD, b.matches(term, 2))
			So(b.r.commit, ShouldEqual, 2)
			current, _ := b.r.Membership()
			So(current.IsJoint(), ShouldBeTrue)
			b.step(memberB, b.matches(term, 3))
			b.step(memberD, b.matches(term, 3))
			current, _ = b.r.Membership()
			So(current.IsJoint(), ShouldBeFalse)
		})
		Convey("the new set alone commits nothing, either", func() {
			b.step(memberD, b.matches(term, 1))
			So(b.r.ChangeMembership(b.now, swapped), ShouldBeNil)
			b.drain()
			b.step(memberD, b.matches(term, 2))
			So(b.r.commit, ShouldEqual, 1)
		})
	})
	Convey("A membership goes with its entry, and stays in a snapshot of its place", t, func() {
		b := newBench(3, State{})
		four := Membership{Voters: allMembers[:4]}
		b.step(memberB, entriesFrom(1, 0, 0, 0, Entry{Index: 1, Term: 1, Command: []byte("x")},
			Entry{Index: 2, Term: 1, Kind: EntryMembership, Command: four.encode()}))
		current, _ := b.r.Membership()
		So(current, ShouldResemble, four)
		b.step(memberC, entriesFrom(2, 1, 1, 0, Entry{Index: 2, Term: 2, Command: []byte("y")}))
		current, _ = b.r.Membership()
		So(current.Voters, ShouldResemble, allMembers[:3])
		b.step(memberC, entriesFrom(2, 2, 2, 3, Entry{Index: 3, Term: 2, Kind: EntryMembership, Command: four.encode()}))
		b.r.Compact([]byte("state"))
		b.drain()
		So(b.disk.Snapshot.Membership, ShouldResemble, four)
		again := newBench(0, b.disk)
		current, _ = again.r.Membership()
		So(current, ShouldResemble, four)
	})
	Convey("A leader that is only in the outgoing set hands over, and a new voter ends the change", t, func() {
		joint := Membership{Voters: []MemberID{memberB, memberC, memberD}, Outgoing: allMembers[:3]}
		b := newBench(3, State{HardState: HardState{Term: 1}, Snapshot: Snapshot{Index: 1, Term: 1, Membership: joint}})
		term := b.led(true, memberB, memberC)
		b.step(memberD, b.matches(term, 2))
		current, committed := b.r.Membership()
		So(committed && current.IsJoint(), ShouldBeTrue)
		b.now += HeartbeatInterval
		b.r.Tick(b.now)
		handed := false
		for _, messages := range b.drain() {
			for _, msg := range messages {
				handed = handed || msg.TimeoutNow != nil
			}
		}
		So(handed, ShouldBeTrue)
	})
	Convey("A term opens with the membership in force, so a learner that has the log from its beginning knows who votes", t, func() {
		b := newBench(3, State{})
		b.led(true, memberB)
		learner := newBench(0, State{})
		learner.step(memberB, entriesFrom(b.r.hardState.Term, 0, 0, 1, b.r.log.entries...))
		current, committed := learner.r.Membership()
		So(committed, ShouldBeTrue)
		So(current.Voters, ShouldResemble, allMembers[:3])
		learner.r.Compact([]byte("state"))
		So(learner.r.log.snapshot.Membership, ShouldResemble, current)
	})
	Convey("Without a membership no snapshot is made: nobody could take it", t, func() {
		learner := newBench(0, State{})
		learner.step(memberB, entriesFrom(1, 0, 0, 1, Entry{Index: 1, Term: 1, Command: []byte("x")}))
		learner.r.Compact([]byte("state"))
		So(learner.r.log.snapshot.Index, ShouldEqual, 0)
	})
	Convey("Leadership goes to nobody who lacks what is committed", t, func() {
		b := newBench(3, State{})
		term := b.led(true, memberB)
		So(b.r.TransferLeadership(b.now), ShouldBeTrue)
		sent := b.drain()[memberB]
		So(sent[len(sent)-1].TimeoutNow, ShouldNotBeNil)
		// Only one that lacks it is in touch.
		b.now += ContactTimeout
		b.step(memberC, b.matches(term, 0))
		b.now += ContactTimeout / 2
		So(b.r.TransferLeadership(b.now), ShouldBeFalse)
		for _, messages := range b.drain() {
			for _, msg := range messages {
				So(msg.TimeoutNow, ShouldBeNil)
			}
		}
	})
	Convey("Who has asked another to take over counts no later confirmation, goes to none that leaves, and does not wait for ever", t, func() {
		b := newBench(3, State{})
		term := b.led(true, memberB)
		b.step(memberB, b.matches(term, 1))
		So(b.r.TransferLeadership(b.now, memberB), ShouldBeFalse)
		asked := b.now
		So(b.r.TransferLeadership(b.now), ShouldBeTrue)
		b.drain()
		for b.now < asked+leadershipTransferTimeout {
			b.now += HeartbeatInterval / 2
			b.step(memberB, b.matches(term, 1))
			So(b.r.IsLeader(b.now) || b.now > asked+leadershipTransferTimeout, ShouldBeTrue)
			at, _, _ := b.r.LastQuorumAck()
			So(at, ShouldBeLessThanOrEqualTo, asked)
		}
		b.now = asked + leadershipTransferTimeout + 1
		So(b.r.IsLeader(b.now), ShouldBeFalse)
	})
	Convey("A vote at a leader's wish is given to no log that lacks what is held", t, func() {
		b := newBench(3, State{HardState: HardState{Term: 2}, Entries: []Entry{{Index: 1, Term: 2, Command: []byte("x")}}})
		for _, request := range []VoteRequest{{LastIndex: 5, LastTerm: 1}, {LastIndex: 0, LastTerm: 2}} {
			request.Transfer = true
			sent := b.step(memberB, Message{Term: 3, VoteRequest: &request})
			So(sent[memberB][0].VoteResponse.Rejected, ShouldBeTrue)
		}
	})
}

func TestSnapshotPieces(t *testing.T) {
	piece := func(index Index, sum uint64, offset int, data string, size int) Message {
		return Message{Term: 1, SnapshotChunk: &SnapshotChunk{
			Header: SnapshotHeader{Index: index, Term: 1, Membership: Membership{Voters: allMembers[:3]}, Size: size, Checksum: sum},
			Offset: offset, Data: []byte(data),
		}}
	}
	Convey("Pieces of two snapshots are never put together, even where their sum would be right", t, func() {
		b := newBench(0, State{})
		sent := b.step(memberB, piece(5, 1, 0, "aa", 4))
		So(sent[memberB][0].SnapshotResponse.Offset, ShouldEqual, 2)
		sent = b.step(memberB, piece(6, xxhash.Sum64String("aabb"), 2, "bb", 4))
		So(sent[memberB][0].SnapshotResponse, ShouldNotBeNil)
		So(sent[memberB][0].SnapshotResponse.Offset, ShouldEqual, 0)
		So(b.disk.Snapshot.Index, ShouldEqual, 0)
	})
	Convey("A snapshot whose sum is wrong isn't taken, and is asked for from its beginning", t, func() {
		b := newBench(0, State{})
		b.step(memberB, piece(5, xxhash.Sum64String("aabb"), 0, "aa", 4))
		sent := b.step(memberB, piece(5, xxhash.Sum64String("aabb"), 2, "bc", 4))
		So(sent[memberB][0].SnapshotResponse, ShouldNotBeNil)
		So(sent[memberB][0].SnapshotResponse.Offset, ShouldEqual, 0)
		So(b.r.RejectedMessages(), ShouldEqual, 1)
		So(b.disk.Snapshot.Index, ShouldEqual, 0)
		b.step(memberB, piece(5, xxhash.Sum64String("aabb"), 0, "aa", 4))
		b.step(memberB, piece(5, xxhash.Sum64String("aabb"), 2, "bb", 4))
		So(string(b.disk.Snapshot.Data), ShouldEqual, "aabb")
	})
}
