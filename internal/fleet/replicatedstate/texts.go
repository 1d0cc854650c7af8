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
	pieceBytes = 160
	piecesMost = (policyrollout.MaxTextBytes+policyrollout.MaxTextBytes/8)/pieceBytes + 1 // a text that can't be made smaller grows a little
	textsMost  = 14                                                                       // kept; those that matter are few
	halfMost   = 3                                                                        // texts that are half here
	halfTime   = 20 * time.Second                                                         // without a further piece
	wantMost   = 4                                                                        // pieces that are asked for at a time
	wantEvery  = 250 * time.Millisecond                                                   // without an answer
	pushPieces = 3                                                                        // a text of so few goes to some others unasked
	pushTexts  = 2                                                                        // so many
)

type hash = [sha256.Size]byte

// text is one that is here whole.
type text struct {
	hash  hash
	raw   []byte
	small []byte // as it goes to others
	why   string // it can't be applied here; "": it can
}

// half is a text that is half here.
type half struct {
	name  uint64
	parts [][]byte
	left  int
	at    time.Duration // of the last piece
}

// texts are those of policies, known by their hashes. Who has one hands it on.
type texts struct {
	check  func([]byte) error
	keep   func(hash, []byte) error // on the disk; nil: there is none
	failed error                    // why that was not possible, the last time
	all    []*text                  // the newest last
	half   []*half
	askAt  time.Duration
	from   int // who sent the last piece, and one: it is asked on. 0: nobody did
}

func (t *texts) init(check func([]byte) error) { t.check = check }

func (t *texts) find(h hash) *text {
	for _, x := range t.all {
		if x.hash == h {
			return x
		}
	}
	return nil
}

func (t *texts) get(h hash) ([]byte, bool) {
	if x := t.find(h); x != nil {
		return x.raw, true
	}
	return nil, false
}

// why says why a text can't be applied here.
func (t *texts) why(h hash) string {
	if x := t.find(h); x != nil {
		return x.why
	}
	return policyrollout.Waiting
}

// add keeps a text. Of too many the oldest goes that is none of those to be kept.
func (t *texts) add(raw []byte, keep ...hash) *text {
	x := &text{hash: sha256.Sum256(raw), raw: raw}
	if had := t.find(x.hash); had != nil {
		return had
	}
	var b bytes.Buffer
	w, _ := flate.NewWriter(&b, flate.BestCompression) // the level is a known one
	_, _ = w.Write(raw)
	_ = w.Close()
	x.small = b.Bytes()
	if err := t.check(raw); err != nil {
		x.why = err.Error()
	}
	for i := 0; len(t.all) >= textsMost && i < len(t.all); i++ {
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
	if t.keep != nil {
		if err := t.keep(x.hash, raw); err != nil { // it can be asked for again, of others
			t.failed = err
		}
	}
	return x
}

// nameOf is the short name by which pieces are known.
func nameOf(h hash) uint64 { return binary.BigEndian.Uint64(h[:8]) }

func (x *text) pieces() int { return max(1, (len(x.small)+pieceBytes-1)/pieceBytes) }

func (x *text) piece(i int) *accordpb.Piece {
	from := min(i*pieceBytes, len(x.small))
	return &accordpb.Piece{Text: nameOf(x.hash), Index: uint32(i), Count: uint32(x.pieces()), Data: x.small[from:min(from+pieceBytes, len(x.small))]}
}

// needed are the texts that this one can't do without.
func (n *Node) needed() (all []hash) {
	s := n.holder.State()
	for _, r := range []policyrollout.Ref{s.Current, s.Pending, s.Offered} {
		if r.Version != 0 {
			all = append(all, r.Hash)
		}
	}
	for _, w := range n.work.state.Plans {
		all = append(all, w.Hash)
	}
	return all
}

// fetch asks one of the others for pieces of what is needed and not here.
func (n *Node) fetch(now time.Duration) {
	if now < n.texts.askAt {
		return
	}
	for _, h := range n.needed() {
		if n.texts.find(h) == nil {
			n.texts.askAt = now + wantEvery
			to := n.other()
			if n.texts.from > 0 {
				to, n.texts.from = n.texts.from-1, 0
			}
			n.send(to, &accordpb.Message{Want: h[:], Pieces: n.texts.missing(nameOf(h))})
			return
		}
	}
}

// missing are some of the pieces that are not here yet.
func (t *texts) missing(name uint64) (all []uint32) {
	for _, x := range t.half {
		if x.name != name {
			continue
		}
		for i := range x.parts {
			if x.parts[i] == nil && len(all) < wantMost {
				all = append(all, uint32(i))
			}
		}
		return all
	}
	return []uint32{0, 1, 2, 3}[:wantMost] // how many there are is told with the first
}

// takeText answers who lacks a text, and takes pieces of one.
func (n *Node) takeText(now time.Duration, from int, m *accordpb.Message) {
	if len(m.Want) == sha256.Size {
		if x := n.texts.find(hash(m.Want)); x != nil {
			for _, i := range m.Pieces[:min(len(m.Pieces), wantMost)] {
				if int(i) < x.pieces() {
					n.send(from, &accordpb.Message{Piece: x.piece(int(i))})
				}
			}
		}
	}
	if p := m.Piece; p != nil {
		if raw := n.texts.take(now, p); raw != nil {
			n.have(n.texts.add(raw, n.needed()...))
		} else {
			n.texts.askAt, n.texts.from = min(n.texts.askAt, now+Period/2), from+1 // it comes on
		}
	}
}

// have takes that a text has just come, and hands it on where it is short.
func (n *Node) have(x *text) {
	if n.Size < 2 {
		return
	}
	for range pushTexts {
		n.show(n.other(), x)
	}
}

// show sends a short text to one.
func (n *Node) show(to int, x *text) {
	for i := range x.pieces() {
		if x.pieces() <= pushPieces {
			n.send(to, &accordpb.Message{Piece: x.piece(i)})
		}
	}
}

// take takes a piece, and returns the text once it is whole. What does not come to the hash that it was sent under is thrown away.
func (t *texts) take(now time.Duration, p *accordpb.Piece) []byte {
	if p.Count == 0 || p.Count > piecesMost || p.Index >= p.Count || len(p.Data) > pieceBytes {
		return nil
	}
	for _, x := range t.all {
		if nameOf(x.hash) == p.Text {
			return nil // it is here
		}
	}
	at := -1
	for i, x := range t.half {
		if x.name == p.Text {
			at = i
		}
	}
	if at >= 0 && len(t.half[at].parts) != int(p.Count) {
		return nil
	}
	if at < 0 {
		if len(t.half) >= halfMost && now-t.half[0].at < halfTime {
			return nil
		} else if len(t.half) >= halfMost {
			t.half = t.half[1:]
		}
		at = len(t.half)
		t.half = append(t.half, &half{name: p.Text, parts: make([][]byte, p.Count), left: int(p.Count)})
	}
	x := t.half[at]
	if x.at = now; x.parts[p.Index] != nil {
		return nil
	}
	x.parts[p.Index] = append(make([]byte, 0, len(p.Data)), p.Data...)
	if x.left--; x.left > 0 {
		return nil
	}
	t.half = append(t.half[:at], t.half[at+1:]...)
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(bytes.Join(x.parts, nil))), policyrollout.MaxTextBytes+1))
	if sum := sha256.Sum256(raw); err != nil || len(raw) > policyrollout.MaxTextBytes || nameOf(sum) != x.name {
		return nil
	}
	return raw
}
