package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/clock"
	"caperarch/internal/proxy/stream"

	"golang.org/x/sys/unix"
)

var errEarlyResponse = errors.New("an answer came before the request was whole")

// conn is a connection to a server. It carries one exchange at a time, whose goroutine uses it; while it is idle the
// transport's lock guards it.
type conn struct {
	net.Conn
	raw        syscall.RawConn // nil: it is no socket
	reader     *bufio.Reader
	limited    io.LimitedReader // below reader: what may still be read of this response
	idleSince  time.Duration
	idleBefore time.Duration // how long it was idle before the exchange under way; 0: it is new
}

// dialSystem opens a connection by TCP.
func (t *Transport) dialSystem(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	d.KeepAlive = -1 // no use against a machine that is gone; the time-outs are
	if t.userTimeout > 0 {
		d.Control = t.setUserTimeout
	}
	return d.DialContext(ctx, "tcp", address)
}

// setUserTimeout has the system break a connection whose other end does not acknowledge anything any more.
func (t *Transport) setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	milliseconds := int(t.userTimeout.Milliseconds())
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, milliseconds)
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}

// setLimits has writes end when the request may not be written any more, and reads when the attempt times out.
func (c *conn) setLimits(clk clock.Clock, limits call.Limits) error {
	err := c.SetDeadline(clk.At(limits.Until))
	if err != nil || limits.SendBy == limits.Until { // as all but repeats have it
		return err
	}
	return c.SetWriteDeadline(clk.At(limits.SendBy))
}

// isUsable returns whether an idle connection is still usable: its server has neither closed or reset it (at its idle
// time-out, when it drains, when it restarts) nor sent what nobody asked for.
func (c *conn) isUsable() bool {
	if c.raw == nil {
		return true
	}
	usable := false
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		usable = err == syscall.EAGAIN
		return true // never wait
	})
	return err == nil && usable
}

// hasInput returns whether bytes are here that were not read yet.
func (c *conn) hasInput() bool {
	if c.raw == nil {
		return false
	}
	n := 0
	err := c.raw.Control(func(fd uintptr) { n, _ = stream.Peek(fd) })
	return err == nil && n > 0
}

// awaitInput waits until there is something to read, the end of the stream included, but not beyond a time. It leaves
// until as the deadline for reading.
func (c *conn) awaitInput(t *Transport, waitUntil, until time.Duration) bool {
	_ = c.SetReadDeadline(t.clock.At(waitUntil))
	if c.raw == nil {
		_, err := c.reader.Peek(1)
		_ = c.SetReadDeadline(t.clock.At(until))
		return err == nil
	}
	err := c.raw.Read(func(fd uintptr) bool {
		_, err := stream.Peek(fd)
		return !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
	})
	_ = c.SetReadDeadline(t.clock.At(until))
	return err == nil
}

// awaitBreak waits until a time, or until a connection breaks: then it returns why. A response that comes before its
// request is complete could not be trusted, and counts as a break.
func (c *conn) awaitBreak(until time.Duration, clk clock.Clock) error {
	if err := c.SetReadDeadline(clk.At(until)); err != nil {
		return err
	}
	var broken error
	err := c.raw.Read(func(fd uintptr) bool {
		n, err := stream.Peek(fd)
		switch {
		case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
			return false
		case err != nil:
			broken = err
		case n == 0:
			broken = io.ErrUnexpectedEOF
		default:
			broken = errEarlyResponse
		}
		return true
	})
	if broken != nil || err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return errors.Join(broken, err)
	}
	return nil
}
