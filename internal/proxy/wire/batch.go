package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"
)

const (
	batchHeaderLen = 20
	// maxFrame bounds the size that a frame may claim. Real batches have megabytes; a larger claim means a
	// broken stream.
	maxFrame = 1 << 28
	// chunkSize is how much of a claimed size is allocated before its bytes have arrived.
	chunkSize = 1 << 20
)

// Batch is one frame of events.
type Batch struct {
	Number  uint32
	Records uint32
	Clock   time.Duration
	Body    []byte // valid until the next ReadBatch
}

// Reader reads batches from a stream.
type Reader struct {
	r    io.Reader
	head [batchHeaderLen]byte
	buf  []byte
}

// NewReader returns a Reader of r, which should be buffered.
func NewReader(r io.Reader) *Reader { return &Reader{r: r} }

// ReadBatch reads the next frame. It returns io.EOF at a clean end of input.
func (r *Reader) ReadBatch() (Batch, error) {
	if _, err := io.ReadFull(r.r, r.head[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return Batch{}, io.EOF
		}
		return Batch{}, fmt.Errorf("read batch header: %w", err)
	}
	le := binary.LittleEndian
	b := Batch{Number: le.Uint32(r.head[0:]), Records: le.Uint32(r.head[4:])}
	size := le.Uint32(r.head[8:])
	clock := math.Float64frombits(le.Uint64(r.head[12:]))
	if math.IsNaN(clock) || math.IsInf(clock, 0) {
		return Batch{}, fmt.Errorf("batch %d: clock is not a number", b.Number)
	}
	b.Clock = Millis(clock)
	if size > maxFrame {
		return Batch{}, fmt.Errorf("batch %d: %d bytes claimed, at most %d are taken", b.Number, size, maxFrame)
	}
	if uint64(b.Records)*recordHeadLen > uint64(size) {
		return Batch{}, fmt.Errorf("batch %d: %d records cannot fit into %d bytes", b.Number, b.Records, size)
	}
	var err error
	if b.Body, err = r.readBody(int(size)); err != nil {
		return Batch{}, fmt.Errorf("batch %d: read body: %w", b.Number, err)
	}
	return b, nil
}

// readBody reads a body of this size into the buffer. The buffer grows with the bytes that really arrive, so
// that a wrong length in a short stream makes no large allocation.
func (r *Reader) readBody(size int) ([]byte, error) {
	r.buf = r.buf[:0]
	for remaining := size; remaining > 0; {
		n := min(remaining, max(chunkSize, cap(r.buf)-len(r.buf)))
		at := len(r.buf)
		if cap(r.buf)-at < n {
			r.buf = append(r.buf, make([]byte, n)...)
		} else {
			r.buf = r.buf[:at+n]
		}
		if _, err := io.ReadFull(r.r, r.buf[at:at+n]); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		remaining -= n
	}
	return r.buf, nil
}
