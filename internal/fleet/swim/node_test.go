package swim_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"caperarch/internal/fleet/swim"
)

const lease = 3 * time.Second

// lone is one node among stand-ins that say what a test has them say.
type lone struct {
	*swim.Node
	t       *testing.T
	now     time.Duration
	sent    []sending
	changes []swim.Change
}

type sending struct {
	to int
	m  swim.Message
}

func (l *lone) Send(to int, m *swim.Message) {
	c := *m
	c.Rumours = slices.Clone(m.Rumours)
	l.sent = append(l.sent, sending{to, c})
}

func (l *lone) Changed(c swim.Change) { l.changes = append(l.changes, c) }

// newLone starts node 0 of some, an hour after its clock began.
func newLone(t *testing.T, size int) *lone {
	t.Helper()
	l := &lone{t: t, now: time.Hour}
	n, err := swim.New(
		swim.Config{Size: size, Incarnation: 100, Lease: lease, Rand: rand.New(rand.NewPCG(1, 2)), Host: l},
	)
	if err != nil {
		t.Fatal(err)
	}
	l.Node = n
	n.Start(l.now)
	return l
}

func (l *lone) tick() {
	l.now += swim.Period
	l.Tick(l.now)
}

// pass has time pass with ticks; the others are silent.
func (l *lone) pass(d time.Duration) {
	for end := l.now + d; l.now < end; {
		l.tick()
	}
}

// message is one from another, of its life 10.
func (l *lone) message(from int, kind swim.Kind) swim.Message {
	return swim.Message{From: from, Session: swim.Session{Incarnation: 10}, Kind: kind}
}

// yes is an answer to something that was sent at a moment.
func (l *lone) yes(from int, sent time.Duration) *swim.Message {
	m := l.message(from, swim.Ack)
	m.Echo, m.EchoTag = uint64(sent/time.Millisecond)+1, swim.IncarnationTag(l.Session().Incarnation)
	return &m
}

// last is the last thing that was sent to a member.
func (l *lone) last(to int, kind swim.Kind) swim.Message {
	l.t.Helper()
	for _, s := range slices.Backward(l.sent) {
		if s.to == to && s.m.Kind == kind {
			return s.m
		}
	}
	l.t.Fatalf("nothing of kind %d was sent to %d", kind, to)
	panic("not reached")
}

// ping has a member ask, and returns the answer.
func (l *lone) ping(from int, session swim.Session) swim.Message {
	l.t.Helper()
	l.sent = nil
	m := l.message(from, swim.Ping)
	m.Session, m.Stamp = session, 7
	l.Receive(l.now, &m)
	return l.last(from, swim.Ack)
}

func (l *lone) say(from int, r swim.Rumour) {
	m := l.message(from, swim.Gossip)
	m.Rumours = []swim.Rumour{r}
	l.Receive(l.now, &m)
}

func (l *lone) want(contact bool, why string) {
	l.t.Helper()
	if got := l.InContact(l.now); got != contact {
		l.t.Errorf("%s: in contact %v, want %v", why, got, contact)
	}
}

func TestContact(t *testing.T) {
	for name, f := range map[string]func(l *lone){
		"an answer counts from when it was asked for": func(l *lone) {
			asked := l.now
			l.now += 2 * time.Second
			l.Receive(l.now, l.yes(1, asked))
			l.want(true, "an answer of a majority")
			l.now = asked + lease
			l.want(false, "a lease after the question")
		},
		"one that gives no lease does not": func(l *lone) {
			m := l.yes(1, l.now)
			m.NoLease = true
			l.Receive(l.now, m)
			l.want(false, "a mute answer")
		},
		"one to the process before does not": func(l *lone) {
			m := l.yes(1, l.now)
			m.EchoTag = swim.IncarnationTag(99)
			l.Receive(l.now, m)
			l.want(false, "another life's answer")
		},
		"one of after its own moment does not": func(l *lone) {
			l.Receive(l.now, l.yes(1, l.now+time.Second))
			l.want(false, "an answer to what was never asked")
		},
		"a lapse ends the session, and what was asked under it": func(l *lone) {
			l.Receive(l.now, l.yes(1, l.now))
			before := l.Session()
			asked := l.now + lease - 100*time.Millisecond
			l.now += lease + 100*time.Millisecond // nobody looked meanwhile
			l.Receive(l.now, l.yes(2, asked))
			l.want(false, "an answer under the session that lapsed")
			if l.Session() == before {
				l.t.Error("the session goes on")
			}
			l.Receive(l.now, l.yes(1, l.now))
			l.want(false, "what was asked in the same millisecond may be of before")
			l.now += 10 * time.Millisecond
			l.Receive(l.now, l.yes(1, l.now))
			l.want(true, "an answer under the next one")
		},
		"a session that never was in contact ends too": func(l *lone) {
			before := l.Session()
			l.now += lease
			l.want(false, "no answer")
			if !before.Before(l.Session()) {
				l.t.Error("the session goes on")
			}
		},
		"who hears that it was counted as gone": func(l *lone) {
			l.Receive(l.now, l.yes(1, l.now))
			l.now += time.Second
			l.say(2, swim.Rumour{Member: 0, Session: l.Session(), State: swim.Dead, Accuser: 2})
			l.want(false, "counted as gone")
			if l.Session().Sequence != 1 {
				l.t.Errorf("session %v", l.Session())
			}
		},
		"who hears that it is suspected": func(l *lone) {
			l.Receive(l.now, l.yes(1, l.now))
			l.say(2, swim.Rumour{Member: 0, Session: l.Session(), State: swim.Suspect, Accuser: 2})
			l.want(true, "suspected")
			if l.Session().Sequence != 1 {
				l.t.Errorf("session %v, it has to be a later one for others to hear that it lives", l.Session())
			}
		},
		"another life of this number": func(l *lone) {
			l.Receive(l.now, l.yes(1, l.now))
			l.say(2, swim.Rumour{Member: 0, Session: swim.Session{Incarnation: 500}, State: swim.Alive, Accuser: 2})
			l.want(false, "another process of its number")
			if l.Session().Incarnation <= 500 {
				l.t.Errorf("session %v is older than one that others hold", l.Session())
			}
		},
		"who leaves": func(l *lone) {
			l.Receive(l.now, l.yes(1, l.now))
			l.Leave(l.now)
			l.want(false, "it left")
			l.now += 10 * time.Millisecond
			l.Receive(l.now, l.yes(1, l.now))
			l.want(false, "it left for good")
		},
	} {
		t.Run(name, func(t *testing.T) { f(newLone(t, 3)) })
	}
}

// What is given away: leases to sessions that are not counted as gone, by a process that has lived
// long enough to know.
func TestLeasesGiven(t *testing.T) {
	l := newLone(t, 5)
	one := swim.Session{Incarnation: 10}
	if !l.ping(1, one).NoLease {
		t.Error("a process that has just begun, and may have forgotten, gives a lease")
	}
	l.pass(l.LeaseExpiry() + lease/2 - time.Second)
	if !l.ping(1, one).NoLease {
		t.Error("a second before its time it gives a lease")
	}
	l.pass(2 * time.Second)
	if l.ping(1, one).NoLease {
		t.Error("it gives none when it should")
	}
	l.say(2, swim.Rumour{Member: 1, Session: one, State: swim.Dead, Accuser: 2})
	m := l.ping(1, one)
	if !m.NoLease ||
		!slices.ContainsFunc(m.Rumours, func(r swim.Rumour) bool { return r.Member == 1 && r.State == swim.Dead }) {
		t.Errorf("a session that is counted as gone gets a lease, or is not told: %+v", m)
	}
	if m = l.ping(1, swim.Session{Incarnation: 10, Sequence: 1}); m.NoLease {
		t.Error("the session after it gets none")
	}
	if m = l.ping(1, one); !m.NoLease || len(m.Rumours) == 0 || m.Rumours[0].Session.Sequence != 1 {
		t.Errorf("an old session is not told of the later one: %+v", m)
	}
}

// Of one session a stronger state stays, and what is missed is told again where digests differ.
func TestRumours(t *testing.T) {
	l := newLone(t, 5)
	s := swim.Session{Incarnation: 10}
	for _, r := range []struct {
		state swim.State
		turn  uint32
		want  swim.State
	}{
		{swim.Alive, 0, swim.Alive}, {swim.Suspect, 0, swim.Suspect}, {swim.Alive, 0, swim.Suspect}, {swim.Alive, 1, swim.Alive},
		{swim.Suspect, 0, swim.Alive}, {swim.Dead, 1, swim.Dead}, {swim.Suspect, 1, swim.Dead}, {swim.Alive, 1, swim.Dead},
		{swim.Left, 1, swim.Left}, {swim.Dead, 1, swim.Left}, {swim.Dead, 0, swim.Left}, {swim.Alive, 2, swim.Alive}, {swim.Dead, 2, swim.Dead},
	} {
		s.Sequence = r.turn
		l.say(1, swim.Rumour{Member: 3, Session: s, State: r.state, Accuser: 1})
		if got, _ := l.State(3); got != r.want {
			t.Fatalf("%v under turn %d: %v, want %v", r.state, r.turn, got, r.want)
		}
	}
	l.pass(time.Minute) // the rumour has been passed on for as often as it is
	m := l.ping(2, swim.Session{Incarnation: 10})
	if len(m.Rumours) == 0 || m.Rumours[len(m.Rumours)-1].Member != 3 {
		t.Errorf("one with another digest is not told: %+v", m)
	}
	for _, bad := range []swim.Rumour{
		{Member: -1, State: swim.Dead}, {Member: 5, State: swim.Dead}, {Member: 1, State: 9},
		{Member: 1, State: swim.Unknown}, {Member: 1, State: swim.Dead, Accuser: 77},
	} {
		bad.Session = swim.Session{Incarnation: 1 << 60}
		l.say(2, bad)
	}
	if state, session := l.State(1); state != swim.Alive || session.Incarnation != 10 {
		t.Errorf("nonsense was taken: %v %v", state, session)
	}
}

// One that was stopped accuses nobody before it has had time to hear the others, and one that most
// don't answer doubts itself.
func TestDoubtsItself(t *testing.T) {
	const size = 6
	accused := func(l *lone) (n int) {
		for _, c := range l.changes {
			if c.State == swim.Suspect || c.State == swim.Dead {
				n++
			}
		}
		return n
	}
	// live has some others answer each ping at once.
	live := func(l *lone, d time.Duration, answers func(i int) bool) {
		for end := l.now + d; l.now < end; {
			l.sent = nil
			l.tick()
			for _, s := range slices.Clone(l.sent) {
				if s.m.Kind == swim.Ping && answers(s.to) {
					l.Receive(l.now, l.yes(s.to, l.now))
				}
			}
		}
	}
	all := func(int) bool { return true }
	l := newLone(t, size)
	live(l, 10*time.Second, all)
	l.want(true, "all answer")
	live(l, 6*time.Second, func(i int) bool { return i != 3 })
	if state, _ := l.State(3); accused(l) != 2 || state != swim.Dead {
		t.Fatalf("one of five does not answer for 6 s: it is %v", state)
	}

	l = newLone(t, size)
	live(l, 10*time.Second, all)
	live(l, 10*time.Second, func(i int) bool { return i == 1 })
	for i := 2; i < size; i++ {
		if state, _ := l.State(i); state == swim.Dead {
			t.Errorf("four of five don't answer: %d is counted as gone", i)
		}
	}

	l = newLone(t, size)
	live(l, 10*time.Second, all)
	l.now += 10 * time.Second // SIGSTOP, SIGCONT
	l.tick()
	l.want(false, "it stood for 10 s")
	live(l, 1500*time.Millisecond, func(i int) bool { return i < 4 })
	if accused(l) != 0 {
		t.Errorf("1.5 s after it stood still it accuses: %+v", l.changes)
	}

	l = newLone(t, size)
	live(l, 10*time.Second, all)
	l.now += 1500 * time.Millisecond
	l.tick()
	l.want(true, "it stood for half a lease")
	live(l, 1900*time.Millisecond, func(i int) bool { return i != 3 })
	if accused(l) != 0 {
		t.Errorf("1.9 s after it stood still, in contact, it accuses: %+v", l.changes)
	}
}

// One that others accuse, and that is heard of here all the while, is not counted as gone here: it
// will refute that.
func TestHeardSinceIsNotGone(t *testing.T) {
	l := newLone(t, 6)
	one := swim.Session{Incarnation: 10}
	for end := l.now + 12*time.Second; l.now < end; {
		l.sent = nil
		l.tick()
		for _, s := range slices.Clone(l.sent) {
			if s.m.Kind == swim.Ping && s.to != 3 {
				l.Receive(l.now, l.yes(s.to, l.now))
			}
		}
		if state, _ := l.State(3); state == swim.Unknown {
			l.ping(3, one)
			for by := 1; by < 5; by++ {
				l.say(by, swim.Rumour{Member: 3, Session: one, State: swim.Suspect, Accuser: by})
			}
		}
		if l.now%(5*swim.Period) < swim.Period { // it goes on asking; its own answers get lost
			l.ping(3, one)
		}
	}
	if state, _ := l.State(3); state != swim.Suspect {
		t.Errorf("it is %v", state)
	}
}
