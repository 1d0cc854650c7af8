package replicatedstate

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"caperarch/internal/fleet/raftlog"
	"caperarch/internal/fleet/replicatedstate/accordpb"
)

// logHost carries out what the log decides (raftlog.Host).
type logHost struct{ n *Node }

// Send sends a message of the log to a sidecar.
func (h logHost) Send(to int, m *raftlog.Message) {
	raw, err := m.Encode()
	if err != nil {
		return
	}
	h.n.sendUrgent(to, &accordpb.Message{Log: raw}, m.Raft != nil || m.Gossip)
}

// Reset forgets everything that rests on the last log.
func (h logHost) Reset(epoch uint64) {
	n := h.n
	n.participant.Reset()
	n.leader, n.reports, n.relay = nil, reports{
		pendingGrants: make(map[int][]*accordpb.Granted),
	}, relay{pendingBatches: make(map[uint32]sentBatch)}
	n.proposals, n.laggards, n.maintenance = nil, reportedLaggards{}, maintenanceState{}
	n.Host.Changed(Event{Kind: LogReset, By: n.Self.Number, Why: fmt.Sprintf("epoch %x", epoch)})
}

// Applied applies a committed entry.
func (h logHost) Applied(e raftlog.Entry) { h.n.applyEntry(e) }

func (n *Node) send(to int, m *accordpb.Message) { n.sendUrgent(to, m, false) }

// sendUrgent sends a message, which has to fit into a datagram; urgent ones go first.
func (n *Node) sendUrgent(to int, m *accordpb.Message, urgent bool) {
	if to == n.Self.Number || to < 0 || to >= n.Size {
		return
	}
	raw, err := proto.Marshal(m)
	if err != nil || len(raw) > MaxMessageBytes {
		n.TooLong++
		return
	}
	n.Host.Send(to, raw, urgent)
}

// randomPeer returns another sidecar at random.
func (n *Node) randomPeer() int {
	if i := n.Rand.IntN(max(1, n.Size-1)); i < n.Self.Number {
		return i
	} else {
		return i + 1
	}
}
