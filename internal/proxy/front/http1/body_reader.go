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

// progressBytes is the number of received bytes after which a request counts as progressing. An acceptably slow
// client sends this much in 250 ms. A connection that receives less than this within minIdleOverLimit[stateReading]
// (500 ms) may be closed when too many requests are being read.
const progressBytes = 16 << 10

// bodyReader reads the body of one request from its client, in either framing: Content-Length or chunked. While
// another goroutine reads the body (see call.Upload), the connection's own goroutine must not read from the
// connection; stop ends the other goroutine's reads.
type bodyReader struct {
	conn        *conn
	remaining   int64            // bytes still to be received of a body with Content-Length
	decoder     *h1.ChunkDecoder // nil: the body has a Content-Length
	chunkBudget int64            // bytes that the chunked body may still have; negative: no limit
	stopped     atomic.Bool

	mu       sync.Mutex // held during a read; guards the fields below
	buffered []byte     // read from the connection but not consumed yet
	buffer   []byte     // backing array of buffered; nil: not allocated
	done     bool       // the last byte of the body was consumed
	err      error      // why the body ended early
}

var (
	errStopped     = errors.New("request body read stopped: the reply was received before the end of the body")
	errBodyTooLong = &h1.Error{Status: http.StatusRequestEntityTooLarge, Reason: "the body is too long"}
)

// newBodyReader returns a reader of the body that follows a head. It takes over the bytes of the body that were read
// together with the head.
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

// Read reads the next bytes of the body. It waits at most stream.StallTimeout for them.
func (b *bodyReader) Read(p []byte) (int, error) { return b.read(p, true) }

// read reads the next bytes of the body. With stallTimeout it waits at most stream.StallTimeout for them, otherwise
// until the read deadline that is set on the connection.
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

// ended returns the reason why no more bytes can be read, or nil.
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

// setStallTimeout sets the read deadline for the next bytes. It returns false if the reader was stopped.
func (b *bodyReader) setStallTimeout() bool {
	if b.decoder != nil && len(b.buffer) < stream.WindowSize/2 { // a long chunked body: use fewer, larger reads
		b.buffer = make([]byte, stream.WindowSize/2)
	}
	_ = b.conn.netConn.SetReadDeadline(time.Now().Add(stream.StallTimeout))
	return !b.stopped.Load() // the deadline set here may have replaced the expired deadline set by stop
}

// readDirectly reads bytes of a body with Content-Length from the connection into p, and never reads past the end of
// the body. It returns io.EOF together with the last bytes.
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

// fillBuffer reads more bytes of a chunked body from the connection into the buffer.
func (b *bodyReader) fillBuffer() {
	if b.buffer == nil {
		b.buffer = make([]byte, bufferSize)
	}
	n, err := b.conn.read(b.buffer)
	if b.buffered = b.buffer[:n]; n == 0 {
		b.fail(err)
	}
}

// fail records the error that ended the body early. The end of the stream is recorded as io.ErrUnexpectedEOF.
func (b *bodyReader) fail(err error) {
	if b.err = err; errors.Is(err, io.EOF) || err == nil {
		b.err = io.ErrUnexpectedEOF
	}
}

// consume copies body bytes from the buffer to p, and decodes chunks on the way.
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
		if len(window) > len(p)-n { // decode no more than p has space for
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

// readPrefix reads up to call.MaxBufferedBody bytes of the body before the connection's read deadline, and returns
// whether these bytes are the complete body.
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

// stop ends reads on other goroutines. When it returns, no goroutine reads the body any more; complete says whether
// the body was read to its end by then.
func (b *bodyReader) stop() (complete bool) {
	b.stopped.Store(true)
	_ = b.conn.netConn.SetReadDeadline(time.Unix(1, 0))
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.done
}

// returnUnread gives the bytes that were read past the end of the body back to the connection: they are the beginning
// of the next request.
func (b *bodyReader) returnUnread() {
	c := b.conn
	_ = c.netConn.SetReadDeadline(time.Time{})
	if len(b.buffered) > len(c.buffers.in) {
		c.buffers.in = make([]byte, len(b.buffered))
	}
	c.unreadStart, c.unreadEnd = 0, copy(c.buffers.in, b.buffered)
	b.buffered, b.buffer = nil, nil
}

// discardRest reads the rest of the body and discards it. It returns false if the body ended early.
func (b *bodyReader) discardRest() bool {
	p := stream.AcquireWindow()
	defer stream.ReleaseWindow(p)
	for {
		if _, err := b.read(p[:], false); err != nil {
			return errors.Is(err, io.EOF)
		}
	}
}

// rejectionFor returns the rejection of a request whose body can't be read. It returns nil if the client has left,
// because there is nobody to respond to.
func (b *bodyReader) rejectionFor(err error) *Rejection {
	if malformed := (*h1.Error)(nil); errors.As(err, &malformed) {
		return &Rejection{Status: malformed.Status, Reason: malformed.Reason}
	}
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, os.ErrDeadlineExceeded) {
		return b.conn.timeoutRejection(&Rejection{Status: http.StatusRequestTimeout, Reason: "the body does not end"})
	}
	return nil
}
