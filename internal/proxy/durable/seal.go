package durable

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
)

// maxHeaderSize bounds the bytes of a header, its newline included: a kind, a length and a checksum.
const maxHeaderSize = 160

// ErrCorrupt says that a file's bytes are not those that were written.
var ErrCorrupt = errors.New("damaged")

// Seal returns the content with a header in front: the kind of file, the content's length and its
// SHA-256 checksum. A kind is short and has no newline.
func Seal(kind string, content []byte) []byte {
	return append(header(kind, content), content...)
}

// Unseal returns the content of a file of this kind that Seal made. It is ErrCorrupt if any byte of the
// file changed, the header's included.
func Unseal(kind string, raw []byte) ([]byte, error) {
	end := bytes.IndexByte(raw[:min(len(raw), maxHeaderSize)], '\n')
	if end < 0 {
		return nil, fmt.Errorf("%w: %d bytes without a header", ErrCorrupt, len(raw))
	}
	found, content := raw[:end+1], raw[end+1:]
	if !bytes.Equal(found, header(kind, content)) {
		return nil, fmt.Errorf("%w: the header doesn't match the %d bytes behind it", ErrCorrupt, len(content))
	}
	return content, nil
}

func header(kind string, content []byte) []byte {
	return fmt.Appendf(nil, "%s %d %x\n", kind, len(content), sha256.Sum256(content))
}
