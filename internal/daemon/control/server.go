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
	// Limits on the number of concurrent callers. The file descriptors of callers come from the reserve that is
	// available to neither client connections nor upstream connections.
	maxCallers       = 12
	minCallers       = 3
	socketsPerCaller = 32 // descriptors of the process for each caller; as many callers again may be in eviction

	readTimeout      = 5 * time.Second        // limit on receiving a complete call
	writeTimeout     = time.Second            // limit on executing a call and writing its response
	drainTimeout     = 200 * time.Millisecond // limit on discarding the bytes that follow a call
	maxDrainBytes    = 2 << 20                // maximum number of bytes discarded after a call
	evictionGrace    = 10 * time.Millisecond  // time after its connection is accepted in which a caller is not evicted
	acceptRetryDelay = 50 * time.Millisecond  // delay before the next accept after an accept failed
)

// Handler executes operators' control calls. Its methods are called concurrently.
type Handler interface {
	// Health returns nil if this process can serve requests, or an error that states why it can't.
	Health() error
	// Counters writes the counters.
	Counters(to io.Writer) error
	// Cordon bans an upstream and returns after every engine has applied the ban.
	Cordon(id string) error
	// Uncordon lifts the ban on an upstream and returns after every engine has applied the change.
	Uncordon(id string) error
	// Peers writes the state of the other sidecars. It returns an error if this process belongs to no fleet.
	Peers(to io.Writer) error
	// Policy executes a call on the fleet's policy.
	Policy(c Call, to io.Writer) error
	// Work executes a call on maintenance plans.
	Work(c Call, to io.Writer) error
}

// CallerLimit returns the maximum number of concurrent callers of a process with the given number of file descriptors.
func CallerLimit(sockets int) int { return min(maxCallers, max(minCallers, sockets/socketsPerCaller)) }

// Server accepts callers on a listener and responds to their calls. If all slots are in use, a new caller evicts the
// caller that has been idle, without a complete call, for the longest time.
type Server struct {
	handler Handler
	maxOpen int

	mu       sync.Mutex
	open     int       // number of open connections
	evicting int       // number of open connections that are evicted and not closed yet
	idle     list.List // of *caller: callers without a complete call, longest idle first

	slotFreed chan struct{} // receives a value after a connection has been closed
}

// New returns a server for at most maxOpen concurrent callers. A maxOpen below 1 is raised to 1.
func New(handler Handler, maxOpen int) *Server {
	return &Server{handler: handler, maxOpen: max(1, maxOpen), slotFreed: make(chan struct{}, 1)}
}

// caller is the connection of one caller.
type caller struct {
	net.Conn
	since   time.Time // when the connection was accepted
	evicted bool      // guarded by Server.mu
}

// Serve accepts callers and responds to their calls until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		raw, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil { // no file descriptor is free, or the caller has closed the connection already
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

// admit starts serving a caller and returns true if a slot is free, or if the longest idle caller can be evicted. It
// returns false if no slot is free and no caller may be evicted yet.
func (s *Server) admit(c *caller) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The goroutine of an evicted caller closes the connection, which takes long on a saturated processor. Therefore
	// up to maxOpen callers may be in eviction at the same time. When admit waited for each eviction to complete, a
	// call behind 200 idle callers got no response within 5 s.
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
	// The read deadline is set before the caller can be evicted: an eviction sets an earlier deadline, which a later
	// SetReadDeadline would overwrite.
	_ = c.SetReadDeadline(time.Now().Add(readTimeout))
	idle := s.idle.PushBack(c)
	go s.serve(c, idle)
	return true
}

// serve reads one call, writes its response and closes the connection.
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
	s.idle.Remove(idle) // does nothing if an eviction has removed the caller already
	s.mu.Unlock()
	if err != nil {
		return // the caller disconnected, was evicted, or sent no complete call within readTimeout
	}
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := c.Write(s.respond(line)); err != nil {
		return
	}
	if t, ok := c.Conn.(*net.TCPConn); !complete && ok && t.CloseWrite() == nil {
		// Closing a connection that has unread bytes resets the connection, and the caller may lose the response.
		// Therefore bytes that follow the call are read and discarded first.
		_ = c.SetReadDeadline(time.Now().Add(drainTimeout))
		_, _ = io.CopyN(io.Discard, c, maxDrainBytes)
	}
}

// readLine reads one line before the connection's read deadline. A line that exceeds the maximum length is returned
// truncated, but still too long for Parse. complete reports whether no further bytes were received after the line.
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
		case errors.Is(err, io.EOF) && n > 0: // the end of the stream terminates the line
			return b[:n], true, nil
		case err != nil:
			return nil, false, err
		}
	}
}

// respond executes a call and returns the response, whose first line begins with 200 or 400. The response to a
// successful counters call has no such status line.
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

// textResponse returns a response of several lines: a status line (may be ""), the text of write, and the line EOF.
func textResponse(statusLine string, write func(io.Writer) error) []byte {
	b := bytes.NewBufferString(statusLine)
	if err := write(b); err != nil {
		return rejection(err)
	}
	b.WriteString("EOF\n")
	return b.Bytes()
}

// rejection returns the response to a call that failed.
func rejection(err error) []byte {
	oneLine := strings.ReplaceAll(err.Error(), "\n", "; ") // an error of errors.Join has several lines
	return []byte("400 " + oneLine + "\n")
}
