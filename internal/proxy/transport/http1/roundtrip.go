package http1

import (
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"caperarch/internal/proxy/call"
	"caperarch/policy"
)

const (
	// lastByteDelay is how long writeRequest keeps a request's last byte back at most. A reset that takes longer comes
	// behind the last byte, and the attempt ends as one that may have run.
	lastByteDelay = 2 * time.Millisecond
	// lastByteDelayFraction bounds the same by the time that is left: no more than one part in so many.
	lastByteDelayFraction = 50
	// minLastByteDelay is the shortest delay that is of use.
	minLastByteDelay = 200 * time.Microsecond
	// promptReset is how soon after a request was written a reset comes that the request itself has caused.
	promptReset = 2 * lastByteDelay
)

// roundTrip sends a request and reads its response. Without a complete response the ending says what is known:
// NoConnection until the last byte of the request is written, as it cannot have run before.
func (t *Transport) roundTrip(
	x *exchange, to *host, m *call.Message, limits call.Limits,
) (*http.Response, []byte, policy.Ending) {
	until := limits.Until
	c, err := t.acquireConn(x, to, limits.SendBy)
	if err != nil {
		return nil, nil, unsentEnding(x, err)
	}
	if !x.setCancelFunc(func() { t.cancelOn(c) }) { // cancelled in the meantime: nothing may go out any more
		t.keepIdle(to, c)
		return nil, nil, policy.Cancelled
	}
	begun := t.clock.Now()
	if begun >= limits.SendBy && x.setCancelFunc(nil) { // we were late: that says nothing of the server
		t.keepIdle(to, c)
		return nil, nil, policy.NotSent
	}
	hasEffect := m.Method != http.MethodGet
	_ = c.setLimits(t.clock, limits) // fails only on a closed connection, as the write then does
	if m.Upload != nil {
		timeout := until - begun
		early, err := c.writeUpload(t.encodeRequest(to, m, timeout), m)
		if err != nil {
			t.discard(c)
			if errors.Is(err, errUploadClaimed) || errors.Is(err, errUploadSource) {
				return nil, nil, policy.NotSent // the client's fault: that says nothing of the server
			}
			return nil, nil, unsentEnding(x, err)
		}
		until = t.clock.Now() + timeout // the time for the response counts from the last byte
		_ = c.SetDeadline(t.clock.At(until))
		if early {
			return t.readEarlyResponse(x, c, m, until)
		}
	} else if err := t.writeRequest(c, t.encodeRequest(to, m, until-begun), hasEffect, limits); err != nil {
		if !x.isCancelled() { // otherwise Cancel has closed it
			t.recordBroken(to, c)
		}
		t.discard(c)
		return nil, nil, unsentEnding(x, err)
	}
	if m.Header != nil { // otherwise it is a probe
		t.onRequestWritten()
	}
	return t.finishRoundTrip(x, to, c, m, begun, until)
}

// finishRoundTrip reads the response to a request that was written, and keeps or closes the connection.
func (t *Transport) finishRoundTrip(
	x *exchange, to *host, c *conn, m *call.Message, begun, until time.Duration,
) (*http.Response, []byte, policy.Ending) {
	written := t.clock.Now()
	res, body, err := c.readResponse(t, m, until)
	switch {
	case err == nil && streamOf(res) != nil:
		return res, nil, policy.Served // the stream owns the connection until its end
	case err == nil && !res.Close && c.reader.Buffered() == 0 && !t.isRejection(res) && x.setCancelFunc(nil):
		t.keepIdle(to, c)
	default: // broken, to be closed, with bytes left over behind the response, a rejection, or cancelled
		t.discard(c)
	}
	if err == nil {
		return res, body, policy.Served
	}
	var timeout net.Error
	switch {
	case x.isCancelled():
		return nil, nil, policy.Cancelled
	case errors.As(err, &timeout) && timeout.Timeout():
		if t.clock.Now()-begun >= t.dialTimeout { // a shorter wait tells nothing of the machine
			t.closeIdleSince(to, begun)
		}
		return nil, nil, policy.TimedOut
	}
	if t.clock.Now()-written < promptReset { // later it has nothing to do with how long the connection was idle
		t.recordBroken(to, c)
	}
	return nil, nil, policy.ConnectionLost // or malformed: it may have run
}

// cancelOn ends the exchange on a connection, as Config.AwaitCancelled says.
func (t *Transport) cancelOn(c *conn) {
	if t.awaitCancelled && !t.closing.Load() {
		if side, ok := c.Conn.(interface{ CloseWrite() error }); ok && side.CloseWrite() == nil {
			return
		}
	}
	c.Conn.Close()
}

// readEarlyResponse reads the response of a server that does not want the rest of an upload, which says why.
func (t *Transport) readEarlyResponse(
	x *exchange, c *conn, m *call.Message, until time.Duration,
) (*http.Response, []byte, policy.Ending) {
	res, _, err := c.readResponse(t, m, until)
	t.discard(c)
	switch {
	case x.isCancelled():
		return nil, nil, policy.Cancelled
	case err != nil:
		return nil, nil, policy.NoConnection
	case res.StatusCode == http.StatusOK, streamOf(res) != nil: // of what? nobody knows what it did
		return nil, nil, policy.ConnectionLost
	}
	return res, nil, policy.Errored
}

// unsentEnding is the ending of an exchange whose request was not written completely.
func unsentEnding(x *exchange, err error) policy.Ending {
	switch {
	case x.isCancelled():
		return policy.Cancelled
	case errors.Is(err, errNoDescriptor), errors.Is(err, errDeadlinePassed),
		errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE):
		return policy.NotSent // our own lack: that says nothing of the server
	}
	return policy.NoConnection
}

// writeRequest writes a request. An error says that its last byte did not go out: so it never ran (a server begins
// with the last byte, by the protocol). As a rule it is one write, which tells. Where connections break under
// requests, the last byte is kept back for lastByteDelay: a reset that the first bytes cause, of a connection that
// was being closed or that a machine between had forgotten, comes meanwhile and proves the same. Without that such a
// request may have run for all that can be known. That does not matter where a repetition has no effect: hasEffect is
// false then.
func (t *Transport) writeRequest(c *conn, request []byte, hasEffect bool, limits call.Limits) error {
	now := t.clock.Now()
	delay := min(t.lastByteDelay, (limits.SendBy-now)/lastByteDelayFraction)
	if !hasEffect || delay < minLastByteDelay || !t.connsBreak.Load() || c.raw == nil {
		_, err := c.Write(request)
		return err
	}
	last := len(request) - 1
	if _, err := c.Write(request[:last]); err != nil {
		return err
	}
	if err := c.awaitBreak(now+delay, t.clock); err != nil {
		return err
	}
	if err := c.setLimits(t.clock, limits); err != nil {
		return err
	}
	if t.clock.Now() >= limits.SendBy { // it begins with the byte that is left, which must not come too late
		return errDeadlinePassed
	}
	_, err := c.Write(request[last:])
	return err
}
