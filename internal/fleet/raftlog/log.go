package raftlog

import (
	"slices"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// commitEntry appends an entry that raft has committed.
func (n *Node) commitEntry(e *raftpb.Entry) {
	c, isChange := parseVoterChange(e)
	if !isChange {
		n.appendEntry(Entry{Index: e.GetIndex(), Data: e.GetData()})
		return
	}
	x := Entry{Index: e.GetIndex(), isVoterChange: true}
	if c != nil {
		n.raft.ApplyConfChange(c)
		x.voterChange, _ = proto.Marshal(c)
	}
	n.appendEntry(x)
}

// appendEntries appends committed entries that another sidecar has sent.
func (n *Node) appendEntries(all []Entry) {
	for _, e := range all {
		n.appendEntry(e)
	}
}

// appendEntry adds the log's next entry. An entry that is known already is dropped; one that leaves
// a gap is buffered until the gap is filled.
func (n *Node) appendEntry(e Entry) {
	if e.Index != n.LastIndex()+1 {
		if e.Index > n.LastIndex() && len(n.buffered) < maxBufferedEntries {
			n.buffered[e.Index] = e
		}
		return
	}
	n.applyEntry(e)
	for next, here := n.buffered[n.LastIndex()+1]; here; next, here = n.buffered[n.LastIndex()+1] {
		delete(n.buffered, next.Index)
		n.applyEntry(next)
	}
}

// applyEntry appends the next entry and applies it.
func (n *Node) applyEntry(e Entry) {
	n.log = append(n.log, e)
	delete(n.buffered, e.Index)
	if e.isVoterChange {
		n.applyVoterChange(e.voterChange)
		return
	}
	token, data, ok := decodeEntry(e.Data)
	if !ok {
		return // the empty entry with which a leader's term begins
	}
	n.loggedTokens[token] = true
	n.pending = slices.DeleteFunc(n.pending, func(w *pendingProposal) bool { return w.token == token })
	n.Host.Applied(Entry{Index: e.Index, Data: data})
}

// sendEntries answers a sidecar that has the log up to index have with what it lacks.
func (n *Node) sendEntries(to int, have uint64) {
	if have >= n.LastIndex() {
		n.send(to, &Message{})
		return
	}
	// Several messages of one entry each, so that a lagging sidecar catches up in one exchange.
	for i := have; i < min(n.LastIndex(), have+maxSentEntries); i += entriesPerMessage {
		n.send(to, &Message{Entries: slices.Clone(n.log[i:min(n.LastIndex(), i+entriesPerMessage)])})
	}
}

// gossipEntries sends the entries behind index had to some sidecars at random. Each sidecar does so
// once with what is new to it: nearly all receive it that way within a few messages' time, the rest
// poll.
func (n *Node) gossipEntries(had uint64) {
	if n.Size <= n.VoterCount || n.LastIndex() > had+maxPushedEntries || n.IsLeader() && len(n.voters) > 2 {
		// All are voters; or the entries are old and this node catches up; or this is the leader,
		// whose voters gossip the entries.
		return
	}
	for range pushFanout {
		to := n.Rand.IntN(n.Size)
		for i := had; i < n.LastIndex(); i++ {
			n.send(to, &Message{Gossip: true, Entries: slices.Clone(n.log[i : i+1])})
		}
	}
}

// maxPushedEntries is how many new entries are gossiped at a time.
const maxPushedEntries = 4

// maxSentEntries is how many entries one answer sends.
const maxSentEntries = 8
