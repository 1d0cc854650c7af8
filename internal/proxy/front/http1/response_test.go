package http1

import (
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
