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
	leaveTime = 2 * time.Second
	// goodPiece is what a legal slow client sends in a quarter of a second. Who sends less in twice that is one of those that make room.
	goodPiece = 16 << 10
)

// bodyReader reads the body of one request from its client, in whatever form it comes. While it is read on another goroutine (see call.Upload) the connection's
// own must not read: stop ends that.
type bodyReader struct {
	c       *conn
	left    int64            // of a body of known length
	chunks  *h1.ChunkDecoder // or how far its chunks are; nil: the length is known
	room    int64            // bytes that chunks may bring yet; below 0: no bound
	stopped atomic.Bool

	mu   sync.Mutex // over reading
	have []byte     // was read from the connection and is not taken yet
	buf  []byte     // that have is a part of; nil: none is needed now
	done bool       // the last byte was taken
	err  error      // why it ends before that
}

var (
	errStopped  = errors.New("the request has its answer")
	errLongBody = &h1.Error{Status: http.StatusRequestEntityTooLarge, Reason: "the body is too long"}
)

// newBodyReader reads on from what came with the head.
func (c *conn) newBodyReader(h *h1.Head) *bodyReader {
	b := &bodyReader{c: c, left: h.Length, room: -1}
	if h.Chunked {
		b.chunks = new(h1.ChunkDecoder)
		if most := c.front.limits().BodyBytes; most > 0 {
			b.room = most
		}
	}
	if n := c.end - c.start; n > 0 {
		b.buf = make([]byte, max(n, scratchSize))
		b.have = b.buf[:copy(b.buf, c.s.in[c.start:c.end])]
		c.start = c.end
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
		if n, b.err = b.take(p); n > 0 || b.err != nil {
			if b.done && n > 0 {
				return n, io.EOF
			}
			return n, b.err
		}
		if b.done || len(p) == 0 {
			continue
		}
		if timed {
			if b.chunks != nil && len(b.buf) < stream.WindowSize/2 { // more is to come than what is held
				b.buf = make([]byte, stream.WindowSize/2)
			}
			_ = b.c.net.SetReadDeadline(time.Now().Add(stream.StallTimeout))
			if b.stopped.Load() { // its own deadline came first
				return 0, errStopped
			}
		}
		if b.chunks == nil { // straight into p: that is never more than the body's own
			n, err = b.c.read(p[:min(int64(len(p)), b.left)])
			if b.left -= int64(n); b.left == 0 {
				b.done = true
				return n, io.EOF
			}
			if n > 0 {
				return n, nil
			}
			b.fail(err)
			continue
		}
		if b.buf == nil {
			b.buf = make([]byte, scratchSize)
		}
		n, err = b.c.read(b.buf)
		if b.have = b.buf[:n]; n == 0 {
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
func (b *bodyReader) take(p []byte) (int, error) {
	if b.chunks == nil {
		n := copy(p[:min(int64(len(p)), b.left)], b.have)
		b.have = b.have[n:]
		b.left -= int64(n)
		b.done = b.left == 0
		return n, nil
	}
	n := 0
	for n < len(p) && len(b.have) > 0 && !b.done {
		window := b.have
		if len(window) > len(p)-n { // never more than there is room for
			window = window[:len(p)-n]
		}
		used, data, err := b.chunks.Next(window)
		n += copy(p[n:], data)
		b.have = b.have[used:]
		b.done = b.chunks.Done()
		if err != nil {
			return n, err
		}
		if b.room >= 0 {
			if b.room -= int64(len(data)); b.room < 0 {
				return 0, errLongBody
			}
		}
	}
	return n, nil
}

// prefix reads as much as is held whole, within bodyTime. whole says that this is all of it.
func (b *bodyReader) prefix() (body []byte, whole bool, err error) {
	body = make([]byte, 0, 2*scratchSize)
	moved := 0
	for len(body) < call.MaxBufferedBody {
		if len(body) == cap(body) { // no more memory than twice what has come, whatever the head tells
			grown := make([]byte, len(body), min(call.MaxBufferedBody, 2*cap(body)))
			copy(grown, body)
			body = grown
		}
		n, err := b.read(body[len(body):cap(body)], false)
		if body = body[:len(body)+n]; len(body)-moved >= goodPiece {
			moved = len(body)
			b.c.a.moves(b.c)
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
func (b *bodyReader) stop() (whole bool) {
	b.stopped.Store(true)
	_ = b.c.net.SetReadDeadline(time.Unix(1, 0))
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.done
}

// giveBack has the connection read on behind the body, whose last byte was taken.
func (b *bodyReader) giveBack() {
	c := b.c
	_ = c.net.SetReadDeadline(time.Time{})
	if len(b.have) > len(c.s.in) {
		c.s.in = make([]byte, len(b.have))
	}
	c.start, c.end = 0, copy(c.s.in, b.have)
	b.have, b.buf = nil, nil
}

// over reads the rest of the body over; false: it did not come.
func (b *bodyReader) over() bool {
	p := stream.AcquireWindow()
	defer stream.ReleaseWindow(p)
	for {
		if _, err := b.read(p[:], false); err != nil {
			return errors.Is(err, io.EOF)
		}
	}
}

// fault is what a client is told whose body can't be read; nil: it left, and nobody is left to tell.
func (b *bodyReader) fault(err error) *Rejection {
	if bad := (*h1.Error)(nil); errors.As(err, &bad) {
		return &Rejection{Status: bad.Status, Reason: bad.Reason}
	}
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, os.ErrDeadlineExceeded) {
		return b.c.late(&Rejection{Status: http.StatusRequestTimeout, Reason: "the body does not end"})
	}
	return nil
}

// pass passes an answer on as it comes; false: the connection can't go on.
func (c *conn) pass(a *call.Answer, body call.Body) bool {
	defer body.Close()
	head := h1.Response{Status: cmp.Or(a.Status, http.StatusOK), Header: a.Header, Length: body.Length()}
	counts := c.counts
	c.counts = nil // the head alone is no outcome
	if !c.answer(&head, nil) {
		return false
	}
	ended, joined := make(chan struct{}), make(chan struct{})
	defer func() {
		close(ended)
		<-joined // until then what is read ahead is the other goroutine's
	}()
	go func() {
		defer close(joined)
		c.besides(body, ended)
	}()
	window := stream.AcquireWindow()
	defer stream.ReleaseWindow(window)
	chunked := head.Length < 0
	for {
		n, err := body.Read(window[h1.ChunkPrefixBytes : stream.WindowSize-h1.ChunkSuffixBytes])
		if n > 0 {
			piece := window[h1.ChunkPrefixBytes : h1.ChunkPrefixBytes+n]
			if chunked {
				piece = h1.FrameChunk(window[:], n)
			}
			if stream.Write(c.net, piece) != nil {
				return false
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil { // its client sees that by the missing end
			counts.Handled(outcome(http.StatusBadGateway))
			return false
		}
	}
	if chunked && stream.Write(c.net, []byte(h1.LastChunk)) != nil || c.net.SetWriteDeadline(time.Time{}) != nil {
		return false
	}
	counts.Handled(outcome(http.StatusOK))
	return true
}

// besides looks to a connection while an answer is passed on: a client that leaves must not keep its server's connection, and what it sends is read ahead.
func (c *conn) besides(body call.Body, ended <-chan struct{}) {
	defer func() {
		if r := recover(); r != nil { // as in serve
			c.front.panicked(r)
			body.Close()
		}
	}()
	for hung := c.hung; ; {
		select {
		case <-hung:
			if c.left() {
				body.Close()
				return
			}
			hung = nil
		case <-c.more:
			if c.unread = true; c.readAhead() {
				hung = c.hung
			}
		case <-ended:
			return
		}
	}
}
