package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// clientTimeout is how long a client waits for an answer.
	clientTimeout = routeTimeout
	// bodyPart is how many bytes of a long body a client sends at a time, every bodyPause.
	bodyPart  = 32 << 10
	bodyPause = 20 * time.Millisecond
	// shortBody is the length of the body of a short request.
	shortBody = 100
)

// answer is what a client received for a request.
type answer struct {
	status    int // 0: no complete answer
	signature string
	body      string
	err       error
}

// send sends a POST request with a body of length bytes to a sidecar, on a new connection, and returns the answer. A
// long body is sent part by part, until the answer arrives.
func (m *mesh) send(sidecar int, host, id string, length int) answer {
	c, err := net.DialTimeout("tcp", m.address(m.sidecarHost(sidecar), outboundPort), time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(clientTimeout))
	head := fmt.Sprintf("POST /orders/%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nX-Caperarch-Timeout-Remaining: %d\r\n"+
		"Content-Length: %d\r\n\r\n", id, host, attemptIDField, id, clientTimeout.Milliseconds(), length)
	if _, err := io.WriteString(c, head); err != nil {
		return answer{err: err}
	}
	received := make(chan answer, 1)
	go func() { received <- readAnswer(c) }()
	for sent := 0; sent < length; sent += bodyPart {
		if _, err := io.WriteString(c, strings.Repeat("x", min(bodyPart, length-sent))); err != nil {
			break // the answer tells why
		}
		select {
		case got := <-received:
			return got
		case <-time.After(bodyPause):
		}
	}
	return <-received
}

// readAnswer reads a complete answer.
func readAnswer(c net.Conn) answer {
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{err: err}
	}
	return answer{status: response.StatusCode, signature: response.Header.Get(signatureField), body: string(body)}
}

// String describes an answer for the record.
func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer (%v)", a.err)
	}
	return fmt.Sprintf("status %d, signature %q, body of %d bytes %q", a.status, a.signature, len(a.body), a.body)
}
