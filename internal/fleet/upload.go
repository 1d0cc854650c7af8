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
	uploadChunk   = 300              // bytes of a text per control call
	maxUploads    = 4                // concurrent uploads
	uploadTimeout = 30 * time.Second // an upload is dropped if no chunk arrives for this long
)

// upload is a text that an operator transfers in chunks, because the size of a control call is limited.
type upload struct {
	hash      string
	chunks    [][]byte      // nil: not received yet
	lastChunk time.Duration // when the last chunk was received
}

// UploadChunks returns the number of chunks in which a text is transferred.
func UploadChunks(text []byte) int { return max(1, (len(text)+uploadChunk-1)/uploadChunk) }

// UploadChunkArgs returns the arguments of the control call that transfers chunk i of a text, see Policy.Upload.
func UploadChunkArgs(text []byte, i int) []string {
	start := i * uploadChunk
	chunk := text[start:min(len(text), start+uploadChunk)]
	return []string{
		policyrollout.Hash(text), strconv.Itoa(i), strconv.Itoa(UploadChunks(text)),
		"=" + base64.RawStdEncoding.EncodeToString(chunk),
	}
}

// Upload stores a chunk of a text. Its arguments are the text's hash, the chunk's number, the number of chunks, and "="
// with the chunk in base64.
func (p *Policy) Upload(args []string) error {
	if len(args) != 4 {
		return errors.New("a hash, a number, a count and a piece are needed")
	}
	hash := args[0]
	index, err1 := strconv.Atoi(args[1])
	count, err2 := strconv.Atoi(args[2])
	raw, err3 := base64.RawStdEncoding.DecodeString(strings.TrimPrefix(args[3], "="))
	if sum, err := hex.DecodeString(hash); err != nil || len(sum) != 32 {
		return errors.New("the hash is no SHA-256")
	}
	if errors.Join(err1, err2, err3) != nil || count < 1 ||
		count > policyrollout.MaxTextBytes/uploadChunk+1 || index < 0 || index >= count || len(raw) > uploadChunk {
		return fmt.Errorf("piece %s of %s can't be used", args[1], args[2])
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.fleet.now()
	current, err := p.uploadOf(now, hash, count)
	if err != nil {
		return err
	}
	current.lastChunk, current.chunks[index] = now, raw
	return nil
}

// uploadOf returns the upload of a text, which it starts if there is none and fewer than maxUploads are in progress. It
// drops uploads that have timed out. The caller holds the lock.
func (p *Policy) uploadOf(now time.Duration, hash string, count int) (*upload, error) {
	var found *upload
	kept := p.uploads[:0]
	for _, candidate := range p.uploads {
		if now-candidate.lastChunk < uploadTimeout {
			kept = append(kept, candidate)
		}
		if candidate.hash == hash && len(candidate.chunks) == count {
			found = candidate
		}
	}
	if p.uploads = kept; found != nil {
		return found, nil
	}
	if len(p.uploads) >= maxUploads {
		return nil, fmt.Errorf("%d policies are being handed over, try again in a moment", maxUploads)
	}
	found = &upload{hash: hash, chunks: make([][]byte, count)}
	p.uploads = append(p.uploads, found)
	return found, nil
}

// uploaded removes a completed upload and returns its text. The caller holds the lock.
func (p *Policy) uploaded(hash string) ([]byte, error) {
	for i, current := range p.uploads {
		if current.hash != hash {
			continue
		}
		var text []byte
		for k, chunk := range current.chunks {
			if chunk == nil {
				return nil, fmt.Errorf("piece %d of %d was not handed over", k, len(current.chunks))
			}
			text = append(text, chunk...)
		}
		p.uploads = append(p.uploads[:i], p.uploads[i+1:]...)
		if policyrollout.Hash(text) != hash {
			return nil, errors.New("the text is not that of its hash")
		}
		return text, nil
	}
	return nil, errors.New("no text of this hash was handed over")
}
