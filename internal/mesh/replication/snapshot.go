package replication

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// snapshotChunkBytes is the maximum size of the snapshot data in one message. It is small enough
	// not to delay heartbeats for long, even on links of a few megabits per second.
	snapshotChunkBytes = 128 << 10
	// maxSnapshotBytes bounds the memory used by a snapshot that is being received.
	maxSnapshotBytes = 64 << 20
)

// incomingSnapshot is a partially received snapshot. data holds the received prefix of its data.
type incomingSnapshot struct {
	header SnapshotHeader
	data   []byte
}

// isSame reports whether chunks with the two headers belong to the same snapshot.
func (h *SnapshotHeader) isSame(other *SnapshotHeader) bool {
	return h.Index == other.Index && h.Term == other.Term && h.Size == other.Size && h.Checksum == other.Checksum
}

// sendSnapshotChunk sends the next chunk of a snapshot. It continues a started snapshot even if the
// leader has taken a newer one. Otherwise a member on a slow link would start over with every new
// snapshot and might never finish.
func (r *Replica) sendSnapshotChunk(now time.Duration, id MemberID, p *progress) {
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
	p.resendAt = now + resendDelay(len(data))
}

// stepSnapshotResponse continues the snapshot at the offset that the member requests.
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

// stepSnapshotChunk processes a chunk. When all chunks have been received and the checksum is correct,
// the snapshot replaces the log.
func (r *Replica) stepSnapshotChunk(now time.Duration, from MemberID, term Term, chunk *SnapshotChunk) {
	if !r.acceptLeader(now, from, term, &chunk.Heartbeat) {
		return
	}
	h := &chunk.Header
	if h.Index <= r.commit || r.log.matches(h.Index, h.Term) {
		r.incoming = nil
		r.commit = max(r.commit, h.Index)
		r.matchedIndex = max(r.matchedIndex, r.commit)
		r.acknowledgeSnapshot(now, from, chunk)
		return
	}
	received := r.receiveChunk(chunk)
	if len(received.data) < h.Size {
		r.requestChunk(now, from, chunk, len(received.data))
		return
	}
	r.incoming = nil
	if xxhash.Sum64(received.data) != h.Checksum {
		r.rejectedMessages++
		r.requestChunk(now, from, chunk, 0)
		return
	}
	r.installSnapshot(Snapshot{Index: h.Index, Term: h.Term, Membership: h.Membership, Data: received.data})
	r.acknowledgeSnapshot(now, from, chunk)
}

// receiveChunk appends a chunk to the incoming snapshot and returns the incoming snapshot. A chunk of
// a different snapshot replaces the incoming snapshot. A chunk at any other offset than the next one
// is dropped.
func (r *Replica) receiveChunk(chunk *SnapshotChunk) *incomingSnapshot {
	if r.incoming == nil || !r.incoming.header.isSame(&chunk.Header) {
		r.incoming = &incomingSnapshot{header: chunk.Header}
	}
	if chunk.Offset == len(r.incoming.data) {
		r.incoming.data = append(r.incoming.data, chunk.Data...)
	}
	return r.incoming
}

// requestChunk answers a chunk with a request for the chunk at offset.
func (r *Replica) requestChunk(now time.Duration, from MemberID, chunk *SnapshotChunk, offset int) {
	r.send(from, Message{SnapshotResponse: &SnapshotResponse{
		Index: chunk.Header.Index, Offset: offset,
		SentAt: chunk.SentAt, ReadRound: chunk.ReadRound, Clock: r.clockReading(now),
	}})
}

// acknowledgeSnapshot answers a chunk of a snapshot that is installed or that the log already covers.
func (r *Replica) acknowledgeSnapshot(now time.Duration, from MemberID, chunk *SnapshotChunk) {
	r.send(from, Message{AppendResponse: &AppendResponse{
		Match: r.matchedIndex, SentAt: chunk.SentAt, ReadRound: chunk.ReadRound, Clock: r.clockReading(now),
	}})
}

// installSnapshot replaces the log, which does not contain the entry at the snapshot's index and term,
// with the snapshot.
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
