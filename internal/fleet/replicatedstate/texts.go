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
	chunkBytes = 160
	// maxChunks allows for a text that compression makes slightly longer.
	maxChunks       = (policyrollout.MaxTextBytes+policyrollout.MaxTextBytes/8)/chunkBytes + 1
	maxTexts        = 14                     // that are kept
	maxPartialTexts = 3                      // that are being received
	partialTimeout  = 20 * time.Second       // without a further chunk
	maxWantedChunks = 4                      // per request
	fetchInterval   = 250 * time.Millisecond // without an answer
	maxPushedChunks = 3                      // of a text that is sent without a request,
	pushFanout      = 2                      // to so many sidecars
)

type hash = [sha256.Size]byte

// text is the complete text of a policy or a plan.
type text struct {
	hash       hash
	raw        []byte
	compressed []byte // as it is sent
	rejection  string // why it can't be applied here; "": it can
}

// partialText is a text of which chunks are missing.
type partialText struct {
	name      uint64
	chunks    [][]byte
	remaining int
	at        time.Duration // of the last chunk
}

// textStore keeps texts by their hashes. Who has a text passes it on.
type textStore struct {
	check      func([]byte) error
	persist    func(hash, []byte) error // nil: there is no storage
	persistErr error                    // of the last time that persist failed
	all        []*text                  // the newest last
	partial    []*partialText
	nextFetch  time.Duration
	lastSender int // sender of the last chunk plus one: it is asked for more; 0: none
}

func (t *textStore) init(check func([]byte) error) { t.check = check }

func (t *textStore) find(h hash) *text {
	for _, x := range t.all {
		if x.hash == h {
			return x
		}
	}
	return nil
}

func (t *textStore) get(h hash) ([]byte, bool) {
	if x := t.find(h); x != nil {
		return x.raw, true
	}
	return nil, false
}

// whyNotApplicable returns why a text can't be applied here; "": it can.
func (t *textStore) whyNotApplicable(h hash) string {
	if x := t.find(h); x != nil {
		return x.rejection
	}
	return policyrollout.Waiting
}

// add keeps a text. Of too many, the oldest that is not among keep is dropped.
func (t *textStore) add(raw []byte, keep ...hash) *text {
	x := &text{hash: sha256.Sum256(raw), raw: raw}
	if had := t.find(x.hash); had != nil {
		return had
	}
	var b bytes.Buffer
	w, _ := flate.NewWriter(&b, flate.BestCompression) // the level is valid
	_, _ = w.Write(raw)
	_ = w.Close()
	x.compressed = b.Bytes()
	if err := t.check(raw); err != nil {
		x.rejection = err.Error()
	}
	t.evictOldest(keep)
	t.all = append(t.all, x)
	if t.persist != nil {
		if err := t.persist(x.hash, raw); err != nil { // the text can be fetched again
			t.persistErr = err
		}
	}
	return x
}

// evictOldest drops the oldest text that is not among keep, if there are too many.
func (t *textStore) evictOldest(keep []hash) {
	if len(t.all) < maxTexts {
		return
	}
	for i, x := range t.all {
		if !slices.Contains(keep, x.hash) {
			t.all = append(t.all[:i], t.all[i+1:]...)
			return
		}
	}
}

// shortHash returns the short name by which chunks refer to a text.
func shortHash(h hash) uint64 { return binary.BigEndian.Uint64(h[:8]) }

func (x *text) chunkCount() int { return max(1, (len(x.compressed)+chunkBytes-1)/chunkBytes) }

func (x *text) chunk(i int) *accordpb.Piece {
	from := min(i*chunkBytes, len(x.compressed))
	return &accordpb.Piece{
		Text: shortHash(x.hash), Index: uint32(i), Count: uint32(x.chunkCount()),
		Data: x.compressed[from:min(from+chunkBytes, len(x.compressed))],
	}
}

// receiveChunk adds a chunk, and returns the text once it is complete. A text that does not have
// the hash under which it was sent is dropped.
func (t *textStore) receiveChunk(now time.Duration, p *accordpb.Piece) []byte {
	if p.Count == 0 || p.Count > maxChunks || p.Index >= p.Count || len(p.Data) > chunkBytes {
		return nil
	}
	for _, x := range t.all {
		if shortHash(x.hash) == p.Text {
			return nil // complete already
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
	if sum := sha256.Sum256(raw); err != nil || len(raw) > policyrollout.MaxTextBytes || shortHash(sum) != x.name {
		return nil
	}
	return raw
}

// partialFor returns the index of the partial text that a chunk belongs to, and adds it if there is
// room; -1: the chunk can't be used.
func (t *textStore) partialFor(now time.Duration, p *accordpb.Piece) int {
	at := -1
	for i, x := range t.partial {
		if x.name == p.Text {
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
		name: p.Text, chunks: make([][]byte, p.Count), remaining: int(p.Count),
	})
	return len(t.partial) - 1
}

// missing returns some of the chunks that are not here yet.
func (t *textStore) missing(name uint64) (all []uint32) {
	for _, x := range t.partial {
		if x.name != name {
			continue
		}
		for i := range x.chunks {
			if x.chunks[i] == nil && len(all) < maxWantedChunks {
				all = append(all, uint32(i))
			}
		}
		return all
	}
	return []uint32{0, 1, 2, 3}[:maxWantedChunks] // the first chunk tells how many there are
}
