package replicatedstate

import (
	"bytes"
	"compress/flate"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"slices"
	"time"

	"caperarch/internal/fleet/policyrollout"
	"caperarch/internal/fleet/replicatedstate/accordpb"
)

const (
	chunkBytes = 160 // of compressed text per message
	// maxChunks includes the overhead of a text that compression makes up to an eighth longer.
	maxChunks       = (policyrollout.MaxTextBytes+policyrollout.MaxTextBytes/8)/chunkBytes + 1
	maxTexts        = 14                     // complete texts that are kept
	maxPartialTexts = 3                      // incomplete texts that are kept
	partialTimeout  = 20 * time.Second       // without a further chunk, after which an incomplete text may be dropped
	maxWantedChunks = 4                      // chunks per request
	fetchInterval   = 250 * time.Millisecond // delay before an unanswered request is repeated
	maxPushedChunks = 3                      // longest text, in chunks, that is sent without a request
	pushFanout      = 2                      // number of sidecars that a new text is sent to without a request
)

// hash is the SHA-256 of a text.
type hash = [sha256.Size]byte

// text is the complete text of a policy or a plan.
type text struct {
	hash       hash
	raw        []byte
	compressed []byte // the form that is split into chunks
	rejection  string // why this sidecar can't apply the policy; "": it can
}

// partialText is a text that has not been received completely.
type partialText struct {
	id        uint64        // shortHash of the text
	chunks    [][]byte      // received chunks by index; nil: missing
	remaining int           // missing chunks
	at        time.Duration // when the last chunk was received
}

// textStore stores texts by hash and reassembles texts that are received in chunks.
type textStore struct {
	check      func([]byte) error       // returns why this sidecar can't apply a text
	persist    func(hash, []byte) error // nil: texts are not persisted
	persistErr error                    // last error of persist
	texts      []*text                  // complete texts, the newest last
	partial    []*partialText           // the newest last
	nextFetch  time.Duration            // earliest time of the next request
	lastSender int                      // number of the sidecar that sent the last chunk, plus one; 0: none
}

// init sets the check that decides whether this sidecar can apply a text.
func (t *textStore) init(check func([]byte) error) { t.check = check }

// find returns the text with the given hash; nil: it is not stored.
func (t *textStore) find(h hash) *text {
	for _, x := range t.texts {
		if x.hash == h {
			return x
		}
	}
	return nil
}

// get returns the uncompressed text with the given hash; false: it is not stored.
func (t *textStore) get(h hash) ([]byte, bool) {
	if x := t.find(h); x != nil {
		return x.raw, true
	}
	return nil, false
}

// rejectionReason returns why this sidecar can't apply a policy, or policyrollout.TextMissing if its text is
// missing; "": it can.
func (t *textStore) rejectionReason(h hash) string {
	if x := t.find(h); x != nil {
		return x.rejection
	}
	return policyrollout.TextMissing
}

// add stores a text. If the store is full, it evicts the oldest text whose hash is not in keep.
func (t *textStore) add(raw []byte, keep ...hash) *text {
	x := &text{hash: sha256.Sum256(raw), raw: raw}
	if had := t.find(x.hash); had != nil {
		return had
	}
	var b bytes.Buffer
	w, _ := flate.NewWriter(&b, flate.BestCompression) // fails only for an invalid compression level
	_, _ = w.Write(raw)
	_ = w.Close()
	x.compressed = b.Bytes()
	if err := t.check(raw); err != nil {
		x.rejection = err.Error()
	}
	t.evictOldest(keep)
	t.texts = append(t.texts, x)
	if t.persist != nil {
		if err := t.persist(x.hash, raw); err != nil { // not fatal: the text can be fetched from another sidecar
			t.persistErr = err
		}
	}
	return x
}

// evictOldest removes the oldest text whose hash is not in keep, if the store is full.
func (t *textStore) evictOldest(keep []hash) {
	if len(t.texts) < maxTexts {
		return
	}
	for i, x := range t.texts {
		if !slices.Contains(keep, x.hash) {
			t.texts = append(t.texts[:i], t.texts[i+1:]...)
			return
		}
	}
}

// shortHash returns the first 8 bytes of a hash, which identify a text in chunks.
func shortHash(h hash) uint64 { return binary.BigEndian.Uint64(h[:8]) }

// chunkCount returns the number of chunks of a text.
func (x *text) chunkCount() int { return max(1, (len(x.compressed)+chunkBytes-1)/chunkBytes) }

// chunk returns the chunk with the given index in its wire format.
func (x *text) chunk(i int) *accordpb.Piece {
	from := min(i*chunkBytes, len(x.compressed))
	return &accordpb.Piece{
		Text: shortHash(x.hash), Index: uint32(i), Count: uint32(x.chunkCount()),
		Data: x.compressed[from:min(from+chunkBytes, len(x.compressed))],
	}
}

// receiveChunk stores a chunk, and returns the text once it is complete. A complete text that does not match
// its hash is dropped.
func (t *textStore) receiveChunk(now time.Duration, p *accordpb.Piece) []byte {
	if p.Count == 0 || p.Count > maxChunks || p.Index >= p.Count || len(p.Data) > chunkBytes {
		return nil
	}
	for _, x := range t.texts {
		if shortHash(x.hash) == p.Text {
			return nil // the text is complete already
		}
	}
	at := t.partialFor(now, p)
	if at < 0 {
		return nil
	}
	x := t.partial[at]
	if x.at = now; x.chunks[p.Index] != nil {
		return nil
	}
	x.chunks[p.Index] = append(make([]byte, 0, len(p.Data)), p.Data...)
	if x.remaining--; x.remaining > 0 {
		return nil
	}
	t.partial = append(t.partial[:at], t.partial[at+1:]...)
	raw, err := io.ReadAll(
		io.LimitReader(flate.NewReader(bytes.NewReader(bytes.Join(x.chunks, nil))), policyrollout.MaxTextBytes+1),
	)
	if sum := sha256.Sum256(raw); err != nil || len(raw) > policyrollout.MaxTextBytes || shortHash(sum) != x.id {
		return nil
	}
	return raw
}

// partialFor returns the index of the partial text that a chunk belongs to. A new partial text is added if
// fewer than maxPartialTexts exist or the oldest has timed out. The result is -1 if the chunk has to be
// dropped.
func (t *textStore) partialFor(now time.Duration, p *accordpb.Piece) int {
	at := -1
	for i, x := range t.partial {
		if x.id == p.Text {
			at = i
		}
	}
	if at >= 0 {
		if len(t.partial[at].chunks) != int(p.Count) {
			return -1
		}
		return at
	}
	if len(t.partial) >= maxPartialTexts {
		if now-t.partial[0].at < partialTimeout {
			return -1
		}
		t.partial = t.partial[1:]
	}
	t.partial = append(t.partial, &partialText{
		id: p.Text, chunks: make([][]byte, p.Count), remaining: int(p.Count),
	})
	return len(t.partial) - 1
}

// missing returns the indices of up to maxWantedChunks missing chunks of a text.
func (t *textStore) missing(id uint64) (all []uint32) {
	for _, x := range t.partial {
		if x.id != id {
			continue
		}
		for i := range x.chunks {
			if x.chunks[i] == nil && len(all) < maxWantedChunks {
				all = append(all, uint32(i))
			}
		}
		return all
	}
	return []uint32{0, 1, 2, 3}[:maxWantedChunks] // any chunk states the number of chunks
}
