package http1

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"caperarch/internal/lab/testbed"
	"caperarch/internal/proxy/call"
)

// Guards against a success that no server gave: a served answer whose status is none of HTTP was written as 200.
func TestAnswerWithoutStatusIsNoSuccess(t *testing.T) {
	for _, dialect := range []bool{true, false} {
		for _, status := range []int{0, 20, 99, 100, 199, 600, 999} {
			for _, streamed := range []bool{true, false} {
				engine := newFakeEngine(t, 0, dialect)
				c := engine.dial(t)
				c.send("GET /look/a HTTP/1.1\r\nHost: a\r\nX-Request-Id: 1\r\nX-Priority-Class: look\r\nX-Timeout: 1000m\r\n\r\n")
				answer := call.Answer{Kind: call.Served, Status: status, Body: []byte("failed")}
				body, _ := newTestBody()
				if streamed {
					answer.Stream = body
				}
				testbed.Wait(t, "the submitted request", engine.submitted).replies <- answer
				c.expectResponse(http.StatusBadGateway, "")
				if streamed {
					testbed.Wait(t, "the body of the answer to be closed", body.closed)
				}
			}
		}
	}
}

// Guards against a response that nobody reads: a client that reads only after it has sent its whole body blocks while
// the front sends a long response and leaves the body unread.
func TestEarlyStreamedResponseReachesClientThatSendsItsBodyFirst(t *testing.T) {
	const bodyBytes, responseBytes = 32 << 20, 32 << 20
	engine := newFakeEngine(t, 0, true)
	engine.target.MaxBodyBytes = 2 * bodyBytes
	c := engine.dial(t)
	body, writer := newTestBody()
	go func() {
		_, _ = io.CopyN(writer, zeroReader{}, responseBytes)
		writer.Close()
	}()
	go func() {
		submitted := <-engine.submitted
		submitted.replies <- call.Answer{Kind: call.Served, Status: http.StatusOK, Stream: body}
	}()
	c.send(fmt.Sprintf("POST /run/a HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", bodyBytes))
	if n, err := io.CopyN(c, zeroReader{}, bodyBytes); err != nil {
		t.Fatalf("the client sent %d bytes of its body: %v", n, err)
	}
	response, err := http.ReadResponse(c.r, nil)
	if err != nil {
		t.Fatal(err)
	}
	n, err := io.Copy(io.Discard, response.Body)
	if err != nil || n != responseBytes || !response.Close {
		t.Errorf("the client received %d bytes, error %v, the connection closes: %v; want %d bytes, and that it closes",
			n, err, response.Close, responseBytes)
	}
}

// zeroReader is an endless body.
type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) { return len(p), nil }
