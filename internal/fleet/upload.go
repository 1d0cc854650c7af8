package fleet

import (
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"caperarch/internal/fleet/policyrollout"
)

const (
	uploadChunk   = 300              // bytes of a text per call
	maxUploads    = 4                // texts that are being uploaded
	uploadTimeout = 30 * time.Second // without a further chunk
)

// upload is a text that an operator hands over in chunks, as a call is short.
type upload struct {
	hash      string
	chunks    [][]byte
	lastChunk time.Duration
}

// UploadChunks returns in how many chunks a text is handed over.
func UploadChunks(text []byte) int { return max(1, (len(text)+uploadChunk-1)/uploadChunk) }

// UploadChunkArgs returns chunk i of a text as the arguments of its call.
func UploadChunkArgs(text []byte, i int) []string {
	from := i * uploadChunk
	chunk := text[from:min(len(text), from+uploadChunk)]
	return []string{
		policyrollout.Hash(text), strconv.Itoa(i), strconv.Itoa(UploadChunks(text)),
		"=" + base64.RawStdEncoding.EncodeToString(chunk),
	}
}

// Upload adds a chunk of a text: the text's hash, the chunk's number, how many there are, the
// chunk.
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
	if errors.Join(err1, err2, err3) != nil || count < 1 ||
		count > policyrollout.MaxTextBytes/uploadChunk+1 || index < 0 || index >= count || len(raw) > uploadChunk {
		return fmt.Errorf("piece %s of %s can't be used", words[1], words[2])
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.fleet.now()
	u, err := p.uploadOf(now, hash, count)
	if err != nil {
		return err
	}
	u.lastChunk, u.chunks[index] = now, raw
	return nil
}

// uploadOf returns the upload of a text, which it adds if there is room, and drops those that have
// timed out. The caller holds the lock.
func (p *Policy) uploadOf(now time.Duration, hash string, count int) (*upload, error) {
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
	if p.uploads = kept; u != nil {
		return u, nil
	}
	if len(p.uploads) >= maxUploads {
		return nil, fmt.Errorf("%d policies are being handed over, try again in a moment", maxUploads)
	}
	u = &upload{hash: hash, chunks: make([][]byte, count)}
	p.uploads = append(p.uploads, u)
	return u, nil
}

// uploaded removes and returns a text that is complete. The caller holds the lock.
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
