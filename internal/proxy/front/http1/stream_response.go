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

// streamResponse forwards a response body while it is received, and returns whether the connection can stay open.
func (c *conn) streamResponse(reply *call.Answer, body call.Body) bool {
	defer body.Close()
	response := h1.Response{Status: reply.Status, Header: reply.Header, Length: body.Length()}
	classMetrics := c.metrics
	c.metrics = nil // the outcome is known only at the end of the body
	if !c.writeResponse(&response, nil) {
		return false
	}
	finished, joined := make(chan struct{}), make(chan struct{})
	defer func() {
		close(finished)
		<-joined // the other goroutine may read ahead until it ends
	}()
	go func() {
		defer close(joined)
		c.watchClient(body, finished)
	}()
	chunked := response.Length < 0
	complete, err := c.copyBody(body, chunked)
	if err != nil { // the client detects the failure by the missing end of the body
		classMetrics.CountOutcome(outcomeOf(http.StatusBadGateway))
	}
	if !complete {
		return false
	}
	if chunked && stream.Write(c.netConn, []byte(h1.LastChunk)) != nil {
		return false
	}
	if c.netConn.SetWriteDeadline(time.Time{}) != nil {
		return false
	}
	classMetrics.CountOutcome(outcomeOf(http.StatusOK))
	return true
}

// copyBody copies a body to the client and returns whether it was copied completely. An error is a failure of the
// server; complete is false without an error if the client did not accept the body.
func (c *conn) copyBody(body call.Body, chunked bool) (complete bool, err error) {
	window := stream.AcquireWindow()
	defer stream.ReleaseWindow(window)
	for {
		n, err := body.Read(window[h1.ChunkPrefixBytes : stream.WindowSize-h1.ChunkSuffixBytes])
		if n > 0 {
			data := window[h1.ChunkPrefixBytes : h1.ChunkPrefixBytes+n]
			if chunked {
				data = h1.FrameChunk(window[:], n)
			}
			if stream.Write(c.netConn, data) != nil {
				return false, nil
			}
		}
		if errors.Is(err, io.EOF) {
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
}

// watchClient watches a connection while a response is streamed, until finished is closed. If the client leaves, it
// closes the body, so that the connection to the server is freed. It also reads pipelined requests ahead.
func (c *conn) watchClient(body call.Body, finished <-chan struct{}) {
	defer func() {
		if r := recover(); r != nil { // see Front.serve
			c.front.logPanic(r)
			body.Close()
		}
	}()
	for hangup := c.hangup; ; {
		select {
		case <-hangup:
			c.mayHaveUnread = true // bytes received before the hangup may not have been reported
			c.readPipelined()
			if c.clientState() != clientPresent {
				body.Close()
				return
			}
			hangup = nil
		case <-c.dataArrived:
			if c.mayHaveUnread = true; c.readPipelined() {
				hangup = c.hangup
			}
		case <-finished:
			return
		}
	}
}
