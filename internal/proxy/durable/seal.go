package durable

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
)

// maxHeaderSize is the limit on the size of a header in bytes. A header has a kind, a length, a checksum and a newline.
const maxHeaderSize = 160

// ErrCorrupt is returned for a file whose content differs from the content that was written.
var ErrCorrupt = errors.New("file is corrupt")

// Seal returns the content with a header before it. The header has the kind of file, the content's length and the
// content's SHA-256 checksum. A kind must be short and must not contain a newline.
func Seal(kind string, content []byte) []byte {
	return append(header(kind, content), content...)
}

// Unseal returns the content of a file of the given kind that was written with Seal. It returns ErrCorrupt if any byte
// of the content or the header has changed.
func Unseal(kind string, raw []byte) ([]byte, error) {
	end := bytes.IndexByte(raw[:min(len(raw), maxHeaderSize)], '\n')
	if end < 0 {
		return nil, fmt.Errorf("%w: no header in %d bytes", ErrCorrupt, len(raw))
	}
	found, content := raw[:end+1], raw[end+1:]
	if !bytes.Equal(found, header(kind, content)) {
		return nil, fmt.Errorf("%w: the header does not match the %d bytes of content", ErrCorrupt, len(content))
	}
	return content, nil
}

// header returns the header of a file: the kind, the content's length and its checksum, with a newline at the end.
func header(kind string, content []byte) []byte {
	return fmt.Appendf(nil, "%s %d %x\n", kind, len(content), sha256.Sum256(content))
}
