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

// promptReset is the time after a request was written within which a reset is attributed to that request.
const promptReset = 2 * startDelay

// roundTrip sends a request and reads its response. Without a complete response, the ending says whether the server may
// have processed the request: NoConnection and NotSent prove that it has not. See ProcessingStart.
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
	isLate, hasNoBody := started >= limits.SendBy, m.Upload != nil && m.Upload.Claimed()
	if (isLate || hasNoBody) && x.setCancelFunc(nil) { // which is not the server's failure
		t.keepIdle(to, c)
		return nil, nil, policy.NotSent
	}
	timeout := until - started
	_ = c.setLimits(t.clock, limits) // fails only on a closed connection, where the write fails too
	w := &requestWriter{
		transport: t, conn: c, message: m, limits: limits, request: t.encodeRequest(to, m, timeout),
	}
	if err := w.writeStart(); err != nil {
		if !x.isCancelled() { // otherwise Cancel has closed the connection
			t.recordBroken(to, c)
		}
		return nil, nil, t.abortRequest(x, w, err)
	}
	responses := newResponseReader(t, c, m)
	if m.Upload != nil {
		early, err := w.sendUpload(responses, timeout)
		if err != nil {
			return nil, nil, t.abortRequest(x, w, err)
		}
		if early.received() {
			return t.finishEarly(x, w, early)
		}
		until = t.clock.Now() + timeout // the time-out of the response starts at the last byte of the request
		_ = c.SetDeadline(t.clock.At(until))
	}
	if m.Header != nil { // probes have no header
		t.onRequestWritten()
	}
	return t.finishRoundTrip(x, to, responses, started, until)
}

// abortRequest closes the connection of a request that could not be written completely, and returns the ending.
func (t *Transport) abortRequest(x *exchange, w *requestWriter, err error) policy.Ending {
	t.discard(w.conn)
	isClientFailure := errors.Is(err, errUploadClaimed) || errors.Is(err, errUploadSource)
	switch {
	case x.isCancelled():
		return policy.Cancelled
	case isClientFailure && w.mayBeProcessed():
		return policy.Cancelled
	case isClientFailure:
		return policy.NotSent
	case w.mayBeProcessed() && isTimeout(err):
		return policy.TimedOut
	case w.mayBeProcessed():
		return policy.ConnectionLost
	}
	return unsentEnding(x, err)
}

// finishRoundTrip reads the response to a request that was written completely, and keeps or closes the connection.
func (t *Transport) finishRoundTrip(
	x *exchange, to *host, responses *responseReader, started, until time.Duration,
) (*http.Response, []byte, policy.Ending) {
	written := t.clock.Now()
	c := responses.conn
	res, err := responses.read(until)
	switch {
	case err == nil && streamOf(res.head) != nil:
		return res.head, nil, policy.Served // the stream owns the connection until its end
	case err == nil && !res.head.Close && c.reader.Buffered() == 0 && !t.isRejection(res.head) && x.setCancelFunc(nil):
		t.keepIdle(to, c)
	default: // broken, to be closed, with bytes after the response, a rejection, or cancelled
		t.discard(c)
	}
	if err == nil {
		return res.head, res.body, policy.Served
	}
	switch {
	case x.isCancelled():
		return nil, nil, policy.Cancelled
	case isTimeout(err):
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

// finishEarly returns a response that the server has sent before the end of the request. The connection is not reused,
// as the server may still expect the rest of the request there.
func (t *Transport) finishEarly(
	x *exchange, w *requestWriter, early response,
) (*http.Response, []byte, policy.Ending) {
	early.head.Close = true
	isStreamed := streamOf(early.head) != nil
	// A server that processes only complete requests can't have served this one.
	contradictsProtocol := !w.mayBeProcessed() && (early.head.StatusCode == http.StatusOK || isStreamed)
	if isStreamed && !contradictsProtocol {
		return early.head, nil, policy.Served // the stream owns the connection until its end
	}
	t.discard(w.conn)
	switch {
	case x.isCancelled():
		return nil, nil, policy.Cancelled
	case contradictsProtocol:
		return nil, nil, policy.ConnectionLost
	}
	return early.head, early.body, policy.Served
}

// isTimeout reports whether an error is a time-out of the connection.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// unsentEnding returns the ending of an exchange whose request the server has not processed: no connection was made, or
// it broke before the byte that the server needs to start.
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
