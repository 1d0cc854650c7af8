package replicatedstate

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"caperarch/internal/fleet/raftlog"
	"caperarch/internal/fleet/replicatedstate/accordpb"
)

// logHost implements raftlog.Host for the node's log.
type logHost struct{ n *Node }

// Send sends a message of the log to a sidecar. Messages between voters and gossip of new entries are urgent.
func (h logHost) Send(to int, m *raftlog.Message) {
	raw, err := m.Encode()
	if err != nil {
		return
	}
	h.n.sendUrgent(to, &accordpb.Message{Log: raw}, m.Raft != nil || m.Gossip)
}

// Reset discards all state that was derived from the previous log.
func (h logHost) Reset(epoch uint64) {
	n := h.n
	n.participant.Reset()
	n.leader, n.reports, n.relay = nil, reports{
		pendingGrants: make(map[int][]*accordpb.Granted),
	}, relay{pendingBatches: make(map[uint32]sentBatch)}
	n.proposals, n.laggards, n.maintenance = nil, reportedLaggards{}, maintenanceState{}
	n.Host.HandleEvent(Event{Kind: LogReset, Sidecar: n.Self.Number, Reason: fmt.Sprintf("epoch %x", epoch)})
}

// Applied applies a committed entry of the log.
func (h logHost) Applied(e raftlog.Entry) { h.n.applyEntry(e) }

func (n *Node) send(to int, m *accordpb.Message) { n.sendUrgent(to, m, false) }

// sendUrgent sends a message with the given urgency. A message of more than MaxMessageBytes is counted and
// dropped.
func (n *Node) sendUrgent(to int, m *accordpb.Message, urgent bool) {
	if to == n.Self.Number || to < 0 || to >= n.Size {
		return
	}
	raw, err := proto.Marshal(m)
	if err != nil || len(raw) > MaxMessageBytes {
		n.OversizedMessages++
		return
	}
	n.Host.Send(to, raw, urgent)
}

// randomPeer returns the number of another sidecar, chosen at random.
func (n *Node) randomPeer() int {
	if i := n.Rand.IntN(max(1, n.Size-1)); i < n.Self.Number {
		return i
	} else {
		return i + 1
	}
}
