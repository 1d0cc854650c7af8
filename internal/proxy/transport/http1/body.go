package http1

import (
	"bufio"
	"errors"
	"io"
	"math"
	"net/http"
	"sync"
	"syscall"
	"time"

	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/h1"
	"caperarch/internal/proxy/stream"
	"caperarch/policy"
)

const (
	answerLimit = 512 << 10 // bytes of an answer's head, and of a whole answer on the wire, framing included
	interimMost = 8         // 1xx answers that are read over before the one that counts

	// holdBody is how long an answer of unknown length is held, in the hope that it is short and comes whole: then it can still be given up for another attempt.
	holdBody = 100 * time.Millisecond
)

var (
	errTooLong = errors.New("the body is too long")
	errClaimed = errors.New("the rest of the body went to another attempt")
	errSource  = errors.New("the body's rest did not come")
)

// upload writes a request whose body is passed on as it comes, of which head is what is here already. early says that the server answers before it has the whole
// body. An error says that the last byte did not go out: it never ran.
func (c *conn) upload(head []byte, m *call.Message) (early bool, err error) {
	if m.Upload.Claimed() {
		return false, errClaimed
	}
	if _, err := c.Write(head); err != nil { // it can still be sent again
		return false, err
	}
	if !m.Upload.Claim() {
		return false, errClaimed
	}
	chunked := m.Upload.Length < 0
	window := stream.AcquireWindow()
	defer stream.ReleaseWindow(window)
	for {
		n, source := m.Upload.Read(window[h1.ChunkPrefixBytes : stream.WindowSize-h1.ChunkSuffixBytes])
		if c.spoken() {
			return true, nil
		}
		if n > 0 {
			piece := window[h1.ChunkPrefixBytes : h1.ChunkPrefixBytes+n]
			if chunked {
				piece = h1.FrameChunk(window[:], n)
			}
			if err := stream.Write(c, piece); err != nil {
				if c.spoken() { // it closed behind an answer
					return true, nil
				}
				return false, err
			}
		}
		if errors.Is(source, io.EOF) {
			break
		}
		if source != nil {
			return false, errors.Join(errSource, source)
		}
	}
	if chunked {
		return false, stream.Write(c, []byte(h1.LastChunk))
	}
	return false, nil
}

// spoken says whether bytes are here that were not read yet.
func (c *conn) spoken() bool {
	if c.raw == nil {
		return false
	}
	n := 0
	err := c.raw.Control(func(fd uintptr) { n, _ = stream.Peek(fd) })
	return err == nil && n > 0
}

// answer reads one answer: whole, or with a *passed for its Body where it is to be passed on while it comes.
func (c *conn) answer(u *Transport, m *call.Message, until time.Duration) (*http.Response, []byte, error) {
	c.limit.N = answerLimit
	req := &http.Request{Method: m.Method} // tells whether the answer has a body
	for range interimMost {
		res, err := http.ReadResponse(c.r, req)
		if err != nil {
			return nil, nil, err
		}
		if res.StatusCode/100 == 1 {
			continue
		}
		pass := m.Stream && res.StatusCode == http.StatusOK
		framed := res.ContentLength >= 0 || len(res.TransferEncoding) > 0
		if u.dialect != nil && m.Header != nil { // else it is a probe
			if !u.dialect.MatchesRequest(m, res) { // it belongs to no request, or to one before
				if _, err := io.Copy(io.Discard, res.Body); err != nil {
					return nil, nil, err
				}
				continue
			}
			ending, _ := u.dialect.Classify(res)
			// One without a length or chunks ends with its connection: a cut one would be passed on as if it were whole.
			pass = m.Stream && ending == policy.Served && framed
		}
		switch {
		case res.ContentLength > call.MaxBufferedBody && !pass:
			if res.StatusCode != http.StatusOK { // what it says is enough
				res.Close = true
				return res, nil, nil
			}
			return nil, nil, errTooLong // known before any of it is read
		case res.ContentLength > call.MaxBufferedBody:
			return c.pass(u, res, nil, until), nil, nil
		case res.ContentLength >= 0:
			body := make([]byte, res.ContentLength)
			_, err := io.ReadFull(res.Body, body)
			return res, body, err
		case pass:
			return c.unknown(u, res, until)
		case len(res.TransferEncoding) == 0:
			// It ends with the connection: nothing tells a whole one from a cut one.
			return nil, nil, errors.New("the answer has neither a length nor chunks")
		}
		body, err := io.ReadAll(io.LimitReader(res.Body, call.MaxBufferedBody+1))
		if err == nil && len(body) > call.MaxBufferedBody {
			err = errTooLong
		}
		return res, body, err
	}
	return nil, nil, errors.New("too many interim answers")
}

// unknown reads an answer that does not tell its length: as a whole one where it comes within holdBody and is short, else as one that is passed on.
func (c *conn) unknown(u *Transport, res *http.Response, until time.Duration) (*http.Response, []byte, error) {
	c.limit.N = math.MaxInt64 // its end would pass for the answer's
	frames := &chunks{r: c.r}
	if len(res.TransferEncoding) > 0 {
		res.Body = io.NopCloser(frames)
	}
	hold := min(until, u.clock.Now()+holdBody)
	body := make([]byte, 0, 4<<10)
	for len(body) < call.MaxBufferedBody {
		if u.clock.Now() >= hold || c.r.Buffered() == 0 && !c.speaks(u, hold, until) {
			break
		}
		if len(body) == cap(body) {
			grown := make([]byte, len(body), 2*cap(body))
			copy(grown, body)
			body = grown
		}
		n, err := res.Body.Read(body[len(body):min(cap(body), call.MaxBufferedBody)])
		body = body[:len(body)+n]
		if errors.Is(err, errMore) {
			continue
		}
		if errors.Is(err, io.EOF) {
			return res, body, nil
		}
		if err != nil {
			return res, nil, err
		}
	}
	frames.waits = true
	return c.pass(u, res, body, until), nil, nil
}

// chunks reads a body in chunks. Unlike net/http's reader it returns what is here, and never waits to fill a buffer: what it held back meanwhile would be held back
// from the client.
type chunks struct {
	r     *bufio.Reader
	state h1.ChunkDecoder
	waits bool // for more where nothing of the body is here
}

// errMore is why a Read that does not wait has nothing: only a part of a chunk's frame was here.
var errMore = errors.New("more has to come")

func (c *chunks) Read(p []byte) (int, error) {
	for {
		if c.state.Done() {
			return 0, io.EOF
		}
		if _, err := c.r.Peek(1); err != nil { // waits only where nothing at all is here
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return 0, err
		}
		here, _ := c.r.Peek(min(c.r.Buffered(), len(p)))
		used, data, err := c.state.Next(here)
		n := copy(p, data)
		_, _ = c.r.Discard(used)
		switch {
		case err != nil:
			return n, err
		case n > 0:
			return n, nil
		case !c.waits && c.r.Buffered() == 0 && !c.state.Done():
			return 0, errMore
		}
	}
}

// speaks waits until there is something to read, the end included, and for a time at most.
func (c *conn) speaks(u *Transport, hold, until time.Duration) bool {
	_ = c.SetReadDeadline(u.clock.At(hold))
	if c.raw == nil {
		_, err := c.r.Peek(1)
		_ = c.SetReadDeadline(u.clock.At(until))
		return err == nil
	}
	err := c.raw.Read(func(fd uintptr) bool {
		_, err := stream.Peek(fd)
		return !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
	})
	_ = c.SetReadDeadline(u.clock.At(until))
	return err == nil
}

// pass makes an answer one that is passed on, with what was read of it already. In a dialect, its request's time is all that ends it: a server's silence within that is no reason to.
func (c *conn) pass(u *Transport, res *http.Response, begun []byte, until time.Duration) *http.Response {
	c.limit.N = math.MaxInt64
	p := &passed{c: c, res: res, body: res.Body, begun: begun, ended: make(chan policy.Ending, 1)}
	if u.dialect != nil {
		p.until = u.clock.At(until)
	}
	res.Body = streamed{p}
	return res
}

// streamed has a stream stand for a response's body, which closes in another form.
type streamed struct{ *passed }

func (s streamed) Close() error {
	s.passed.Close()
	return nil
}

// streamOf is the stream of an answer that is passed on, or nil.
func streamOf(res *http.Response) *passed {
	if s, ok := res.Body.(streamed); ok {
		return s.passed
	}
	return nil
}

// passed is a call.Body over the connection that it comes on, which is its own until its end.
type passed struct {
	c     *conn
	res   *http.Response
	body  io.Reader
	begun []byte    // was read before
	until time.Time // that its request may take
	once  sync.Once
	ended chan policy.Ending
}

// Length is the body's in bytes; -1: unknown.
func (s *passed) Length() int64 { return s.res.ContentLength }

// patience is when the next piece has to be here: within stream.StandTime, or as long as its request may take.
func (s *passed) patience() time.Time {
	soon := time.Now().Add(stream.StallTimeout)
	if s.until.After(soon) {
		return s.until
	}
	return soon
}

// Read reads on, as long as there is patience for the next piece.
func (s *passed) Read(p []byte) (int, error) {
	if len(s.begun) > 0 {
		n := copy(p, s.begun)
		s.begun = s.begun[n:]
		return n, nil
	}
	if err := s.c.SetReadDeadline(s.patience()); err != nil {
		s.end(policy.ConnectionLost)
		return 0, err
	}
	n, err := s.body.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		s.end(policy.Served)
	case err != nil:
		s.end(policy.ConnectionLost)
	}
	return n, err
}

// Close gives the answer up; behind its end it changes nothing.
func (s *passed) Close() { s.end(policy.Cancelled) }

// end is the one place where a stream's end is told: the first word counts.
func (s *passed) end(how policy.Ending) {
	s.once.Do(func() {
		if how != policy.Served {
			s.c.Conn.Close() // whoever reads is woken
		}
		s.ended <- how
	})
}

// follow waits for the end of an answer that is passed on.
func (u *Transport) follow(x *exchange, to *host, s *passed) {
	if ending := <-s.ended; ending == policy.Served && !s.res.Close && s.c.r.Buffered() == 0 && x.begin(nil) {
		u.keepIdle(to, s.c)
	} else {
		u.discard(s.c)
	}
}
