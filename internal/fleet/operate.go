package fleet

import (
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"caperarch/internal/fleet/policyrollout"
	"caperarch/internal/fleet/replicatedstate"
)

const (
	uploadChunk     = 300              // bytes of a text in one call
	maxUploads      = 4                // texts that are half here
	uploadTimeout   = 30 * time.Second // without a further piece
	laggardsTimeout = 400 * time.Millisecond
)

var errNotRunning = errors.New("this process takes no part in the fleet's policy: the address for peers is not its own yet, or what it kept can't be used; its log says which")

// upload is a text that an operator hands over in pieces, as a call is short.
type upload struct {
	hash      string
	chunks    [][]byte
	lastChunk time.Duration
}

// UploadChunks is in how many pieces a text is handed over, and UploadPiece one of them as the words of its call.
func UploadChunks(text []byte) int { return max(1, (len(text)+uploadChunk-1)/uploadChunk) }

// UploadChunkArgs is a piece of a text as the words of its call.
func UploadChunkArgs(text []byte, i int) []string {
	from := i * uploadChunk
	part := text[from:min(len(text), from+uploadChunk)]
	return []string{policyrollout.Hash(text), strconv.Itoa(i), strconv.Itoa(UploadChunks(text)), "=" + base64.RawStdEncoding.EncodeToString(part)}
}

// Upload takes a piece of a text: its hash, the piece's number, how many there are, the piece.
func (p *Policy) Upload(words []string) error {
	if len(words) != 4 {
		return errors.New("a hash, a number, a count and a piece are needed")
	}
	hash := words[0]
	index, err1 := strconv.Atoi(words[1])
	count, err2 := strconv.Atoi(words[2])
	raw, err3 := base64.RawStdEncoding.DecodeString(strings.TrimPrefix(words[3], "="))
	if sum, err := hex.DecodeString(hash); err != nil || len(sum) != 32 {
		return errors.New("the hash is no SHA-256")
	}
	if errors.Join(err1, err2, err3) != nil || count < 1 || count > policyrollout.MaxTextBytes/uploadChunk+1 || index < 0 || index >= count || len(raw) > uploadChunk {
		return fmt.Errorf("piece %s of %s can't be used", words[1], words[2])
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.fleet.now()
	var u *upload
	kept := p.uploads[:0]
	for _, x := range p.uploads {
		if now-x.lastChunk < uploadTimeout {
			kept = append(kept, x)
		}
		if x.hash == hash && len(x.chunks) == count {
			u = x
		}
	}
	if p.uploads = kept; u == nil {
		if len(p.uploads) >= maxUploads {
			return fmt.Errorf("%d policies are being handed over, try again in a moment", maxUploads)
		}
		u = &upload{hash: hash, chunks: make([][]byte, count)}
		p.uploads = append(p.uploads, u)
	}
	u.lastChunk, u.chunks[index] = now, raw
	return nil
}

// Propose has the fleet change to a policy whose text was handed over, made from version base.
func (p *Policy) Propose(words []string, to io.Writer) error {
	if len(words) != 2 {
		return errors.New("a hash and the version that it was made from are needed")
	}
	base, err := strconv.ParseUint(words[1], 10, 32)
	if err != nil {
		return fmt.Errorf("%q is no version", words[1])
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	text, err := p.uploaded(words[0])
	if err != nil {
		return err
	}
	if p.node == nil {
		return errNotRunning
	}
	p.now = p.fleet.now()
	ref, err := p.node.Propose(p.now, text, uint32(base))
	if err != nil {
		return err
	}
	p.publishActive()
	_, err = fmt.Fprintf(to, "version %d proposed, hash %x\n", ref.Version, ref.Hash)
	return err
}

// uploaded is a text that is here whole. The caller holds the lock.
func (p *Policy) uploaded(hash string) ([]byte, error) {
	for i, u := range p.uploads {
		if u.hash != hash {
			continue
		}
		var text []byte
		for k, part := range u.chunks {
			if part == nil {
				return nil, fmt.Errorf("piece %d of %d was not handed over", k, len(u.chunks))
			}
			text = append(text, part...)
		}
		p.uploads = append(p.uploads[:i], p.uploads[i+1:]...)
		if policyrollout.Hash(text) != hash {
			return nil, errors.New("the text is not that of its hash")
		}
		return text, nil
	}
	return nil, errors.New("no text of this hash was handed over")
}

// Abort calls off what is under way.
func (p *Policy) Abort(to io.Writer) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.node == nil {
		return errNotRunning
	}
	p.now = p.fleet.now()
	version, err := p.node.Abort(p.now)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(to, "version %d is to be called off\n", version)
	return err
}

// Bootstrap begins a log. It is refused while one answers.
func (p *Policy) Bootstrap(to io.Writer) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.node == nil {
		return errNotRunning
	}
	p.now = p.fleet.now()
	// Above each that was begun before, and no other's: the later of two that are begun at once wins.
	epoch := uint64(time.Now().UnixMilli())<<16 | uint64(p.fleet.cfg.Policy.Index)
	if err := p.node.Bootstrap(p.now, epoch); err != nil {
		return err
	}
	_, err := fmt.Fprintf(to, "a log is begun, epoch %x; the policy is the settings\n", epoch)
	return err
}

// View is what this sidecar knows of the policy.
func (p *Policy) View() replicatedstate.View {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.node == nil {
		return replicatedstate.View{Self: p.fleet.cfg.Policy.Index, Leader: -1}
	}
	return p.node.View(p.fleet.now())
}

// Show writes what holds, what is under way and whom that waits for; the leader is asked for the last.
func (p *Policy) Show(to io.Writer) error {
	v := p.View()
	if v.State.InProgress() != 0 && v.LaggardCount < 0 {
		p.mu.Lock()
		if p.node != nil {
			p.node.RequestLaggards(p.fleet.now())
		}
		p.mu.Unlock()
		for end := time.Now().Add(laggardsTimeout); v.LaggardCount < 0 && time.Now().Before(end); v = p.View() {
			time.Sleep(10 * time.Millisecond)
		}
	}
	b := new(strings.Builder)
	s := &v.State
	switch {
	case v.Epoch == 0:
		fmt.Fprintln(b, "no log is known here: it was never begun (policy found), or this process has not heard of it yet")
	case !s.Started:
		fmt.Fprintln(b, "the log has begun, and waits until nobody can go by an earlier one")
	case s.Current.Version == 0:
		fmt.Fprintln(b, "version 0 holds: the settings")
	default:
		fmt.Fprintf(b, "version %d holds, hash %x\n", s.Current.Version, s.Current.Hash)
	}
	switch v.Active.Mode {
	case policyrollout.CutOff:
		fmt.Fprintln(b, "this sidecar is cut off: it goes by cut_off")
	case policyrollout.One:
		fmt.Fprintf(b, "this sidecar goes by version %d, for %s at least\n", v.Active.New.Version, seconds(v.ActiveUntil-v.Now))
	default:
		fmt.Fprintf(b, "this sidecar goes by the stricter of versions %d and %d, for %s at least\n", v.Active.Old.Version, v.Active.New.Version, seconds(v.ActiveUntil-v.Now))
	}
	switch {
	case s.Offered.Version != 0:
		fmt.Fprintf(b, "under way: version %d of sidecar %d, hash %x: its text goes round\n", s.Offered.Version, s.ProposedBy, s.Offered.Hash)
	case s.Pending.Version != 0:
		fmt.Fprintf(b, "under way: version %d of sidecar %d, hash %x: all are to go by the stricter of both\n", s.Pending.Version, s.ProposedBy, s.Pending.Hash)
	case s.Completing != 0:
		fmt.Fprintf(b, "under way: version %d has its outcome, all are to go by that\n", s.Completing)
	default:
		fmt.Fprintln(b, "under way: nothing")
	}
	if s.InProgress() != 0 {
		if v.LaggardCount < 0 {
			fmt.Fprintln(b, "behind: the leader does not say")
		} else {
			fmt.Fprintf(b, "behind: %d\n", v.LaggardCount)
		}
		for _, x := range v.Laggards[:min(len(v.Laggards), 20)] {
			fmt.Fprintf(b, "behind: sidecar %d: %s\n", x.Number, x.Why)
		}
	}
	fmt.Fprintf(b, "log: epoch %x, %d entries, leader %d, voters", v.Epoch, v.LastIndex, v.Leader)
	for _, seat := range v.Voters {
		fmt.Fprintf(b, " %d", seat.Number)
	}
	fmt.Fprintln(b)
	for _, m := range v.Proposals {
		outcome := m.Outcome
		if outcome == "" {
			outcome = "not in the log yet"
		}
		fmt.Fprintf(b, "proposed here: version %d, hash %x: %s\n", m.Version, m.Hash, outcome)
	}
	_, err := io.WriteString(to, b.String())
	return err
}

// History writes the changes that have their outcome, the newest last.
func (p *Policy) History(to io.Writer) error {
	v := p.View()
	for _, h := range v.State.History {
		line := fmt.Sprintf("version %d of sidecar %d, hash %x: %s", h.Version, h.By, h.Hash, h.Outcome)
		if h.Why != "" {
			line += fmt.Sprintf(", by sidecar %d: %s", h.EndedBy, h.Why)
		}
		if _, err := fmt.Fprintln(to, line); err != nil {
			return err
		}
	}
	return nil
}
