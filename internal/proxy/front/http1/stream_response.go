package http1

import (
	"cmp"
	"errors"
	"io"
	"net/http"
	"time"

	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/h1"
	"caperarch/internal/proxy/stream"
)

// streamResponse forwards a response as it comes, and returns whether the connection can stay open.
func (c *conn) streamResponse(reply *call.Answer, body call.Body) bool {
	defer body.Close()
	response := h1.Response{Status: cmp.Or(reply.Status, http.StatusOK), Header: reply.Header, Length: body.Length()}
	classMetrics := c.metrics
	c.metrics = nil // the head alone is no outcome
	if !c.writeResponse(&response, nil) {
		return false
	}
	finished, joined := make(chan struct{}), make(chan struct{})
	defer func() {
		close(finished)
		<-joined // until then the other goroutine reads ahead
	}()
	go func() {
		defer close(joined)
		c.watchClient(body, finished)
	}()
	chunked := response.Length < 0
	complete, err := c.copyBody(body, chunked)
	if err != nil { // its client sees that by the missing end
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

// copyBody copies a body to the client and returns whether that was all of it. An error is the server's: without one
// the client did not take the body.
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

// watchClient watches a connection while a response is streamed, until finished is closed: a client that leaves must
// not occupy its server's connection, and what it sends is read ahead.
func (c *conn) watchClient(body call.Body, finished <-chan struct{}) {
	defer func() {
		if r := recover(); r != nil { // as in serve
			c.front.logPanic(r)
			body.Close()
		}
	}()
	for hangup := c.hangup; ; {
		select {
		case <-hangup:
			c.mayHaveUnread = true // what came before the end may not have been reported
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
