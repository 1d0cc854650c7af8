package durable

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
)

// headerMost bounds the bytes of a header, its newline included: a kind, a length and a sum.
const maxHeaderSize = 160

// ErrCorrupt is that a file's bytes are not those that were written.
var ErrCorrupt = errors.New("damaged")

// Seal puts a header before a file's content: its kind, its length and its SHA-256 sum.
func Seal(kind string, content []byte) []byte {
	return append(header(kind, content), content...)
}

// Unseal returns the content of a file that Seal made. Every change to its bytes, header included, is
// ErrCorrupt.
func Unseal(kind string, raw []byte) ([]byte, error) {
	end := bytes.IndexByte(raw[:min(len(raw), maxHeaderSize)], '\n')
	if end < 0 {
		return nil, fmt.Errorf("%w: %d bytes without a header", ErrCorrupt, len(raw))
	}
	found, content := raw[:end+1], raw[end+1:]
	if !bytes.Equal(found, header(kind, content)) {
		return nil, fmt.Errorf("%w: the header is not that of the %d bytes behind it", ErrCorrupt, len(content))
	}
	return content, nil
}

func header(kind string, content []byte) []byte {
	return fmt.Appendf(nil, "%s %d %x\n", kind, len(content), sha256.Sum256(content))
}
