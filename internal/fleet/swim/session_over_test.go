package swim_test

import (
	"testing"
	"time"

	"caperarch/internal/fleet/swim"
)

// A member's session is over for good once a majority has shown, lately, that it holds the same,
// and a lease is over.
func TestOut(t *testing.T) {
	const size = 5
	gone := swim.Rumour{Member: 4, Session: swim.Session{Incarnation: 10}, State: swim.Dead, Accuser: 2}
	shows := func(l *lone, from int, asked time.Duration, digest uint32) {
		m := l.yes(from, asked)
		m.Digest = digest
		l.Receive(l.now, m)
	}
	begin := func(t *testing.T) (*lone, uint32) {
		l := newLone(t, size)
		l.say(2, gone)
		return l, l.ping(1, swim.Session{Incarnation: 10}).Digest
	}
	t.Run("a majority", func(t *testing.T) {
		l, digest := begin(t)
		shows(l, 1, l.now, digest)
		shows(l, 2, l.now, digest)
		agreed := l.now + swim.Period
		l.pass(l.LeaseExpiry() - 10*swim.Period)
		if _, out := l.SessionOver(l.now, 4); out {
			t.Errorf("out %v after all had agreed, its lease may hold", l.now-agreed)
		}
		l.pass(12 * swim.Period)
		if s, out := l.SessionOver(l.now, 4); !out || s != gone.Session {
			t.Errorf("session %v, out %v; nobody can give it a lease any more", s, out)
		}
		l.say(
			4,
			swim.Rumour{
				Member: 4, Session: swim.Session{Incarnation: 10, Sequence: 1}, State: swim.Alive,
				Accuser: 4,
			},
		)
		if s, out := l.SessionOver(l.now, 4); out || s.Sequence != 1 {
			t.Errorf("session %v, out %v; it came back under a later one", s, out)
		}
	})
	for name, f := range map[string]func(l *lone, digest uint32){
		"too few": func(l *lone, digest uint32) { shows(l, 1, l.now, digest) },
		"others hold others": func(l *lone, digest uint32) {
			shows(l, 1, l.now, digest)
			shows(l, 2, l.now, digest+1)
		},
		"one is old": func(l *lone, digest uint32) {
			shows(l, 1, l.now, digest)
			l.pass(lease * 3 / 4)
			shows(l, 2, l.now, digest)
		},
		"one comes late": func(l *lone, digest uint32) {
			asked := l.now
			l.pass(lease * 3 / 4)
			shows(l, 1, asked, digest)
			shows(l, 2, l.now, digest)
		},
		"one restarted": func(l *lone, digest uint32) {
			shows(l, 1, l.now, digest)
			l.say(3, swim.Rumour{Member: 1, Session: swim.Session{Incarnation: 11}, State: swim.Alive, Accuser: 1})
			shows(l, 2, l.now, digest)
		},
	} {
		t.Run(name, func(t *testing.T) {
			l, digest := begin(t)
			f(l, digest)
			l.pass(3 * l.LeaseExpiry())
			if _, out := l.SessionOver(l.now, 4); out {
				t.Error("out")
			}
		})
	}
	t.Run("left", func(t *testing.T) {
		l := newLone(t, size)
		l.say(4, swim.Rumour{Member: 4, Session: gone.Session, State: swim.Left, Accuser: 4})
		if _, out := l.SessionOver(l.now, 4); !out {
			t.Error("it said itself that it left")
		}
	})
}
