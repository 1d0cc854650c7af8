package replication

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// bench plays messages by hand against one member, named "a", whose disk never fails.
type bench struct {
	m    *Member
	disk State
	now  time.Duration
}

func newBench(n int, disk State) *bench {
	disk.Members = []string{"a", "b", "c", "d", "e"}[:n]
	m, err := New(Config{ID: "a", State: disk, Nonce: 7}, 0)
	So(err, ShouldBeNil)
	return &bench{m: m, disk: disk}
}

// drain does all that is ready and returns the messages for each member.
func (b *bench) drain() map[string][]Message {
	sent := map[string][]Message{}
	for {
		r, some := b.m.Ready(b.now)
		if !some {
			return sent
		}
		if r.Persist != nil {
			b.disk.put(r.Persist)
		}
		for _, e := range r.Messages {
			sent[e.To] = append(sent[e.To], e.Message)
		}
		b.m.Advance(b.now, &r)
	}
}

func (b *bench) step(from string, msg Message) map[string][]Message {
	b.m.Step(b.now, from, msg)
	return b.drain()
}

// ballot brings the member to where it asks for votes in the next view.
func (b *bench) ballot(grants ...string) (view uint64) {
	b.now += time.Second
	b.m.Tick(b.now)
	b.drain()
	view = b.m.hard.View + 1
	for _, id := range grants {
		b.step(id, Message{Kind: KindPreBallotAnswer, View: view})
	}
	So(b.m.role, ShouldEqual, candidate)
	return view
}

func TestCounting(t *testing.T) {
	remembers := State{Hard: HardState{Remembers: true}}
	Convey("A vote is kept over a loss of power, and a second one in its view refused", t, func() {
		b := newBench(3, remembers)
		sent := b.step("b", Message{Kind: KindBallot, View: 4})
		So(sent["b"][0].Refused, ShouldBeFalse)
		b = newBench(3, b.disk)
		sent = b.step("c", Message{Kind: KindBallot, View: 4})
		So(sent["c"][0].Refused, ShouldBeTrue)
	})
	Convey("A sequencer counts neither those who have forgotten nor a majority for an older view's entry", t, func() {
		disk := remembers
		disk.Entries = []Entry{{Index: 1, View: 1, Cmd: []byte("old")}}
		disk.Hard.View = 1
		b := newBench(3, disk)
		view := b.ballot("b")
		b.step("b", Message{Kind: KindBallotAnswer, View: view})
		So(b.m.role, ShouldEqual, sequencer)
		b.step("c", Message{Kind: KindAppendAnswer, View: view, Index: 1, Sent: b.now})
		So(b.m.commit, ShouldEqual, 0)
		b.step("c", Message{Kind: KindAppendAnswer, View: view, Index: 2, Sent: b.now, Epoch: 1, Forgotten: true})
		So(b.m.commit, ShouldEqual, 0)
		b.step("b", Message{Kind: KindAppendAnswer, View: view, Index: 2, Sent: b.now})
		So(b.m.commit, ShouldEqual, 2)
	})
	Convey("A vote from before the loss of a disk isn't counted by one who hears of the loss, from the loser or from another", t, func() {
		loss := map[string]Memory{"b": {Epoch: 1, Nonce: 9}}
		b := newBench(5, remembers)
		view := b.ballot("b", "c")
		b.step("b", Message{Kind: KindBallotAnswer, View: view})
		b.step("c", Message{Kind: KindBallotAnswer, View: view, Epochs: loss})
		So(b.m.role, ShouldEqual, candidate)
		b.step("b", Message{Kind: KindBallotAnswer, View: view})
		So(b.m.role, ShouldEqual, candidate)
		b.step("d", Message{Kind: KindBallotAnswer, View: view})
		So(b.m.role, ShouldEqual, sequencer)
		So(b.disk.Hard.Known, ShouldResemble, loss)
	})
	Convey("One who is asked by a member that has forgotten syncs its epoch first, and takes each epoch from one life alone", t, func() {
		b := newBench(5, remembers)
		sent := b.step("b", Message{Kind: KindRecover, Epoch: 1, Nonce: 9, Forgotten: true})
		So(sent["b"][0].Refused, ShouldBeFalse)
		So(b.disk.Hard.Known["b"], ShouldResemble, Memory{Epoch: 1, Nonce: 9})
		sent = b.step("b", Message{Kind: KindRecover, Epoch: 1, Nonce: 10, Forgotten: true})
		So(sent["b"][0].Refused, ShouldBeTrue)
		So(sent["b"][0].Epochs["b"].Epoch, ShouldEqual, 1)
	})
}

func TestForgotten(t *testing.T) {
	answer := func(view uint64) Message {
		return Message{Kind: KindRecoverAnswer, View: view, Nonce: 7, Round: 1}
	}
	fromSequencer := func(view uint64) Message {
		msg := answer(view)
		msg.Sequencer, msg.Index = true, 2
		return msg
	}
	entries := []Entry{{Index: 1, View: 2, Cmd: []byte("x")}, {Index: 2, View: 3, Cmd: []byte("y")}}
	Convey("A member of five that has forgotten", t, func() {
		b := newBench(5, State{})
		Convey("gives no vote and starts no ballot", func() {
			So(b.step("b", Message{Kind: KindBallot, View: 4}), ShouldBeEmpty)
			b.now = 2 * time.Second
			b.m.Tick(b.now)
			for _, msg := range b.drain()["b"] {
				So(msg.Kind, ShouldEqual, KindRecover)
			}
		})
		Convey("remembers with three answers and the whole log of the sequencer, synced in one piece", func() {
			b.step("b", fromSequencer(3))
			b.step("c", answer(3))
			sent := b.step("b", Message{Kind: KindAppend, View: 3, Entries: entries[:1]})
			So(sent["b"][0].Forgotten, ShouldBeTrue)
			b.step("d", answer(2))
			So(b.m.Remembers(), ShouldBeFalse)
			sent = b.step("b", Message{Kind: KindAppend, View: 3, Index: 1, EntryView: 2, Entries: entries[1:]})
			So(sent["b"][0].Forgotten, ShouldBeFalse)
			So(sent["b"][0].Epoch, ShouldEqual, 1)
			So(b.disk.Hard, ShouldResemble, HardState{View: 3, Vote: "b", Remembers: true, Known: map[string]Memory{"a": {Epoch: 1, Nonce: 7}}})
			So(b.disk.Entries, ShouldResemble, entries)
		})
		Convey("two answers aren't enough, and answers to another life are none", func() {
			b.step("b", fromSequencer(3))
			b.step("c", answer(3))
			stray := answer(3)
			stray.Nonce = 8
			b.step("d", stray)
			b.step("b", Message{Kind: KindAppend, View: 3, Entries: entries})
			So(b.m.Remembers(), ShouldBeFalse)
		})
		Convey("an answer of a higher view bars it till that view's sequencer has answered and been heard", func() {
			b.step("b", fromSequencer(3))
			b.step("c", answer(3))
			b.step("d", answer(4))
			b.step("b", Message{Kind: KindAppend, View: 3, Entries: entries})
			So(b.m.Remembers(), ShouldBeFalse)
			b.step("c", Message{Kind: KindAppend, View: 4, Index: 2, EntryView: 3})
			So(b.m.Remembers(), ShouldBeFalse)
			b.step("c", fromSequencer(4))
			So(b.m.Remembers(), ShouldBeTrue)
			So(b.disk.Hard.View, ShouldEqual, 4)
		})
	})
}
