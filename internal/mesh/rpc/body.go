package rpc

import (
	"errors"
	"io"
)

const (
	// announcedBuffer bounds the memory taken because of a Content-Length alone. It guards against
	// senders that announce a large body and never send it; once so much has arrived, the rest is
	// allocated at once.
	announcedBuffer = 256 << 10
	// unannouncedBuffer is the first buffer for a body without an announced length.
	unannouncedBuffer = 4 << 10
)

// errOverLimit is why readBody gave up on a body.
var errOverLimit = errors.New("over the limit")

// readBody reads to the end of r, at most limit bytes; length is the announced one, negative if
// there is none. Its memory grows with what has arrived: see announcedBuffer. With an error that is
// not errOverLimit it returns what was read until then.
func readBody(r io.Reader, length, limit int64) ([]byte, error) {
	first, next := int64(unannouncedBuffer), int64(0)
	if length >= 0 {
		// One byte beyond the length lets the end be seen without growing the buffer.
		next = min(length, limit) + 1
		first = min(next, announcedBuffer)
	}
	data := make([]byte, 0, first)
	for {
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case int64(len(data)) > limit:
			return nil, errOverLimit
		case err == io.EOF:
			return data, nil
		case err != nil:
			return data, err
		}
		if len(data) == cap(data) {
			grown := make([]byte, len(data), max(next, 2*int64(cap(data))))
			copy(grown, data)
			data = grown
		}
	}
}
