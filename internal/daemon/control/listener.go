package control

import (
	"bytes"
	"container/list"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// Callers at once. They come out of the descriptors that neither clients nor upstreams may take.
	callersMost  = 12
	callersLeast = 3
	ofSockets    = 32 // one in so many descriptors, and as many again that make room

	silentTime = 5 * time.Second        // for a whole call
	answerTime = time.Second            // over writing an answer
	overTime   = 200 * time.Millisecond // what a caller still sends is read over for so long
	overMost   = 2 << 20                // and so many bytes of it
	roomPause  = 10 * time.Millisecond  // one that has just come is left alone for so long where there is no room
	rest       = 50 * time.Millisecond  // before the next try where the system is short of descriptors
)

// Handler carries out what operators ask for. All may be called from many goroutines.
type Handler interface {
	// Health is why this process can't serve; nil: it can.
	Health() error
	// Counters writes the figures.
	Counters(to io.Writer) error
	// Cordon takes an upstream out, Uncordon has it used again. They return once that holds.
	Cordon(id string) error
	Uncordon(id string) error
	// Peers writes what is known of the other sidecars; it is an error where sidecars know nothing of each other.
	Peers(to io.Writer) error
	// Policy carries out one of the calls on the fleet's policy.
	Policy(c Call, to io.Writer) error
	// Work carries out one of the calls on plans of work.
	Work(c Call, to io.Writer) error
}

// MaxCallers is how many callers there may be at once where the process may hold so many descriptors.
func MaxCallers(sockets int) int { return min(callersMost, max(callersLeast, sockets/ofSockets)) }

// Server answers operators on a listener. Callers are bounded in number, bytes and time; where a new one finds no room, the one goes that has said nothing whole
// for longest.
type Server struct {
	calls Handler
	most  int

	mu     sync.Mutex
	open   int
	going  int       // of these, were told to make room and are not closed yet
	silent list.List // of net.Conn with no whole call yet, the longest first
	freed  chan struct{}
}

// New makes a server for so many callers at once.
func New(calls Handler, most int) *Server {
	return &Server{calls: calls, most: max(1, most), freed: make(chan struct{}, 1)}
}

// caller is one connection.
type caller struct {
	net.Conn
	since time.Time
	goes  bool // it was told to make room; under the server's lock
}

// Serve answers callers until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		raw, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil { // short of descriptors, or a caller that has left already
			time.Sleep(rest)
			continue
		}
		c := &caller{Conn: raw, since: time.Now()}
		for !s.room(c) {
			select {
			case <-s.freed:
			case <-time.After(roomPause):
			}
		}
	}
}

// room takes a caller on, for which the longest silent one goes if need be; false: there is none that could go yet.
func (s *Server) room(c *caller) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	// Its own goroutine closes one that goes, which takes a while where the core is saturated. As many again as there are places may be on their way
	// out: with each waited for, one who called behind 200 silent ones had no answer in 5 s.
	if s.open-s.going >= s.most && s.going < s.most {
		if first := s.silent.Front(); first != nil {
			if old := first.Value.(*caller); time.Since(old.since) >= roomPause {
				old.goes = true
				s.going++
				_ = old.SetReadDeadline(time.Unix(1, 0))
				s.silent.Remove(first)
			}
		}
	}
	if s.open-s.going >= s.most {
		return false
	}
	s.open++
	place := s.silent.PushBack(c)
	go s.serve(c, place)
	return true
}

// serve reads one call and answers it.
func (s *Server) serve(c *caller, place *list.Element) {
	defer func() {
		c.Close()
		s.mu.Lock()
		s.open--
		if c.goes {
			s.going--
		}
		s.mu.Unlock()
		select {
		case s.freed <- struct{}{}:
		default:
		}
	}()
	line, whole, err := readLine(c)
	s.mu.Lock()
	s.silent.Remove(place) // a second time is harmless
	s.mu.Unlock()
	if err != nil {
		return // it left, or said nothing whole in time
	}
	_ = c.SetWriteDeadline(time.Now().Add(answerTime))
	if _, err := c.Write(s.answer(line)); err != nil {
		return
	}
	if t, ok := c.Conn.(*net.TCPConn); !whole && ok && t.CloseWrite() == nil {
		// Closed with something unread a connection is reset, and the caller finds that instead of its answer.
		_ = c.SetReadDeadline(time.Now().Add(overTime))
		_, _ = io.CopyN(io.Discard, c, overMost)
	}
}

// readLine reads one line, or as much of one as makes it too long. whole says that nothing came behind it.
func readLine(c net.Conn) (line []byte, whole bool, err error) {
	_ = c.SetReadDeadline(time.Now().Add(silentTime))
	b := make([]byte, MaxLineBytes+2)
	for n := 0; ; {
		m, err := c.Read(b[n:])
		n += m
		if i := bytes.IndexByte(b[:n], '\n'); i >= 0 {
			return b[:i], i == n-1, nil
		}
		switch {
		case n == len(b):
			return b, false, nil
		case errors.Is(err, io.EOF) && n > 0: // its end is a line's end too
			return b[:n], true, nil
		case err != nil:
			return nil, false, err
		}
	}
}

// answer carries a call out. It begins with 200 or 400, but for the figures, which are their own answer.
func (s *Server) answer(line []byte) []byte {
	c, err := Parse(line)
	if err != nil {
		return no(err)
	}
	switch c.Verb {
	case Counters:
		return text("", s.calls.Counters)
	case Peers:
		return text("200 ok\n", s.calls.Peers)
	case PolicyText, PolicyPropose, PolicyShow, PolicyHistory, PolicyAbort, PolicyFound:
		return text("200 ok\n", func(to io.Writer) error { return s.calls.Policy(c, to) })
	case WorkPlan, WorkShow, WorkDone, WorkPause, WorkResume, WorkCancel:
		return text("200 ok\n", func(to io.Writer) error { return s.calls.Work(c, to) })
	case Health:
		err = s.calls.Health()
	case Cordon:
		err = s.calls.Cordon(c.Arguments[0])
	case Uncordon:
		err = s.calls.Uncordon(c.Arguments[0])
	}
	if err != nil {
		return no(err)
	}
	return []byte("200 ok\n")
}

// text is an answer of several lines, up to one that says EOF.
func text(begin string, write func(io.Writer) error) []byte {
	b := bytes.NewBufferString(begin)
	if err := write(b); err != nil {
		return no(err)
	}
	b.WriteString("EOF\n")
	return b.Bytes()
}

func no(err error) []byte {
	text := bytes.ReplaceAll([]byte(err.Error()), []byte("\n"), []byte("; ")) // joined errors have several lines
	return append(append([]byte("400 "), text...), '\n')
}
