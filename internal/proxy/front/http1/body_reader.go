package http1

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/h1"
	"caperarch/internal/proxy/stream"
)

// progressBytes is what a slow client that keeps to the rules sends in a quarter of a second. A connection on which
// less comes in twice that is one of those that make room.
const progressBytes = 16 << 10

// bodyReader reads the body of one request from its client, in whatever form it comes. While it is read on another
// goroutine (see call.Upload) the connection's own must not read: stop ends that.
type bodyReader struct {
	conn        *conn
	remaining   int64            // bytes of a body of known length that are still to come
	decoder     *h1.ChunkDecoder // nil: the length is known
	chunkBudget int64            // bytes that chunks may still bring; below 0: no limit
	stopped     atomic.Bool

	mu       sync.Mutex // held while reading; guards the fields below
	buffered []byte     // was read from the connection and not consumed yet
	buffer   []byte     // that buffered is a part of; nil: none is needed now
	done     bool       // the last byte was consumed
	err      error      // why the body ended before that
}

var (
	errStopped     = errors.New("the request has its answer")
	errBodyTooLong = &h1.Error{Status: http.StatusRequestEntityTooLarge, Reason: "the body is too long"}
)

// newBodyReader makes a reader that goes on from what came with the head.
func (c *conn) newBodyReader(h *h1.Head) *bodyReader {
	b := &bodyReader{conn: c, remaining: h.Length, chunkBudget: -1}
	if h.Chunked {
		b.decoder = new(h1.ChunkDecoder)
		if limit := c.front.requestLimits().BodyBytes; limit > 0 {
			b.chunkBudget = limit
		}
	}
	if n := c.unreadEnd - c.unreadStart; n > 0 {
		b.buffer = make([]byte, max(n, bufferSize))
		b.buffered = b.buffer[:copy(b.buffer, c.buffers.in[c.unreadStart:c.unreadEnd])]
		c.unreadStart = c.unreadEnd
	}
	return b
}

// Read reads the next bytes of the body, and waits for stream.StallTimeout at most.
func (b *bodyReader) Read(p []byte) (int, error) { return b.read(p, true) }

// read reads the next bytes of the body. If stallTimeout is set it waits for stream.StallTimeout at most, otherwise
// until the deadline that the connection has.
func (b *bodyReader) read(p []byte, stallTimeout bool) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		if err := b.ended(); err != nil {
			return 0, err
		}
		n, err := b.consume(p)
		b.err = err
		if n > 0 || err != nil {
			if b.done && n > 0 {
				return n, io.EOF
			}
			return n, err
		}
		if b.done || len(p) == 0 {
			continue
		}
		if stallTimeout && !b.setStallTimeout() {
			return 0, errStopped
		}
		if b.decoder == nil {
			if n, err := b.readDirectly(p); n > 0 {
				return n, err
			}
			continue
		}
		b.fillBuffer()
	}
}

// ended is why nothing more can be read, or nil.
func (b *bodyReader) ended() error {
	switch {
	case b.done:
		return io.EOF
	case b.err != nil:
		return b.err
	case b.stopped.Load():
		return errStopped
	}
	return nil
}

// setStallTimeout sets the deadline for the next bytes. It returns false if the reader was stopped.
func (b *bodyReader) setStallTimeout() bool {
	if b.decoder != nil && len(b.buffer) < stream.WindowSize/2 { // more is to come than what is buffered
		b.buffer = make([]byte, stream.WindowSize/2)
	}
	_ = b.conn.netConn.SetReadDeadline(time.Now().Add(stream.StallTimeout))
	return !b.stopped.Load() // or this deadline may have replaced the one that stop has set
}

// readDirectly reads from the connection into p, never more than the body's own bytes. It returns io.EOF with the last
// ones.
func (b *bodyReader) readDirectly(p []byte) (int, error) {
	n, err := b.conn.read(p[:min(int64(len(p)), b.remaining)])
	if b.remaining -= int64(n); b.remaining == 0 {
		b.done = true
		return n, io.EOF
	}
	if n == 0 {
		b.fail(err)
	}
	return n, nil
}

// fillBuffer reads more bytes of chunks from the connection.
func (b *bodyReader) fillBuffer() {
	if b.buffer == nil {
		b.buffer = make([]byte, bufferSize)
	}
	n, err := b.conn.read(b.buffer)
	if b.buffered = b.buffer[:n]; n == 0 {
		b.fail(err)
	}
}

// fail records why no more bytes come.
func (b *bodyReader) fail(err error) {
	if b.err = err; errors.Is(err, io.EOF) || err == nil {
		b.err = io.ErrUnexpectedEOF
	}
}

// consume copies what is buffered of the body.
func (b *bodyReader) consume(p []byte) (int, error) {
	if b.decoder == nil {
		n := copy(p[:min(int64(len(p)), b.remaining)], b.buffered)
		b.buffered = b.buffered[n:]
		b.remaining -= int64(n)
		b.done = b.remaining == 0
		return n, nil
	}
	n := 0
	for n < len(p) && len(b.buffered) > 0 && !b.done {
		window := b.buffered
		if len(window) > len(p)-n { // never more than p has space for
			window = window[:len(p)-n]
		}
		used, data, err := b.decoder.Next(window)
		n += copy(p[n:], data)
		b.buffered = b.buffered[used:]
		b.done = b.decoder.Done()
		if err != nil {
			return n, err
		}
		if b.chunkBudget >= 0 {
			if b.chunkBudget -= int64(len(data)); b.chunkBudget < 0 {
				return 0, errBodyTooLong
			}
		}
	}
	return n, nil
}

// readPrefix reads up to call.MaxBufferedBody bytes within the connection's deadline, and returns whether they are the
// complete body.
func (b *bodyReader) readPrefix() (body []byte, complete bool, err error) {
	body = make([]byte, 0, 2*bufferSize)
	reported := 0
	for len(body) < call.MaxBufferedBody {
		if len(body) == cap(body) {
			body = growBody(body, call.MaxBufferedBody)
		}
		n, err := b.read(body[len(body):cap(body)], false)
		if body = body[:len(body)+n]; len(body)-reported >= progressBytes {
			reported = len(body)
			b.conn.acceptor.markProgress(b.conn)
		}
		if errors.Is(err, io.EOF) {
			return body, true, nil
		}
		if err != nil {
			return body, false, err
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return body, b.done, nil
}

// stop ends reading on other goroutines and returns, once nobody reads, whether the complete body was read by then.
func (b *bodyReader) stop() (complete bool) {
	b.stopped.Store(true)
	_ = b.conn.netConn.SetReadDeadline(time.Unix(1, 0))
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.done
}

// returnUnread gives what was read beyond the body's last byte back to the connection.
func (b *bodyReader) returnUnread() {
	c := b.conn
	_ = c.netConn.SetReadDeadline(time.Time{})
	if len(b.buffered) > len(c.buffers.in) {
		c.buffers.in = make([]byte, len(b.buffered))
	}
	c.unreadStart, c.unreadEnd = 0, copy(c.buffers.in, b.buffered)
	b.buffered, b.buffer = nil, nil
}

// discardRest reads and discards the rest of the body. It returns false if the rest did not come.
func (b *bodyReader) discardRest() bool {
	p := stream.AcquireWindow()
	defer stream.ReleaseWindow(p)
	for {
		if _, err := b.read(p[:], false); err != nil {
			return errors.Is(err, io.EOF)
		}
	}
}

// rejectionFor is the rejection of a request whose body can't be read; nil: its client left, and there is nobody to
// respond to.
func (b *bodyReader) rejectionFor(err error) *Rejection {
	if malformed := (*h1.Error)(nil); errors.As(err, &malformed) {
		return &Rejection{Status: malformed.Status, Reason: malformed.Reason}
	}
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, os.ErrDeadlineExceeded) {
		return b.conn.timeoutRejection(&Rejection{Status: http.StatusRequestTimeout, Reason: "the body does not end"})
	}
	return nil
}
