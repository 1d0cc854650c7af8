package replication

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// snapshotChunkBytes is how much of a snapshot one message carries: small enough that
	// heartbeats on the same link aren't delayed for long, also on links of a few megabits a second.
	snapshotChunkBytes = 128 << 10
	// maxSnapshotBytes bounds the memory that a snapshot takes while it is received.
	maxSnapshotBytes = 64 << 20
)

// incomingSnapshot is a snapshot of which some chunks have been received.
type incomingSnapshot struct {
	header SnapshotHeader
	data   []byte
}

// isSame reports whether chunks under both headers belong to the same snapshot.
func (h *SnapshotHeader) isSame(other *SnapshotHeader) bool {
	return h.Index == other.Index && h.Term == other.Term && h.Size == other.Size && h.Checksum == other.Checksum
}

// sendSnapshot sends the next chunk of a snapshot. A snapshot that was begun is continued even when
// the leader has a later one by now: else a member on a narrow link would begin again with each.
func (r *Replica) sendSnapshot(now time.Duration, id MemberID, p *progress) {
	if p.snapshot == nil {
		s := r.log.snapshot
		p.snapshot, p.checksum, p.snapshotOffset = &s, xxhash.Sum64(s.Data), 0
	}
	s := p.snapshot
	end := min(p.snapshotOffset+snapshotChunkBytes, len(s.Data))
	data := s.Data[p.snapshotOffset:end]
	r.send(id, Message{SnapshotChunk: &SnapshotChunk{
		Heartbeat: r.heartbeat(now, p),
		Header: SnapshotHeader{
			Index: s.Index, Term: s.Term, Membership: s.Membership, Size: len(s.Data), Checksum: p.checksum,
		},
		Offset: p.snapshotOffset,
		Data:   data,
	}})
	p.sentAt, p.readRoundSent = now, r.readRound
	p.resendAt = now + resendAfter(len(data))
}

// stepSnapshotResponse continues at the offset that the member names.
func (r *Replica) stepSnapshotResponse(
	now time.Duration, from MemberID, term Term, response *SnapshotResponse,
) {
	p := r.recordResponse(now, from, term, response.SentAt, response.ReadRound, response.Clock)
	if p == nil {
		return
	}
	if s := p.snapshot; s != nil && s.Index == response.Index &&
		response.Offset >= 0 && response.Offset <= len(s.Data) && response.Offset != p.snapshotOffset {
		p.snapshotOffset, p.resendAt = response.Offset, 0
	}
	r.confirmReads()
}

// stepSnapshot processes a chunk. Once all have been received the snapshot replaces the log.
func (r *Replica) stepSnapshot(now time.Duration, from MemberID, term Term, chunk *SnapshotChunk) {
	if !r.acceptLeader(now, from, term, &chunk.Heartbeat) {
		return
	}
	h := &chunk.Header
	if h.Index <= r.commit || r.log.matches(h.Index, h.Term) {
		r.incoming = nil
		r.commit = max(r.commit, h.Index)
		r.matchedIndex = max(r.matchedIndex, r.commit)
		r.confirmSnapshot(now, from, chunk)
		return
	}
	in := r.receiveChunk(chunk)
	if len(in.data) < h.Size {
		r.requestChunk(now, from, chunk, len(in.data))
		return
	}
	r.incoming = nil
	if xxhash.Sum64(in.data) != h.Checksum {
		r.rejectedMessages++
		r.requestChunk(now, from, chunk, 0)
		return
	}
	r.installSnapshot(Snapshot{Index: h.Index, Term: h.Term, Membership: h.Membership, Data: in.data})
	r.confirmSnapshot(now, from, chunk)
}

// receiveChunk adds a chunk to the incoming snapshot, and begins another one where the chunk
// doesn't belong to it. A chunk that isn't the next one is dropped.
func (r *Replica) receiveChunk(chunk *SnapshotChunk) *incomingSnapshot {
	if r.incoming == nil || !r.incoming.header.isSame(&chunk.Header) {
		r.incoming = &incomingSnapshot{header: chunk.Header}
	}
	if chunk.Offset == len(r.incoming.data) {
		r.incoming.data = append(r.incoming.data, chunk.Data...)
	}
	return r.incoming
}

// requestChunk answers a chunk with the offset of the next one that is needed.
func (r *Replica) requestChunk(now time.Duration, from MemberID, chunk *SnapshotChunk, offset int) {
	r.send(from, Message{SnapshotResponse: &SnapshotResponse{
		Index: chunk.Header.Index, Offset: offset,
		SentAt: chunk.SentAt, ReadRound: chunk.ReadRound, Clock: r.clockReading(now),
	}})
}

// confirmSnapshot answers a chunk of a snapshot that isn't needed any more.
func (r *Replica) confirmSnapshot(now time.Duration, from MemberID, chunk *SnapshotChunk) {
	r.send(from, Message{AppendResponse: &AppendResponse{
		Match: r.matchedIndex, SentAt: chunk.SentAt, ReadRound: chunk.ReadRound, Clock: r.clockReading(now),
	}})
}

// installSnapshot replaces a log that ends before the snapshot, or differs at its index.
func (r *Replica) installSnapshot(s Snapshot) {
	r.truncateLog(r.log.snapshot.Index + 1)
	r.log.installSnapshot(s)
	r.memberships = membershipHistory{{s.Index, s.Membership}}
	r.stable = s.Index
	r.pendingRestore = &s
	r.snapshotDirty = true
	r.commit = max(r.commit, s.Index)
	r.matchedIndex = max(r.matchedIndex, r.commit)
}
