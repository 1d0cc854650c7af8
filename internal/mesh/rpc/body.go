package rpc

import (
	"errors"
	"io"
)

const (
	// maxAnnouncedBuffer is the maximum size in bytes of the first buffer for a body with a Content-Length. It limits
	// the memory that a sender can occupy by announcing a large body without sending it. Once that many bytes have
	// been received, the announced rest is allocated at once.
	maxAnnouncedBuffer = 256 << 10
	// initialBuffer is the size in bytes of the first buffer for a body without a Content-Length.
	initialBuffer = 4 << 10
)

// errBodyTooLarge is the error of readBody for a body that exceeds the limit.
var errBodyTooLarge = errors.New("over the limit")

// readBody reads r up to its end. Length is the announced number of bytes, or negative if none is announced. A body of
// more than limit bytes is errBodyTooLarge. With any other error, readBody returns the bytes read until then. It
// allocates memory as bytes are received, see maxAnnouncedBuffer.
func readBody(r io.Reader, length, limit int64) ([]byte, error) {
	initial, announced := int64(initialBuffer), int64(0)
	if length >= 0 {
		// One byte beyond the length allows the end to be read without growing the buffer.
		announced = min(length, limit) + 1
		initial = min(announced, maxAnnouncedBuffer)
	}
	data := make([]byte, 0, initial)
	for {
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case int64(len(data)) > limit:
			return nil, errBodyTooLarge
		case err == io.EOF:
			return data, nil
		case err != nil:
			return data, err
		}
		if len(data) == cap(data) {
			grown := make([]byte, len(data), max(announced, 2*int64(cap(data))))
			copy(grown, data)
			data = grown
		}
	}
}
