package http1

import (
	"cmp"
	"errors"
	"net/http"
	"os"
	"syscall"
	"time"

	"caperarch/internal/proxy/h1"
	"caperarch/internal/proxy/stream"
)

// readFirst waits for the first bytes of a request and reads them. Until bytes are received, the connection holds no
// buffers.
func (c *conn) readFirst() bool {
	if c.buffers != nil {
		c.buffers.release()
		c.buffers = nil
	}
	c.releasePipeline()
	if c.rawConn == nil {
		c.buffers = acquireBuffers()
		n, err := c.netConn.Read(c.buffers.in)
		c.unreadStart, c.unreadEnd = 0, n
		return err == nil && n > 0
	}
	c.firstReadWaited = false
	if c.front.readPermits.Load() != nil { // the bytes stay in the kernel's buffer until the connection has a permit
		if c.rawConn.Read(c.hasInput) != nil {
			return false
		}
		c.acquirePermit()
	}
	if c.rawConn.Read(c.tryFirstRead) != nil {
		return false
	}
	if !c.firstReadWaited {
		c.onPipelinedRequest()
	}
	return c.firstReadErr == nil && c.unreadEnd > 0
}

// readFirstNonblocking reads the available bytes into newly acquired buffers. It returns false, and holds no buffers,
// if no bytes are available.
func (c *conn) readFirstNonblocking(fd uintptr) bool {
	b := acquireBuffers()
	c.hasUnrecordedRead.Store(true)
	for {
		n, err := syscall.Read(int(fd), b.in)
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		if errors.Is(err, syscall.EAGAIN) {
			b.release()
			c.hasUnrecordedRead.Store(false)
			c.firstReadWaited = true
			return false
		}
		c.buffers, c.unreadStart, c.unreadEnd, c.firstReadErr = b, 0, max(n, 0), err
		return true
	}
}

// hasInput returns whether a read would not block: bytes, the end of the stream or an error can be read.
func (c *conn) hasInput(fd uintptr) bool {
	_, err := stream.Peek(fd)
	return !errors.Is(err, syscall.EAGAIN)
}

// hasUnrecordedInput returns whether bytes were received that the connTable does not know of. Any goroutine may call
// it.
func (c *conn) hasUnrecordedInput() bool {
	if c.rawConn == nil {
		return false
	}
	n := 0
	err := c.rawConn.Control(func(fd uintptr) { n, _ = stream.Peek(fd) })
	// The order of the two checks matters: hasUnrecordedRead is set before bytes are read from the kernel's buffer.
	return err == nil && (n > 0 || c.hasUnrecordedRead.Load())
}

// read reads the next bytes. Bytes that are already available are read under the permit, if the connection holds one.
// If none are available, the permit is released during the wait.
func (c *conn) read(p []byte) (int, error) {
	if c.permits == nil || c.rawConn == nil {
		return c.netConn.Read(p)
	}
	n := 0
	var err error
	tried := c.rawConn.Read(func(fd uintptr) bool {
		n, err = syscall.Read(int(fd), p)
		return true
	})
	if tried == nil && n > 0 {
		c.bytesUnderPermit += n
		return n, nil
	}
	c.releasePermit()
	if err := c.rawConn.Read(c.hasInput); err != nil {
		return 0, err
	}
	c.acquirePermit()
	n, err = c.netConn.Read(p)
	c.bytesUnderPermit += n
	return n, err
}

// readHead reads the head of a request and returns its size in bytes. It rejects a malformed or oversized head.
func (c *conn) readHead() (size int, ok bool) {
	b, limits := c.buffers, c.front.requestLimits()
	b.parser.SetLimit(limits.headBytes())
	b.head = h1.Head{Fields: b.head.Fields[:0]} // a rejection must not use the previous request's head
	inParts := false
	for {
		n, err := b.parser.Parse(b.in[c.unreadStart:c.unreadEnd], &b.head)
		if malformed := (*h1.Error)(nil); errors.As(err, &malformed) {
			c.reject(&Rejection{Status: malformed.Status, Reason: malformed.Reason})
			return 0, false
		}
		if n > 0 {
			if inParts && !c.finishSlowRead() {
				return 0, false
			}
			return n, true
		}
		if !inParts { // a head that is not complete at once must not occupy the connection forever
			inParts = true
			_ = c.netConn.SetReadDeadline(time.Now().Add(cmp.Or(limits.HeadTime, headTimeout)))
			c.acceptor.markReading(c)
		}
		c.growInput(b.parser.MaxBytes())
		read, err := c.read(b.in[c.unreadEnd:])
		c.unreadEnd += read
		if read == 0 {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				c.reject(c.timeoutRejection(&Rejection{Status: http.StatusRequestTimeout, Reason: "the head doesn't end"}))
			}
			return 0, false
		}
	}
}

// growInput ensures free space in the input buffer behind the unread bytes. There are fewer unread bytes than
// maxBytes, the size of the longest head.
func (c *conn) growInput(maxBytes int) {
	b := c.buffers
	switch {
	case c.unreadStart > 0: // pipelined bytes move to the start of the buffer
		c.unreadEnd = copy(b.in, b.in[c.unreadStart:c.unreadEnd])
		c.unreadStart = 0
	case c.unreadEnd == len(b.in):
		size := min(max(h1.DefaultMaxHeadBytes, 2*len(b.in)), max(h1.DefaultMaxHeadBytes, maxBytes))
		b.in = append(b.in, make([]byte, max(0, size-len(b.in)))...)
	}
}

// timeoutRejection returns the rejection of a request that was not received in time: tooManyReads if the connection
// was evicted to make room, the given rejection otherwise.
func (c *conn) timeoutRejection(otherwise *Rejection) *Rejection {
	if c.acceptor.isRemoved(c) {
		return tooManyReads()
	}
	return otherwise
}

// finishSlowRead ends reading a request, or its head, that was received in parts. If the connection was evicted
// meanwhile, it rejects the request and returns false: the client may have sent the last byte by now and expects a
// response.
func (c *conn) finishSlowRead() bool {
	c.receivedAt = c.front.clock.Now()
	_ = c.netConn.SetReadDeadline(time.Time{})
	if c.acceptor.markBusy(c) {
		return true
	}
	c.reject(tooManyReads())
	return false
}

// tooManyReads returns the rejection of a request whose connection was evicted while the request was being read.
func tooManyReads() *Rejection {
	return &Rejection{Status: http.StatusServiceUnavailable, Reason: "too many requests are being read"}
}
