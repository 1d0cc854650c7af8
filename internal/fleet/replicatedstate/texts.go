package replicatedstate

import (
	"bytes"
	"compress/flate"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"time"

	"caperarch/internal/fleet/policyrollout"
	"caperarch/internal/fleet/replicatedstate/accordpb"
)

const (
	chunkBytes      = 160
	maxChunks       = (policyrollout.MaxTextBytes+policyrollout.MaxTextBytes/8)/chunkBytes + 1 // a text that can't be made smaller grows a little
	maxTexts        = 14                                                                       // kept; those that matter are few
	maxPartialTexts = 3                                                                        // texts that are half here
	partialTimeout  = 20 * time.Second                                                         // without a further piece
	maxWantedChunks = 4                                                                        // pieces that are asked for at a time
	fetchInterval   = 250 * time.Millisecond                                                   // without an answer
	maxPushedChunks = 3                                                                        // a text of so few goes to some others unasked
	pushFanout      = 2                                                                        // so many
)

type hash = [sha256.Size]byte

// text is one that is here whole.
type text struct {
	hash       hash
	raw        []byte
	compressed []byte // as it goes to others
	rejection  string // it can't be applied here; "": it can
}

// partialText is a text that is half here.
type partialText struct {
	name      uint64
	chunks    [][]byte
	remaining int
	at        time.Duration // of the last piece
}

// textStore are those of policies, known by their hashes. Who has one hands it on.
type textStore struct {
	check      func([]byte) error
	persist    func(hash, []byte) error // on the disk; nil: there is none
	persistErr error                    // why that was not possible, the last time
	all        []*text                  // the newest last
	partial    []*partialText
	nextFetch  time.Duration
	lastSender int // who sent the last piece, and one: it is asked on. 0: nobody did
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

// whyNotApplicable says why a text can't be applied here.
func (t *textStore) whyNotApplicable(h hash) string {
	if x := t.find(h); x != nil {
		return x.rejection
	}
	return policyrollout.Waiting
}

// add keeps a text. Of too many the oldest goes that is none of those to be kept.
func (t *textStore) add(raw []byte, keep ...hash) *text {
	x := &text{hash: sha256.Sum256(raw), raw: raw}
	if had := t.find(x.hash); had != nil {
		return had
	}
	var b bytes.Buffer
	w, _ := flate.NewWriter(&b, flate.BestCompression) // the level is a known one
	_, _ = w.Write(raw)
	_ = w.Close()
	x.compressed = b.Bytes()
	if err := t.check(raw); err != nil {
		x.rejection = err.Error()
	}
	for i := 0; len(t.all) >= maxTexts && i < len(t.all); i++ {
		kept := false
		for _, h := range keep {
			kept = kept || t.all[i].hash == h
		}
		if !kept {
			t.all = append(t.all[:i], t.all[i+1:]...)
			break
		}
	}
	t.all = append(t.all, x)
	if t.persist != nil {
		if err := t.persist(x.hash, raw); err != nil { // it can be asked for again, of others
			t.persistErr = err
		}
	}
	return x
}

// shortHash is the short name by which pieces are known.
func shortHash(h hash) uint64 { return binary.BigEndian.Uint64(h[:8]) }

func (x *text) chunkCount() int { return max(1, (len(x.compressed)+chunkBytes-1)/chunkBytes) }

func (x *text) chunk(i int) *accordpb.Piece {
	from := min(i*chunkBytes, len(x.compressed))
	return &accordpb.Piece{Text: shortHash(x.hash), Index: uint32(i), Count: uint32(x.chunkCount()), Data: x.compressed[from:min(from+chunkBytes, len(x.compressed))]}
}

// neededTexts are the texts that this one can't do without.
func (n *Node) neededTexts() (all []hash) {
	s := n.participant.State()
	for _, r := range []policyrollout.Ref{s.Current, s.Pending, s.Offered} {
		if r.Version != 0 {
			all = append(all, r.Hash)
		}
	}
	for _, w := range n.maintenance.state.Plans {
		all = append(all, w.Hash)
	}
	return all
}

// fetchTexts asks one of the others for pieces of what is needed and not here.
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

// missing are some of the pieces that are not here yet.
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
	return []uint32{0, 1, 2, 3}[:maxWantedChunks] // how many there are is told with the first
}

// handleText answers who lacks a text, and takes pieces of one.
func (n *Node) handleText(now time.Duration, from int, m *accordpb.Message) {
	if len(m.Want) == sha256.Size {
		if x := n.texts.find(hash(m.Want)); x != nil {
			for _, i := range m.Pieces[:min(len(m.Pieces), maxWantedChunks)] {
				if int(i) < x.chunkCount() {
					n.send(from, &accordpb.Message{Piece: x.chunk(int(i))})
				}
			}
		}
	}
	if p := m.Piece; p != nil {
		if raw := n.texts.receiveChunk(now, p); raw != nil {
			n.pushText(n.texts.add(raw, n.neededTexts()...))
		} else {
			n.texts.nextFetch, n.texts.lastSender = min(n.texts.nextFetch, now+Period/2), from+1 // it comes on
		}
	}
}

// pushText takes that a text has just come, and hands it on where it is short.
func (n *Node) pushText(x *text) {
	if n.Size < 2 {
		return
	}
	for range pushFanout {
		n.sendText(n.randomPeer(), x)
	}
}

// sendText sends a short text to one.
func (n *Node) sendText(to int, x *text) {
	for i := range x.chunkCount() {
		if x.chunkCount() <= maxPushedChunks {
			n.send(to, &accordpb.Message{Piece: x.chunk(i)})
		}
	}
}

// receiveChunk takes a piece, and returns the text once it is whole. What does not come to the hash that it was sent under is thrown away.
func (t *textStore) receiveChunk(now time.Duration, p *accordpb.Piece) []byte {
	if p.Count == 0 || p.Count > maxChunks || p.Index >= p.Count || len(p.Data) > chunkBytes {
		return nil
	}
	for _, x := range t.all {
		if shortHash(x.hash) == p.Text {
			return nil // it is here
		}
	}
	at := -1
	for i, x := range t.partial {
		if x.name == p.Text {
			at = i
		}
	}
	if at >= 0 && len(t.partial[at].chunks) != int(p.Count) {
		return nil
	}
	if at < 0 {
		if len(t.partial) >= maxPartialTexts && now-t.partial[0].at < partialTimeout {
			return nil
		} else if len(t.partial) >= maxPartialTexts {
			t.partial = t.partial[1:]
		}
		at = len(t.partial)
		t.partial = append(t.partial, &partialText{name: p.Text, chunks: make([][]byte, p.Count), remaining: int(p.Count)})
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
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(bytes.Join(x.chunks, nil))), policyrollout.MaxTextBytes+1))
	if sum := sha256.Sum256(raw); err != nil || len(raw) > policyrollout.MaxTextBytes || shortHash(sum) != x.name {
		return nil
	}
	return raw
}
