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
	// maxFrame is the limit on the size in a frame's header, in bytes. Real batches have several megabytes, so a larger
	// size indicates a corrupt stream.
	maxFrame = 1 << 28
	// chunkSize is the number of bytes that are allocated before the bytes of the body have arrived.
	chunkSize = 1 << 20
)

// Batch is one frame of events.
type Batch struct {
	Number  uint32
	Records uint32        // number of records in Body
	Clock   time.Duration // simulated time
	Body    []byte        // valid until the next ReadBatch
}

// Reader reads batches from a stream.
type Reader struct {
	r      io.Reader
	header [batchHeaderLen]byte // buffer for the frame header
	buf    []byte               // buffer for the body, reused by the next ReadBatch
}

// NewReader returns a Reader that reads from r. For speed, r should be buffered.
func NewReader(r io.Reader) *Reader { return &Reader{r: r} }

// ReadBatch reads the next frame. It returns io.EOF if the input ends between frames.
func (r *Reader) ReadBatch() (Batch, error) {
	if _, err := io.ReadFull(r.r, r.header[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return Batch{}, io.EOF
		}
		return Batch{}, fmt.Errorf("read batch header: %w", err)
	}
	le := binary.LittleEndian
	b := Batch{Number: le.Uint32(r.header[0:]), Records: le.Uint32(r.header[4:])}
	size := le.Uint32(r.header[8:])
	clock := math.Float64frombits(le.Uint64(r.header[12:]))
	if math.IsNaN(clock) || math.IsInf(clock, 0) {
		return Batch{}, fmt.Errorf("batch %d: clock is NaN or infinite, want a number of milliseconds", b.Number)
	}
	b.Clock = Millis(clock)
	if size > maxFrame {
		return Batch{}, fmt.Errorf("batch %d: header has a size of %d bytes, limit is %d bytes", b.Number, size, maxFrame)
	}
	if uint64(b.Records)*recordHeaderLen > uint64(size) {
		return Batch{}, fmt.Errorf("batch %d: %d records do not fit into a body of %d bytes", b.Number, b.Records, size)
	}
	var err error
	if b.Body, err = r.readBody(int(size)); err != nil {
		return Batch{}, fmt.Errorf("batch %d: read body: %w", b.Number, err)
	}
	return b, nil
}

// readBody reads a body of the given size into the buffer. The buffer grows as bytes arrive, so that a wrong size in
// the header of a short stream does not cause a large allocation.
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
