package control

import (
	"bytes"
	"container/list"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// Callers at once. Their descriptors come out of the reserve that neither clients nor upstreams may use.
	maxCallers       = 12
	minCallers       = 3
	socketsPerCaller = 32 // one caller for so many descriptors, and as many again that are being evicted

	readTimeout      = 5 * time.Second        // for a complete call
	writeTimeout     = time.Second            // for carrying it out and writing its answer
	drainTimeout     = 200 * time.Millisecond // for discarding what a caller sends after its call
	maxDrainBytes    = 2 << 20                // discarded at most
	evictionGrace    = 10 * time.Millisecond  // a caller is not evicted for so long after it connected
	acceptRetryDelay = 50 * time.Millisecond  // before the next accept when the system is short of descriptors
)

// Handler carries out operators' calls. Its methods may be called from many goroutines.
type Handler interface {
	// Health returns why this process can't serve; nil: it can.
	Health() error
	// Counters writes the counters.
	Counters(to io.Writer) error
	// Cordon bans an upstream, Uncordon lifts the ban. They return once every engine has applied it.
	Cordon(id string) error
	Uncordon(id string) error
	// Peers writes what is known of the other sidecars. It is an error if this process is in no fleet.
	Peers(to io.Writer) error
	// Policy carries out a call on the fleet's policy.
	Policy(c Call, to io.Writer) error
	// Work carries out a call on maintenance plans.
	Work(c Call, to io.Writer) error
}

// CallerLimit returns how many callers there may be at once in a process with so many descriptors.
func CallerLimit(sockets int) int { return min(maxCallers, max(minCallers, sockets/socketsPerCaller)) }

// Server answers callers on a listener. It bounds them in number, bytes and time: a new caller without a slot
// evicts the one that has been idle, without a complete call, for longest.
type Server struct {
	handler Handler
	maxOpen int

	mu       sync.Mutex
	open     int       // connections
	evicting int       // of these, evicted and not closed yet
	idle     list.List // of *caller without a complete call, the longest first

	slotFreed chan struct{}
}

// New returns a server for at most maxOpen callers at once, and at least 1.
func New(handler Handler, maxOpen int) *Server {
	return &Server{handler: handler, maxOpen: max(1, maxOpen), slotFreed: make(chan struct{}, 1)}
}

// caller is one connection.
type caller struct {
	net.Conn
	since   time.Time
	evicted bool // guarded by Server.mu
}

// Serve answers callers until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		raw, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil { // no descriptor left, or the caller has closed already
			time.Sleep(acceptRetryDelay)
			continue
		}
		c := &caller{Conn: raw, since: time.Now()}
		for !s.admit(c) {
			select {
			case <-s.slotFreed:
			case <-time.After(evictionGrace):
			}
		}
	}
}

// admit serves a caller if there is a slot for it, evicting the longest idle one if need be. False: no slot is free,
// and no caller may be evicted yet.
func (s *Server) admit(c *caller) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	// An evicted caller is closed by its own goroutine, which takes a while when the core is saturated. So as
	// many as there are slots may be in eviction: while each was waited for, a call behind 200 idle ones had no
	// answer in 5 s.
	if s.open-s.evicting >= s.maxOpen && s.evicting < s.maxOpen {
		if first := s.idle.Front(); first != nil {
			if old := first.Value.(*caller); time.Since(old.since) >= evictionGrace {
				old.evicted = true
				s.evicting++
				_ = old.SetReadDeadline(time.Unix(1, 0))
				s.idle.Remove(first)
			}
		}
	}
	if s.open-s.evicting >= s.maxOpen {
		return false
	}
	s.open++
	// Set before the caller can be evicted: an eviction is an earlier deadline, which a later call would undo.
	_ = c.SetReadDeadline(time.Now().Add(readTimeout))
	idle := s.idle.PushBack(c)
	go s.serve(c, idle)
	return true
}

// serve reads one call and answers it.
func (s *Server) serve(c *caller, idle *list.Element) {
	defer func() {
		c.Close()
		s.mu.Lock()
		s.open--
		if c.evicted {
			s.evicting--
		}
		s.mu.Unlock()
		select {
		case s.slotFreed <- struct{}{}:
		default:
		}
	}()
	line, complete, err := readLine(c)
	s.mu.Lock()
	s.idle.Remove(idle) // a second time is harmless
	s.mu.Unlock()
	if err != nil {
		return // it left, or sent no complete call in time
	}
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := c.Write(s.respond(line)); err != nil {
		return
	}
	if t, ok := c.Conn.(*net.TCPConn); !complete && ok && t.CloseWrite() == nil {
		// Closing a connection with unread bytes resets it, and the caller would see that instead of its answer.
		_ = c.SetReadDeadline(time.Now().Add(drainTimeout))
		_, _ = io.CopyN(io.Discard, c, maxDrainBytes)
	}
}

// readLine reads one line, or as much as makes it too long, until the connection's read deadline. complete says
// that nothing followed it.
func readLine(c net.Conn) (line []byte, complete bool, err error) {
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
		case errors.Is(err, io.EOF) && n > 0: // the end of the stream ends the line too
			return b[:n], true, nil
		case err != nil:
			return nil, false, err
		}
	}
}

// respond carries a call out and returns the answer. It begins with 200 or 400, except for the counters.
func (s *Server) respond(line []byte) []byte {
	c, err := Parse(line)
	if err != nil {
		return rejection(err)
	}
	switch c.Verb {
	case Counters:
		return textResponse("", s.handler.Counters)
	case Peers:
		return textResponse("200 ok\n", s.handler.Peers)
	case PolicyText, PolicyPropose, PolicyShow, PolicyHistory, PolicyAbort, PolicyFound:
		return textResponse("200 ok\n", func(to io.Writer) error { return s.handler.Policy(c, to) })
	case WorkPlan, WorkShow, WorkDone, WorkPause, WorkResume, WorkCancel:
		return textResponse("200 ok\n", func(to io.Writer) error { return s.handler.Work(c, to) })
	case Health:
		err = s.handler.Health()
	case Cordon:
		err = s.handler.Cordon(c.Arguments[0])
	case Uncordon:
		err = s.handler.Uncordon(c.Arguments[0])
	}
	if err != nil {
		return rejection(err)
	}
	return []byte("200 ok\n")
}

// textResponse is an answer of several lines, the last of which says EOF.
func textResponse(begin string, write func(io.Writer) error) []byte {
	b := bytes.NewBufferString(begin)
	if err := write(b); err != nil {
		return rejection(err)
	}
	b.WriteString("EOF\n")
	return b.Bytes()
}

// rejection is the answer to a call that failed.
func rejection(err error) []byte {
	oneLine := strings.ReplaceAll(err.Error(), "\n", "; ") // joined errors have several lines
	return []byte("400 " + oneLine + "\n")
}
