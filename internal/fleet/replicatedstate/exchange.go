package replicatedstate

import (
	"crypto/sha256"
	"time"

	"caperarch/internal/fleet/policyrollout"
	"caperarch/internal/fleet/replicatedstate/accordpb"
)

// neededTexts returns the hashes of the texts that this sidecar needs: of the current, pending and offered
// policies and of the maintenance plans.
func (n *Node) neededTexts() (all []hash) {
	s := n.participant.State()
	for _, r := range []policyrollout.Ref{s.Current, s.Pending, s.Offered} {
		if r.Version != 0 {
			all = append(all, r.Hash)
		}
	}
	for _, plan := range n.maintenance.state.Plans {
		all = append(all, plan.Hash)
	}
	return all
}

// fetchTexts requests chunks of a missing text from the sidecar that sent the last chunk, or from a random
// one.
func (n *Node) fetchTexts(now time.Duration) {
	if now < n.texts.nextFetch {
		return
	}
	for _, h := range n.neededTexts() {
		if n.texts.find(h) == nil {
			n.texts.nextFetch = now + fetchInterval
			to := n.randomPeer()
			if n.texts.lastSender > 0 {
				to, n.texts.lastSender = n.texts.lastSender-1, 0
			}
			n.send(to, &accordpb.Message{Want: h[:], Pieces: n.texts.missing(shortHash(h))})
			return
		}
	}
}

// handleText answers a request for chunks of a text, and stores a received chunk.
func (n *Node) handleText(now time.Duration, from int, m *accordpb.Message) {
	if len(m.Want) == sha256.Size {
		if stored := n.texts.find(hash(m.Want)); stored != nil {
			for _, i := range m.Pieces[:min(len(m.Pieces), maxWantedChunks)] {
				if int(i) < stored.chunkCount() {
					n.send(from, &accordpb.Message{Piece: stored.chunk(int(i))})
				}
			}
		}
	}
	if p := m.Piece; p != nil {
		if raw := n.texts.receiveChunk(now, p); raw != nil {
			n.pushText(n.texts.add(raw, n.neededTexts()...))
		} else {
			// the sender answers: request the next chunks from it soon
			n.texts.nextFetch, n.texts.lastSender = min(n.texts.nextFetch, now+Period/2), from+1
		}
	}
}

// pushText sends a text that this sidecar has just received or created to pushFanout random sidecars, if the
// text is short.
func (n *Node) pushText(stored *text) {
	if n.Size < 2 {
		return
	}
	for range pushFanout {
		n.sendText(n.randomPeer(), stored)
	}
}

// sendText sends a text of at most maxPushedChunks chunks to a sidecar.
func (n *Node) sendText(to int, stored *text) {
	for i := range stored.chunkCount() {
		if stored.chunkCount() <= maxPushedChunks {
			n.send(to, &accordpb.Message{Piece: stored.chunk(i)})
		}
	}
}
