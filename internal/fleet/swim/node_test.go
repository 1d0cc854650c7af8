package swim_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"caperarch/internal/fleet/swim"
)

// lease is the duration of a lease in these tests.
const lease = 3 * time.Second

// testNode is a node under test among simulated members whose messages the test supplies. It
// records the messages that the node sends and the changes that it reports.
type testNode struct {
	*swim.Node
	t       *testing.T
	now     time.Duration
	sent    []sentMessage
	changes []swim.Change
}

// sentMessage is a message that the node sent, with its receiver.
type sentMessage struct {
	to      int
	message swim.Message
}

// Send implements swim.Host.
func (node *testNode) Send(to int, message *swim.Message) {
	clone := *message
	clone.Rumours = slices.Clone(message.Rumours)
	node.sent = append(node.sent, sentMessage{to, clone})
}

// Changed implements swim.Host.
func (node *testNode) Changed(c swim.Change) { node.changes = append(node.changes, c) }

// newTestNode starts node 0 of a fleet. The time starts at one hour, so that no valid time is 0.
func newTestNode(t *testing.T, size int) *testNode {
	t.Helper()
	node := &testNode{t: t, now: time.Hour}
	swimNode, err := swim.New(
		swim.Config{Size: size, Incarnation: 100, Lease: lease, Rand: rand.New(rand.NewPCG(1, 2)), Host: node},
	)
	if err != nil {
		t.Fatal(err)
	}
	node.Node = swimNode
	swimNode.Start(node.now)
	return node
}

// tick advances the time by one period and calls Tick.
func (node *testNode) tick() {
	node.now += swim.Period
	node.Tick(node.now)
}

// advance advances the time period by period, during which no other member sends anything.
func (node *testNode) advance(d time.Duration) {
	for end := node.now + d; node.now < end; {
		node.tick()
	}
}

// newMessage returns a message from a member with incarnation 10.
func (node *testNode) newMessage(from int, kind swim.Kind) swim.Message {
	return swim.Message{From: from, Session: swim.Session{Incarnation: 10}, Kind: kind}
}

// ackFor returns an ack from a member to a message that the node sent at the given time.
func (node *testNode) ackFor(from int, sent time.Duration) *swim.Message {
	message := node.newMessage(from, swim.Ack)
	message.Echo, message.EchoTag = uint64(sent/time.Millisecond)+1, swim.IncarnationTag(node.Session().Incarnation)
	return &message
}

// lastSent returns the last message of a kind that the node sent to a member.
func (node *testNode) lastSent(to int, kind swim.Kind) swim.Message {
	node.t.Helper()
	for _, s := range slices.Backward(node.sent) {
		if s.to == to && s.message.Kind == kind {
			return s.message
		}
	}
	node.t.Fatalf("no message of kind %d was sent to member %d", kind, to)
	panic("not reached")
}

// pingFrom lets a member ping the node and returns the ack.
func (node *testNode) pingFrom(from int, session swim.Session) swim.Message {
	node.t.Helper()
	node.sent = nil
	message := node.newMessage(from, swim.Ping)
	message.Session, message.Stamp = session, 7
	node.Receive(node.now, &message)
	return node.lastSent(from, swim.Ack)
}

// receiveRumour lets a member gossip a rumour to the node.
func (node *testNode) receiveRumour(from int, r swim.Rumour) {
	message := node.newMessage(from, swim.Gossip)
	message.Rumours = []swim.Rumour{r}
	node.Receive(node.now, &message)
}

// checkContact fails the test if the node's contact is not as expected.
func (node *testNode) checkContact(contact bool, why string) {
	node.t.Helper()
	if got := node.InContact(node.now); got != contact {
		node.t.Errorf("%s: in contact is %v, want %v", why, got, contact)
	}
}

func TestContact(t *testing.T) {
	for name, check := range map[string]func(node *testNode){
		"an ack counts from the time of the ping": func(node *testNode) {
			sent := node.now
			node.now += 2 * time.Second
			node.Receive(node.now, node.ackFor(1, sent))
			node.checkContact(true, "a majority has acked")
			node.now = sent + lease
			node.checkContact(false, "one lease after the ping")
		},
		"an ack without a lease does not count": func(node *testNode) {
			m := node.ackFor(1, node.now)
			m.NoLease = true
			node.Receive(node.now, m)
			node.checkContact(false, "an ack without a lease was received")
		},
		"an ack to the earlier process does not count": func(node *testNode) {
			m := node.ackFor(1, node.now)
			m.EchoTag = swim.IncarnationTag(99)
			node.Receive(node.now, m)
			node.checkContact(false, "an ack with the tag of another incarnation was received")
		},
		"an ack with a stamp from the future does not count": func(node *testNode) {
			node.Receive(node.now, node.ackFor(1, node.now+time.Second))
			node.checkContact(false, "an ack to a message that was never sent was received")
		},
		"an expired lease ends the session and invalidates its pings": func(node *testNode) {
			node.Receive(node.now, node.ackFor(1, node.now))
			before := node.Session()
			sent := node.now + lease - 100*time.Millisecond
			node.now += lease + 100*time.Millisecond // without a call of the node meanwhile
			node.Receive(node.now, node.ackFor(2, sent))
			node.checkContact(false, "an ack to a ping of the ended session was received")
			if node.Session() == before {
				node.t.Error("session has not changed, want a later session")
			}
			node.Receive(node.now, node.ackFor(1, node.now))
			node.checkContact(false, "a ping of the same millisecond may belong to the ended session")
			node.now += 10 * time.Millisecond
			node.Receive(node.now, node.ackFor(1, node.now))
			node.checkContact(true, "an ack to a ping of the new session was received")
		},
		"a session that was never in contact ends too": func(node *testNode) {
			before := node.Session()
			node.now += lease
			node.checkContact(false, "no ack was received")
			if !before.Before(node.Session()) {
				node.t.Error("session has not changed, want a later session")
			}
		},
		"a rumour that the node is gone ends its session": func(node *testNode) {
			node.Receive(node.now, node.ackFor(1, node.now))
			node.now += time.Second
			node.receiveRumour(2, swim.Rumour{Member: 0, Session: node.Session(), State: swim.Dead, Accuser: 2})
			node.checkContact(false, "other members count the session as gone")
			if node.Session().Sequence != 1 {
				node.t.Errorf("session is %v, want sequence number 1", node.Session())
			}
		},
		"a rumour that the node is suspect raises its sequence number": func(node *testNode) {
			node.Receive(node.now, node.ackFor(1, node.now))
			node.receiveRumour(2, swim.Rumour{Member: 0, Session: node.Session(), State: swim.Suspect, Accuser: 2})
			node.checkContact(true, "suspected")
			if node.Session().Sequence != 1 {
				node.t.Errorf("session is %v, want sequence number 1, which refutes the suspicion", node.Session())
			}
		},
		"a rumour about another process with the same member number": func(node *testNode) {
			node.Receive(node.now, node.ackFor(1, node.now))
			node.receiveRumour(2, swim.Rumour{
				Member: 0, Session: swim.Session{Incarnation: 500}, State: swim.Alive, Accuser: 2,
			})
			node.checkContact(false, "another process has the same member number")
			if node.Session().Incarnation <= 500 {
				node.t.Errorf("session is %v, want an incarnation above 500, which other members know", node.Session())
			}
		},
		"a node that leaves is permanently out of contact": func(node *testNode) {
			node.Receive(node.now, node.ackFor(1, node.now))
			node.Leave(node.now)
			node.checkContact(false, "the node left")
			node.now += 10 * time.Millisecond
			node.Receive(node.now, node.ackFor(1, node.now))
			node.checkContact(false, "an ack was received after the node left")
		},
	} {
		t.Run(name, func(t *testing.T) { check(newTestNode(t, 3)) })
	}
}

// A node grants leases only to sessions that it does not count as gone, and only once its process
// has run long enough to know the sessions that its predecessor counted as gone.
func TestLeasesGranted(t *testing.T) {
	node := newTestNode(t, 5)
	session := swim.Session{Incarnation: 10}
	if !node.pingFrom(1, session).NoLease {
		t.Error("a restarted process that may have lost its state grants a lease")
	}
	node.advance(node.LeaseExpiry() + lease/2 - time.Second)
	if !node.pingFrom(1, session).NoLease {
		t.Error("the node grants a lease one second before it may")
	}
	node.advance(2 * time.Second)
	if node.pingFrom(1, session).NoLease {
		t.Error("the node grants no lease after the waiting time")
	}
	node.receiveRumour(2, swim.Rumour{Member: 1, Session: session, State: swim.Dead, Accuser: 2})
	ack := node.pingFrom(1, session)
	if !ack.NoLease ||
		!slices.ContainsFunc(ack.Rumours, func(r swim.Rumour) bool { return r.Member == 1 && r.State == swim.Dead }) {
		t.Errorf("ack to a session that counts as gone grants a lease or lacks the rumour of its death: %+v", ack)
	}
	if ack = node.pingFrom(1, swim.Session{Incarnation: 10, Sequence: 1}); ack.NoLease {
		t.Error("ack to the next session of the member grants no lease")
	}
	if ack = node.pingFrom(1, session); !ack.NoLease || len(ack.Rumours) == 0 || ack.Rumours[0].Session.Sequence != 1 {
		t.Errorf("ack to an old session grants a lease or lacks the later session: %+v", ack)
	}
}

// Within one session, a rumour of a stronger state overrides a weaker one. A rumour that a member
// has missed is sent again when its digest differs. Invalid rumours are ignored.
func TestRumours(t *testing.T) {
	node := newTestNode(t, 5)
	s := swim.Session{Incarnation: 10}
	for _, r := range []struct {
		state    swim.State
		sequence uint32
		want     swim.State
	}{
		{swim.Alive, 0, swim.Alive}, {swim.Suspect, 0, swim.Suspect}, {swim.Alive, 0, swim.Suspect},
		{swim.Alive, 1, swim.Alive}, {swim.Suspect, 0, swim.Alive}, {swim.Dead, 1, swim.Dead},
		{swim.Suspect, 1, swim.Dead}, {swim.Alive, 1, swim.Dead}, {swim.Left, 1, swim.Left},
		{swim.Dead, 1, swim.Left}, {swim.Dead, 0, swim.Left}, {swim.Alive, 2, swim.Alive},
		{swim.Dead, 2, swim.Dead},
	} {
		s.Sequence = r.sequence
		node.receiveRumour(1, swim.Rumour{Member: 3, Session: s, State: r.state, Accuser: 1})
		if got, _ := node.State(3); got != r.want {
			t.Fatalf("after rumour %v with sequence number %d: state is %v, want %v", r.state, r.sequence, got, r.want)
		}
	}
	node.advance(time.Minute) // the node has gossiped the rumour as often as it does
	ack := node.pingFrom(2, swim.Session{Incarnation: 10})
	if len(ack.Rumours) == 0 || ack.Rumours[len(ack.Rumours)-1].Member != 3 {
		t.Errorf("ack to a member whose digest differs lacks the rumour about member 3: %+v", ack)
	}
	for _, invalid := range []swim.Rumour{
		{Member: -1, State: swim.Dead}, {Member: 5, State: swim.Dead}, {Member: 1, State: 9},
		{Member: 1, State: swim.Unknown}, {Member: 1, State: swim.Dead, Accuser: 77},
	} {
		invalid.Session = swim.Session{Incarnation: 1 << 60}
		node.receiveRumour(2, invalid)
	}
	if state, session := node.State(1); state != swim.Alive || session.Incarnation != 10 {
		t.Errorf("invalid rumours changed member 1 to %v in session %v, want alive, incarnation 10", state, session)
	}
}

// A node does not accuse members shortly after its process was stopped, or while most members do
// not ack its probes: in both cases, the node itself is more likely to be at fault.
func TestNodeWithUnreliableViewAccusesNobody(t *testing.T) {
	const size = 6
	accusations := func(node *testNode) (n int) {
		for _, c := range node.changes {
			if c.State == swim.Suspect || c.State == swim.Dead {
				n++
			}
		}
		return n
	}
	// ackWhile lets time pass in which the selected members ack each ping at once.
	ackWhile := func(node *testNode, d time.Duration, acks func(i int) bool) {
		for end := node.now + d; node.now < end; {
			node.sent = nil
			node.tick()
			for _, s := range slices.Clone(node.sent) {
				if s.message.Kind == swim.Ping && acks(s.to) {
					node.Receive(node.now, node.ackFor(s.to, node.now))
				}
			}
		}
	}
	all := func(int) bool { return true }
	node := newTestNode(t, size)
	ackWhile(node, 10*time.Second, all)
	node.checkContact(true, "all members ack")
	ackWhile(node, 6*time.Second, func(i int) bool { return i != 3 })
	if state, _ := node.State(3); accusations(node) != 2 || state != swim.Dead {
		t.Fatalf("state of the one member that has not acked for 6 s is %v, want gone and two changes", state)
	}

	node = newTestNode(t, size)
	ackWhile(node, 10*time.Second, all)
	ackWhile(node, 10*time.Second, func(i int) bool { return i == 1 })
	for i := 2; i < size; i++ {
		if state, _ := node.State(i); state == swim.Dead {
			t.Errorf("member %d counts as gone while four of five members do not ack the node", i)
		}
	}

	node = newTestNode(t, size)
	ackWhile(node, 10*time.Second, all)
	node.now += 10 * time.Second // as between SIGSTOP and SIGCONT
	node.tick()
	node.checkContact(false, "the process was stopped for 10 s")
	ackWhile(node, 1500*time.Millisecond, func(i int) bool { return i < 4 })
	if accusations(node) != 0 {
		t.Errorf("node accuses a member within 1.5 s after the stop: changes %+v", node.changes)
	}

	node = newTestNode(t, size)
	ackWhile(node, 10*time.Second, all)
	node.now += 1500 * time.Millisecond
	node.tick()
	node.checkContact(true, "the process was stopped for half a lease")
	ackWhile(node, 1900*time.Millisecond, func(i int) bool { return i != 3 })
	if accusations(node) != 0 {
		t.Errorf("node that stayed in contact accuses a member within 1.9 s after the stop: changes %+v", node.changes)
	}
}

// A member that others accuse, but whose pings this node still receives, is not declared dead here:
// the member will refute the suspicion.
func TestReceivedMemberIsNotDeclaredDead(t *testing.T) {
	node := newTestNode(t, 6)
	session := swim.Session{Incarnation: 10}
	for end := node.now + 12*time.Second; node.now < end; {
		node.sent = nil
		node.tick()
		for _, s := range slices.Clone(node.sent) {
			if s.message.Kind == swim.Ping && s.to != 3 {
				node.Receive(node.now, node.ackFor(s.to, node.now))
			}
		}
		if state, _ := node.State(3); state == swim.Unknown {
			node.pingFrom(3, session)
			for accuser := 1; accuser < 5; accuser++ {
				node.receiveRumour(accuser, swim.Rumour{Member: 3, Session: session, State: swim.Suspect, Accuser: accuser})
			}
		}
		if node.now%(5*swim.Period) < swim.Period { // member 3 continues to ping, but its acks are lost
			node.pingFrom(3, session)
		}
	}
	if state, _ := node.State(3); state != swim.Suspect {
		t.Errorf("state of member 3 is %v, want suspect", state)
	}
}
