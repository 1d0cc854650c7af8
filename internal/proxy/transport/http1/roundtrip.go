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
	// lastByteDelay limits how long writeRequest delays a request's last byte. A reset that takes longer arrives after
	// the last byte was sent, and the attempt then ends as an attempt that the server may have processed.
	lastByteDelay = 2 * time.Millisecond
	// lastByteDelayFraction limits the delay to this fraction of the remaining time: 1/50.
	lastByteDelayFraction = 50
	// minLastByteDelay is the shortest useful delay. If the limits allow less, the last byte is not delayed.
	minLastByteDelay = 200 * time.Microsecond
	// promptReset is the time after a request was written within which a reset is attributed to that request.
	promptReset = 2 * lastByteDelay
)

// roundTrip sends a request and reads its response. Without a complete response, the ending says whether the server may
// have processed the request. Until the last byte of the request is written, the ending is NoConnection, NotSent or
// Cancelled, because the server cannot have processed the request.
func (t *Transport) roundTrip(
	x *exchange, to *host, m *call.Message, limits call.Limits,
) (*http.Response, []byte, policy.Ending) {
	until := limits.Until
	c, err := t.acquireConn(x, to, limits.SendBy)
	if err != nil {
		return nil, nil, unsentEnding(x, err)
	}
	if !x.setCancelFunc(func() { t.cancelOn(c) }) { // cancelled while connecting: the request must not be sent
		t.keepIdle(to, c)
		return nil, nil, policy.Cancelled
	}
	started := t.clock.Now()
	if started >= limits.SendBy && x.setCancelFunc(nil) { // too late, which is not the server's failure
		t.keepIdle(to, c)
		return nil, nil, policy.NotSent
	}
	hasEffect := m.Method != http.MethodGet
	_ = c.setLimits(t.clock, limits) // fails only on a closed connection, where the write fails too
	if m.Upload != nil {
		timeout := until - started
		early, err := c.writeUpload(t.encodeRequest(to, m, timeout), m)
		if err != nil {
			t.discard(c)
			if errors.Is(err, errUploadClaimed) || errors.Is(err, errUploadSource) {
				return nil, nil, policy.NotSent // the client's failure, not the server's
			}
			return nil, nil, unsentEnding(x, err)
		}
		until = t.clock.Now() + timeout // the time-out of the response starts at the last byte of the request
		_ = c.SetDeadline(t.clock.At(until))
		if early {
			return t.readEarlyResponse(x, c, m, until)
		}
	} else if err := t.writeRequest(c, t.encodeRequest(to, m, until-started), hasEffect, limits); err != nil {
		if !x.isCancelled() { // otherwise Cancel has closed the connection
			t.recordBroken(to, c)
		}
		t.discard(c)
		return nil, nil, unsentEnding(x, err)
	}
	if m.Header != nil { // probes have no header
		t.onRequestWritten()
	}
	return t.finishRoundTrip(x, to, c, m, started, until)
}

// finishRoundTrip reads the response to a request that was written completely, and keeps or closes the connection.
func (t *Transport) finishRoundTrip(
	x *exchange, to *host, c *conn, m *call.Message, started, until time.Duration,
) (*http.Response, []byte, policy.Ending) {
	written := t.clock.Now()
	res, body, err := c.readResponse(t, m, until)
	switch {
	case err == nil && streamOf(res) != nil:
		return res, nil, policy.Served // the stream owns the connection until its end
	case err == nil && !res.Close && c.reader.Buffered() == 0 && !t.isRejection(res) && x.setCancelFunc(nil):
		t.keepIdle(to, c)
	default: // broken, to be closed, with bytes after the response, a rejection, or cancelled
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
		if t.clock.Now()-started >= t.dialTimeout { // a shorter wait is no sign of a partition
			t.closeIdleSince(to, started)
		}
		return nil, nil, policy.TimedOut
	}
	if t.clock.Now()-written < promptReset { // a later break is unrelated to the connection's idle time
		t.recordBroken(to, c)
	}
	return nil, nil, policy.ConnectionLost // broken or malformed response: the server may have processed the request
}

// cancelOn cancels the exchange on a connection. It closes the write side or the connection: see Config.AwaitCancelled.
func (t *Transport) cancelOn(c *conn) {
	if t.awaitCancelled && !t.closing.Load() {
		if side, ok := c.Conn.(interface{ CloseWrite() error }); ok && side.CloseWrite() == nil {
			return
		}
	}
	c.Conn.Close()
}

// readEarlyResponse reads the response of a server that responded before the upload was complete.
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
	case res.StatusCode == http.StatusOK, streamOf(res) != nil: // success without the complete request: effect unknown
		return nil, nil, policy.ConnectionLost
	}
	return res, nil, policy.Errored
}

// unsentEnding returns the ending of an exchange whose request was not written completely.
func unsentEnding(x *exchange, err error) policy.Ending {
	switch {
	case x.isCancelled():
		return policy.Cancelled
	case errors.Is(err, errConnLimit), errors.Is(err, errDeadlinePassed),
		errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE):
		return policy.NotSent // a limit of this process, not the server's failure
	}
	return policy.NoConnection
}

// writeRequest writes a request. An error proves that the last byte was not sent. The server then did not process the
// request, because the protocol requires the complete request before processing starts.
//
// Normally writeRequest writes the request at once. If connections break often during requests, it delays the last byte
// by up to lastByteDelay. If the connection was being closed, or a middlebox had dropped its state, the first bytes
// cause a reset, which arrives during the delay and proves that the request was not processed. Without the delay the
// request might have been processed. A request without an effect can be repeated safely and is not delayed.
func (t *Transport) writeRequest(c *conn, request []byte, hasEffect bool, limits call.Limits) error {
	now := t.clock.Now()
	delay := min(t.lastByteDelay, (limits.SendBy-now)/lastByteDelayFraction)
	if !hasEffect || delay < minLastByteDelay || !t.connsBreakOften.Load() || c.raw == nil {
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
	if t.clock.Now() >= limits.SendBy { // the server starts with the last byte, which must not be sent too late
		return errDeadlinePassed
	}
	_, err := c.Write(request[last:])
	return err
}
