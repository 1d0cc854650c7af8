package replication

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// snapshotChunkBytes is how much of a snapshot one message carries: small enough that heartbeats on the
	// same link are not held up for long, also on links of a few megabits a second.
	snapshotChunkBytes = 128 << 10
	// maxSnapshotBytes bounds the memory that a snapshot in the making may take.
	maxSnapshotBytes = 64 << 20
)

// incomingSnapshot is a snapshot of which a part has come.
type incomingSnapshot struct {
	header SnapshotHeader
	data   []byte
}

// isValidFor says that a header, and a piece under it, can be those of a snapshot.
func (h *SnapshotHeader) isValidFor(piece *SnapshotChunk) bool {
	return h.Index > 0 && h.Size >= 0 && h.Size <= maxSnapshotBytes && h.Membership.validate() == nil &&
		piece.Offset >= 0 && piece.Offset <= h.Size && len(piece.Data) <= h.Size-piece.Offset
}

// isSame says that pieces under both headers fit together.
func (h *SnapshotHeader) isSame(other *SnapshotHeader) bool {
	return h.Index == other.Index && h.Term == other.Term && h.Size == other.Size && h.Checksum == other.Checksum
}

// sendSnapshot sends the next piece of a snapshot. The one that was begun is gone on with, also
// where the leader's own has been replaced by a later one since: else a member on a narrow link
// would begin anew with each.
func (r *Replica) sendSnapshot(now time.Duration, id MemberID, p *progress) {
	if p.snapshot == nil {
		s := r.log.snapshot
		p.snapshot, p.checksum, p.snapshotOffset = &s, xxhash.Sum64(s.Data), 0
	}
	s := p.snapshot
	end := min(p.snapshotOffset+snapshotChunkBytes, len(s.Data))
	piece := s.Data[p.snapshotOffset:end]
	r.send(id, Message{SnapshotChunk: &SnapshotChunk{
		Heartbeat: r.heartbeat(now, p),
		Header:    SnapshotHeader{Index: s.Index, Term: s.Term, Membership: s.Membership, Size: len(s.Data), Checksum: p.checksum},
		Offset:    p.snapshotOffset,
		Data:      piece,
	}})
	p.sentAt, p.readRoundSent = now, r.readRound
	p.resendAt = now + resendTimeout + resendTimeoutPerMiB*time.Duration(len(piece)>>10)/(1<<10)
}

// stepSnapshotResponse goes on at the offset that the member names.
func (r *Replica) stepSnapshotResponse(now time.Duration, from MemberID, term Term, answer *SnapshotResponse) {
	p := r.recordResponse(now, from, term, answer.SentAt, answer.ReadRound, answer.Clock)
	if p == nil {
		return
	}
	if p.snapshot != nil && p.snapshot.Index == answer.Index && answer.Offset >= 0 && answer.Offset <= len(p.snapshot.Data) && answer.Offset != p.snapshotOffset {
		p.snapshotOffset, p.resendAt = answer.Offset, 0
	}
	r.confirmReads()
}

// stepSnapshot takes in a piece. Once all are there the snapshot takes the log's place.
func (r *Replica) stepSnapshot(now time.Duration, from MemberID, term Term, piece *SnapshotChunk) {
	if !r.acceptLeader(now, from, term, &piece.Heartbeat) {
		return
	}
	h := &piece.Header
	if h.Index <= r.commit || r.log.matches(h.Index, h.Term) {
		r.incoming = nil
		r.commit = max(r.commit, h.Index)
		r.matchedIndex = max(r.matchedIndex, r.commit)
		r.confirmSnapshot(now, from, piece)
		return
	}
	if r.incoming == nil || !r.incoming.header.isSame(h) {
		r.incoming = &incomingSnapshot{header: *h}
	}
	in := r.incoming
	if piece.Offset == len(in.data) {
		in.data = append(in.data, piece.Data...)
	}
	if len(in.data) < h.Size {
		r.send(from, Message{SnapshotResponse: &SnapshotResponse{Index: h.Index, Offset: len(in.data), SentAt: piece.SentAt, ReadRound: piece.ReadRound, Clock: r.clockReading(now)}})
		return
	}
	r.incoming = nil
	if xxhash.Sum64(in.data) != h.Checksum {
		r.rejectedMessages++
		r.send(from, Message{SnapshotResponse: &SnapshotResponse{Index: h.Index, SentAt: piece.SentAt, ReadRound: piece.ReadRound, Clock: r.clockReading(now)}})
		return
	}
	r.installSnapshot(Snapshot{Index: h.Index, Term: h.Term, Membership: h.Membership, Data: in.data})
	r.confirmSnapshot(now, from, piece)
}

func (r *Replica) confirmSnapshot(now time.Duration, from MemberID, piece *SnapshotChunk) {
	r.send(from, Message{AppendResponse: &AppendResponse{Match: r.matchedIndex, SentAt: piece.SentAt, ReadRound: piece.ReadRound, Clock: r.clockReading(now)}})
}

// installSnapshot puts a snapshot in place of a log that ends before it or differs at it.
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
