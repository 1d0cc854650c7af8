package http1

import (
	"errors"
	"io"
	"net/http"
	"time"

	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/h1"
	"caperarch/internal/proxy/stream"
)

const (
	// startDelay limits how long writeStart delays the byte after which the server may process the request. A reset that
	// takes longer arrives after that byte was sent, and the attempt then ends as one that the server may have processed.
	startDelay = 2 * time.Millisecond
	// startDelayFraction limits the delay to this fraction of the remaining time: 1/50.
	startDelayFraction = 50
	// minStartDelay is the shortest useful delay. If the limits allow less, the byte is not delayed.
	minStartDelay = 200 * time.Microsecond
)

var (
	errUploadClaimed = errors.New("remaining upload body was claimed by another attempt")
	errUploadSource  = errors.New("reading the remaining upload body failed")
)

// requestWriter writes one request to a connection, and keeps track of whether the server may process it.
type requestWriter struct {
	transport *Transport
	conn      *conn
	message   *call.Message
	limits    call.Limits
	request   encodedRequest
	written   int  // bytes of request that the connection has accepted
	complete  bool // the connection has accepted the last byte, including the streamed part of the body
}

// mayBeProcessed reports whether the server may have processed the request, by the protocol's ProcessingStart.
func (w *requestWriter) mayBeProcessed() bool {
	if w.transport.processingStart == AfterLastByte {
		return w.complete
	}
	return w.written >= w.request.headBytes
}

// bytesBeforeStart returns how many bytes of the request can be written without allowing the server to process it.
func (w *requestWriter) bytesBeforeStart() int {
	if w.transport.processingStart == AfterLastByte {
		return len(w.request.bytes) - 1
	}
	return w.request.headBytes - 1
}

// writeStart writes the head of the request and the part of its body that is buffered.
//
// Normally it writes them at once. If delay returns a time, it writes the last byte that the server needs to process
// the request, and all bytes behind it, only after that time. If the connection was being closed, or a middlebox had
// dropped its state, the bytes before cause a reset meanwhile, which proves that the request was not processed. Without
// the delay the request might have been processed.
func (w *requestWriter) writeStart() error {
	if delay := w.delay(); delay > 0 {
		if err := w.writeUntil(w.bytesBeforeStart()); err != nil {
			return err
		}
		if err := w.confirmConn(delay); err != nil {
			return err
		}
	}
	if err := w.writeUntil(len(w.request.bytes)); err != nil {
		return err
	}
	w.complete = w.message.Upload == nil
	return nil
}

// writeUntil writes the bytes of the request before an offset that were not written yet.
func (w *requestWriter) writeUntil(offset int) error {
	n, err := w.conn.Write(w.request.bytes[w.written:offset])
	w.written += n
	return err
}

// confirmConn returns an error if the connection breaks within the delay, or if the time limit of the request passes.
func (w *requestWriter) confirmConn(delay time.Duration) error {
	clk := w.transport.clock
	if err := w.conn.awaitBreak(clk.Now()+delay, clk); err != nil {
		return err
	}
	if err := w.conn.setLimits(clk, w.limits); err != nil {
		return err
	}
	if clk.Now() >= w.limits.SendBy { // the server may start with the next byte, which must not be sent too late
		return errDeadlinePassed
	}
	return nil
}

// delay returns how long writeStart delays the byte after which the server may process the request; 0: not at all. A
// request without an effect can be repeated safely and is not delayed. Other requests are delayed if connections break
// often during requests. A request whose body is streamed is always delayed, unless the server needs the end of the
// body first: most of its time passes after the start, and its body can't be sent a second time.
func (w *requestWriter) delay() time.Duration {
	t := w.transport
	if w.message.Method == http.MethodGet || w.conn.raw == nil {
		return 0
	}
	if w.message.Upload != nil {
		if t.processingStart == AfterLastByte {
			return 0
		}
	} else if !t.connsBreakOften.Load() {
		return 0
	}
	delay := min(t.startDelay, (w.limits.SendBy-t.clock.Now())/startDelayFraction)
	if delay < minStartDelay {
		return 0
	}
	return delay
}

// sendUpload claims the rest of a streamed body and writes it. It returns the response of a server that responds before
// the end of the body.
func (w *requestWriter) sendUpload(responses *responseReader, timeout time.Duration) (response, error) {
	if !w.message.Upload.Claim() {
		return response{}, errUploadClaimed
	}
	return w.writeUpload(responses, timeout)
}

// writeUpload writes the rest of a body that is forwarded while it is received. If the server sends its final response
// before the end of the body, writeUpload stops and returns that response.
func (w *requestWriter) writeUpload(responses *responseReader, timeout time.Duration) (response, error) {
	upload := w.message.Upload
	chunked := upload.Length < 0
	window := stream.AcquireWindow()
	defer stream.ReleaseWindow(window)
	for {
		n, sourceErr := upload.Read(window[h1.ChunkPrefixBytes : stream.WindowSize-h1.ChunkSuffixBytes])
		if early, err := w.readEarly(responses, timeout); early.received() || err != nil {
			return early, err
		}
		if n > 0 {
			data := window[h1.ChunkPrefixBytes : h1.ChunkPrefixBytes+n]
			if chunked {
				data = h1.FrameChunk(window[:], n)
			}
			if err := stream.Write(w.conn, data); err != nil {
				return w.readAfterFailure(responses, timeout, err)
			}
		}
		if errors.Is(sourceErr, io.EOF) {
			break
		}
		if sourceErr != nil {
			return response{}, errors.Join(errUploadSource, sourceErr)
		}
	}
	if chunked {
		if err := stream.Write(w.conn, []byte(h1.LastChunk)); err != nil {
			return w.readAfterFailure(responses, timeout, err)
		}
	}
	w.complete = true
	return response{}, nil
}

// readEarly reads what the server has sent before the end of the body. It returns no response if that is not the final
// response to the request: an interim response, or a late second response to an earlier request.
func (w *requestWriter) readEarly(responses *responseReader, timeout time.Duration) (response, error) {
	for responses.hasInput() {
		until := w.transport.clock.Now() + timeout
		_ = w.conn.SetReadDeadline(w.transport.clock.At(until))
		if early, err := responses.next(until); early.received() || err != nil {
			return early, err
		}
	}
	return response{}, nil
}

// readAfterFailure returns the response of a server that has closed the connection after its response, or the error of
// the write that failed.
func (w *requestWriter) readAfterFailure(
	responses *responseReader, timeout time.Duration, writeErr error,
) (response, error) {
	early, err := w.readEarly(responses, timeout)
	if !early.received() && err == nil {
		err = writeErr
	}
	return early, err
}
