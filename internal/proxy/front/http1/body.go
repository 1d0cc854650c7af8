package http1

import (
	"cmp"
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

const (
	// leaveTime is how long the rest of a body is read over whose request has its answer: its client may look for that only once it has sent all.
	earlyResponseLinger = 2 * time.Second
	// goodPiece is what a legal slow client sends in a quarter of a second. Who sends less in twice that is one of those that make room.
	progressBytes = 16 << 10
)

// bodyReader reads the body of one request from its client, in whatever form it comes. While it is read on another goroutine (see call.Upload) the connection's
// own must not read: stop ends that.
type bodyReader struct {
	conn        *conn
	remaining   int64            // of a body of known length
	decoder     *h1.ChunkDecoder // or how far its chunks are; nil: the length is known
	chunkBudget int64            // bytes that chunks may bring yet; below 0: no bound
	stopped     atomic.Bool

	mu       sync.Mutex // over reading
	buffered []byte     // was read from the connection and is not taken yet
	buffer   []byte     // that have is a part of; nil: none is needed now
	done     bool       // the last byte was taken
	err      error      // why it ends before that
}

var (
	errStopped     = errors.New("the request has its answer")
	errBodyTooLong = &h1.Error{Status: http.StatusRequestEntityTooLarge, Reason: "the body is too long"}
)

// newBodyReader reads on from what came with the head.
func (c *conn) newBodyReader(h *h1.Head) *bodyReader {
	b := &bodyReader{conn: c, remaining: h.Length, chunkBudget: -1}
	if h.Chunked {
		b.decoder = new(h1.ChunkDecoder)
		if most := c.front.requestLimits().BodyBytes; most > 0 {
			b.chunkBudget = most
		}
	}
	if n := c.unreadEnd - c.unreadStart; n > 0 {
		b.buffer = make([]byte, max(n, bufferSize))
		b.buffered = b.buffer[:copy(b.buffer, c.buffers.in[c.unreadStart:c.unreadEnd])]
		c.unreadStart = c.unreadEnd
	}
	return b
}

// Read reads on, and waits for stream.StandTime at most for the next piece.
func (b *bodyReader) Read(p []byte) (int, error) { return b.read(p, true) }

func (b *bodyReader) read(p []byte, timed bool) (n int, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		switch {
		case b.done:
			return 0, io.EOF
		case b.err != nil:
			return 0, b.err
		case b.stopped.Load():
			return 0, errStopped
		}
		if n, b.err = b.consume(p); n > 0 || b.err != nil {
			if b.done && n > 0 {
				return n, io.EOF
			}
			return n, b.err
		}
		if b.done || len(p) == 0 {
			continue
		}
		if timed {
			if b.decoder != nil && len(b.buffer) < stream.WindowSize/2 { // more is to come than what is held
				b.buffer = make([]byte, stream.WindowSize/2)
			}
			_ = b.conn.netConn.SetReadDeadline(time.Now().Add(stream.StandTime))
			if b.stopped.Load() { // its own deadline came first
				return 0, errStopped
			}
		}
		if b.decoder == nil { // straight into p: that is never more than the body's own
			n, err = b.conn.read(p[:min(int64(len(p)), b.remaining)])
			if b.remaining -= int64(n); b.remaining == 0 {
				b.done = true
				return n, io.EOF
			}
			if n > 0 {
				return n, nil
			}
			b.fail(err)
			continue
		}
		if b.buffer == nil {
			b.buffer = make([]byte, bufferSize)
		}
		n, err = b.conn.read(b.buffer)
		if b.buffered = b.buffer[:n]; n == 0 {
			b.fail(err)
		}
	}
}

// fail takes why nothing more comes.
func (b *bodyReader) fail(err error) {
	if b.err = err; errors.Is(err, io.EOF) || err == nil {
		b.err = io.ErrUnexpectedEOF
	}
}

// take takes what is here of the body.
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
		if len(window) > len(p)-n { // never more than there is room for
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

// prefix reads as much as is held whole, within bodyTime. whole says that this is all of it.
func (b *bodyReader) readPrefix() (body []byte, complete bool, err error) {
	body = make([]byte, 0, 2*bufferSize)
	reported := 0
	for len(body) < call.BodyLimit {
		if len(body) == cap(body) { // no more memory than twice what has come, whatever the head tells
			grown := make([]byte, len(body), min(call.MaxBufferedBody, 2*cap(body)))
			copy(grown, body)
			body = grown
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

// stop ends reading on other goroutines and says whether the whole body was read by then. It returns once nobody reads.
func (b *bodyReader) stop() (complete bool) {
	b.stopped.Store(true)
	_ = b.conn.netConn.SetReadDeadline(time.Unix(1, 0))
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.done
}

// giveBack has the connection read on behind the body, whose last byte was taken.
func (b *bodyReader) returnUnread() {
	c := b.conn
	_ = c.netConn.SetReadDeadline(time.Time{})
	if len(b.buffered) > len(c.buffers.in) {
		c.buffers.in = make([]byte, len(b.buffered))
	}
	c.unreadStart, c.unreadEnd = 0, copy(c.buffers.in, b.buffered)
	b.buffered, b.buffer = nil, nil
}

// over reads the rest of the body over; false: it did not come.
func (b *bodyReader) discardRest() bool {
	p := stream.Take()
	defer stream.Give(p)
	for {
		if _, err := b.read(p[:], false); err != nil {
			return errors.Is(err, io.EOF)
		}
	}
}

// fault is what a client is told whose body can't be read; nil: it left, and nobody is left to tell.
func (b *bodyReader) rejectionFor(err error) *Rejection {
	if malformed := (*h1.Error)(nil); errors.As(err, &malformed) {
		return &Rejection{Status: malformed.Status, Reason: malformed.Reason}
	}
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, os.ErrDeadlineExceeded) {
		return b.conn.timeoutRejection(&Rejection{Status: http.StatusRequestTimeout, Reason: "the body does not end"})
	}
	return nil
}

// pass passes an answer on as it comes; false: the connection can't go on.
func (c *conn) streamResponse(reply *call.Answer, body call.Body) bool {
	defer body.Close()
	response := h1.Response{Status: cmp.Or(reply.Status, http.StatusOK), Header: reply.Header, Length: body.Length()}
	classMetrics := c.metrics
	c.metrics = nil // the head alone is no outcome
	if !c.writeResponse(&response, nil) {
		return false
	}
	finished, joined := make(chan struct{}), make(chan struct{})
	defer func() {
		close(finished)
		<-joined // until then what is read ahead is the other goroutine's
	}()
	go func() {
		defer close(joined)
		c.watchClient(body, finished)
	}()
	window := stream.Take()
	defer stream.Give(window)
	chunked := response.Length < 0
	for {
		n, err := body.Read(window[h1.ChunkPrefixBytes : stream.WindowSize-h1.ChunkSuffixBytes])
		if n > 0 {
			chunk := window[h1.ChunkPrefixBytes : h1.ChunkPrefixBytes+n]
			if chunked {
				chunk = h1.FrameChunk(window[:], n)
			}
			if stream.Write(c.netConn, chunk) != nil {
				return false
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil { // its client sees that by the missing end
			classMetrics.Handled(outcomeOf(http.StatusBadGateway))
			return false
		}
	}
	if chunked && stream.Write(c.netConn, []byte(h1.LastChunk)) != nil || c.netConn.SetWriteDeadline(time.Time{}) != nil {
		return false
	}
	classMetrics.Handled(outcomeOf(http.StatusOK))
	return true
}

// besides looks to a connection while an answer is passed on: a client that leaves must not keep its server's connection, and what it sends is read ahead.
func (c *conn) watchClient(body call.Body, finished <-chan struct{}) {
	defer func() {
		if r := recover(); r != nil { // as in serve
			c.front.logPanic(r)
			body.Close()
		}
	}()
	for hangup := c.hangup; ; {
		select {
		case <-hangup:
			if c.clientGone() {
				body.Close()
				return
			}
			hangup = nil
		case <-c.dataArrived:
			if c.mayHaveUnread = true; c.readPipelined() {
				hangup = c.hangup
			}
		case <-finished:
			return
		}
	}
}
