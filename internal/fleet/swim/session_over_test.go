package swim_test

import (
	"testing"
	"time"

	"caperarch/internal/fleet/swim"
)

// A member's session counts as over once a majority of the members has shown, by recent digests,
// that it counts the session as dead, and the longest lease has expired since.
func TestSessionOver(t *testing.T) {
	const size = 5
	death := swim.Rumour{Member: 4, Session: swim.Session{Incarnation: 10}, State: swim.Dead, Accuser: 2}
	receiveDigest := func(node *testNode, from int, sent time.Duration, digest uint32) {
		ack := node.ackFor(from, sent)
		ack.Digest = digest
		node.Receive(node.now, ack)
	}
	startWithDeadMember := func(t *testing.T) (*testNode, uint32) {
		node := newTestNode(t, size)
		node.receiveRumour(2, death)
		return node, node.pingFrom(1, swim.Session{Incarnation: 10}).Digest
	}
	t.Run("a majority", func(t *testing.T) {
		node, digest := startWithDeadMember(t)
		receiveDigest(node, 1, node.now, digest)
		receiveDigest(node, 2, node.now, digest)
		agreedAt := node.now + swim.Period
		node.advance(node.LeaseExpiry() - 10*swim.Period)
		if _, over := node.SessionOver(node.now, 4); over {
			t.Errorf("session is over %v after a majority agreed, while its lease may still be valid", node.now-agreedAt)
		}
		node.advance(12 * swim.Period)
		if s, over := node.SessionOver(node.now, 4); !over || s != death.Session {
			t.Errorf("got session %v, over %v; want the dead session to be over, as no majority grants it leases", s, over)
		}
		node.receiveRumour(
			4,
			swim.Rumour{
				Member: 4, Session: swim.Session{Incarnation: 10, Sequence: 1}, State: swim.Alive,
				Accuser: 4,
			},
		)
		if s, over := node.SessionOver(node.now, 4); over || s.Sequence != 1 {
			t.Errorf("got session %v, over %v; want the later session of the returned member, not over", s, over)
		}
	})
	for name, scenario := range map[string]func(node *testNode, digest uint32){
		"too few members agree": func(node *testNode, digest uint32) { receiveDigest(node, 1, node.now, digest) },
		"a digest differs": func(node *testNode, digest uint32) {
			receiveDigest(node, 1, node.now, digest)
			receiveDigest(node, 2, node.now, digest+1)
		},
		"a digest is old": func(node *testNode, digest uint32) {
			receiveDigest(node, 1, node.now, digest)
			node.advance(lease * 3 / 4)
			receiveDigest(node, 2, node.now, digest)
		},
		"an ack is received late": func(node *testNode, digest uint32) {
			sent := node.now
			node.advance(lease * 3 / 4)
			receiveDigest(node, 1, sent, digest)
			receiveDigest(node, 2, node.now, digest)
		},
		"a member restarted": func(node *testNode, digest uint32) {
			receiveDigest(node, 1, node.now, digest)
			node.receiveRumour(3, swim.Rumour{
				Member: 1, Session: swim.Session{Incarnation: 11}, State: swim.Alive, Accuser: 1,
			})
			receiveDigest(node, 2, node.now, digest)
		},
	} {
		t.Run(name, func(t *testing.T) {
			node, digest := startWithDeadMember(t)
			scenario(node, digest)
			node.advance(3 * node.LeaseExpiry())
			if _, over := node.SessionOver(node.now, 4); over {
				t.Error("session is over without recent digests of a majority, want not over")
			}
		})
	}
	t.Run("left", func(t *testing.T) {
		node := newTestNode(t, size)
		node.receiveRumour(4, swim.Rumour{Member: 4, Session: death.Session, State: swim.Left, Accuser: 4})
		if _, over := node.SessionOver(node.now, 4); !over {
			t.Error("session of a member that announced its departure is not over")
		}
	})
}
