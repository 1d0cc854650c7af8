package raftlog

import (
	"slices"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// commitEntry appends an entry that raft has committed.
func (n *Node) commitEntry(e *raftpb.Entry) {
	change, isChange := parseVoterChange(e)
	if !isChange {
		n.appendEntry(Entry{Index: e.GetIndex(), Data: e.GetData()})
		return
	}
	entry := Entry{Index: e.GetIndex(), isVoterChange: true}
	if change != nil {
		n.raft.ApplyConfChange(change)
		entry.voterChange, _ = proto.Marshal(change)
	}
	n.appendEntry(entry)
}

// appendEntries appends committed entries that were received from another sidecar.
func (n *Node) appendEntries(all []Entry) {
	for _, e := range all {
		n.appendEntry(e)
	}
}

// appendEntry appends a committed entry if it is the next one. An entry that the log already contains is
// dropped. An entry with a later index is buffered until the entries before it have arrived.
func (n *Node) appendEntry(e Entry) {
	if e.Index != n.LastIndex()+1 {
		if e.Index > n.LastIndex() && len(n.buffered) < maxBufferedEntries {
			n.buffered[e.Index] = e
		}
		return
	}
	n.applyEntry(e)
	for next, found := n.buffered[n.LastIndex()+1]; found; next, found = n.buffered[n.LastIndex()+1] {
		delete(n.buffered, next.Index)
		n.applyEntry(next)
	}
}

// applyEntry appends the next entry to the log and applies it.
func (n *Node) applyEntry(e Entry) {
	n.log = append(n.log, e)
	delete(n.buffered, e.Index)
	if e.isVoterChange {
		n.applyVoterChange(e.voterChange)
		return
	}
	token, data, ok := decodeEntry(e.Data)
	if !ok {
		return // the empty entry that raft appends at the start of a leader's term
	}
	n.loggedTokens[token] = true
	n.pending = slices.DeleteFunc(n.pending, func(proposal *pendingProposal) bool { return proposal.token == token })
	n.Host.Applied(Entry{Index: e.Index, Data: data})
}

// sendEntries sends the entries after the index have to a sidecar that lacks them, at most maxSentEntries. If
// there are none, the answer is an empty message.
func (n *Node) sendEntries(to int, have uint64) {
	if have >= n.LastIndex() {
		n.send(to, &Message{})
		return
	}
	// Each message holds entriesPerMessage entries; several messages let a lagging sidecar catch up in one
	// exchange.
	for i := have; i < min(n.LastIndex(), have+maxSentEntries); i += entriesPerMessage {
		n.send(to, &Message{Entries: slices.Clone(n.log[i:min(n.LastIndex(), i+entriesPerMessage)])})
	}
}

// gossipEntries sends the entries after the index had to pushFanout random sidecars. Each sidecar gossips an
// entry once, when it receives the entry: nearly all sidecars receive it this way after a few message delays,
// the others by polling.
func (n *Node) gossipEntries(had uint64) {
	if n.Size <= n.VoterCount || n.LastIndex() > had+maxPushedEntries || n.IsLeader() && len(n.voters) > 2 {
		// No gossip is needed if all sidecars are voters, if this node receives old entries because it lags
		// behind, or if this node is a leader whose voters gossip the entries.
		return
	}
	for range pushFanout {
		to := n.Rand.IntN(n.Size)
		for i := had; i < n.LastIndex(); i++ {
			n.send(to, &Message{Gossip: true, Entries: slices.Clone(n.log[i : i+1])})
		}
	}
}

// maxPushedEntries is the maximum number of new entries that are gossiped at a time.
const maxPushedEntries = 4

// maxSentEntries is the maximum number of entries in the answer to a request.
const maxSentEntries = 8
