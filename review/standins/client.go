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
	closes    bool // the connection closes after the answer
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
	if _, err := io.WriteString(c, requestHead(host, id, length)); err != nil {
		return answer{err: err}
	}
	received := make(chan answer, 1)
	go func() { received <- readAnswer(bufio.NewReader(c)) }()
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

// requestHead returns the head of a POST request with a body of length bytes.
func requestHead(host, id string, length int) string {
	return fmt.Sprintf("POST /orders/%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nX-Caperarch-Timeout-Remaining: %d\r\n"+
		"Content-Length: %d\r\n\r\n", id, host, attemptIDField, id, clientTimeout.Milliseconds(), length)
}

// keptConn is a client's connection to a sidecar, which it keeps for many requests.
type keptConn struct {
	mesh    *mesh
	sidecar int
	conn    net.Conn // nil: not open
	reader  *bufio.Reader
}

// send sends a POST request with a short body, on the open connection or a new one, and returns the answer.
func (k *keptConn) send(host, id string, length int) answer {
	if k.conn == nil {
		c, err := net.DialTimeout("tcp", k.mesh.address(k.mesh.sidecarHost(k.sidecar), outboundPort), time.Second)
		if err != nil {
			return answer{err: err}
		}
		k.conn, k.reader = c, bufio.NewReader(c)
	}
	_ = k.conn.SetDeadline(time.Now().Add(clientTimeout))
	got := answer{}
	_, got.err = io.WriteString(k.conn, requestHead(host, id, length)+strings.Repeat("x", length))
	if got.err == nil {
		got = readAnswer(k.reader)
	}
	if got.err != nil || got.closes {
		k.close()
	}
	return got
}

// close closes the connection, if it is open.
func (k *keptConn) close() {
	if k.conn != nil {
		_ = k.conn.Close()
		k.conn = nil
	}
}

// readAnswer reads a complete answer.
func readAnswer(reader *bufio.Reader) answer {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{err: err}
	}
	return answer{
		status: response.StatusCode, signature: response.Header.Get(signatureField), body: string(body),
		closes: response.Close,
	}
}

// String describes an answer for the record.
func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer (%v)", a.err)
	}
	return fmt.Sprintf("status %d, signature %q, body of %d bytes %q", a.status, a.signature, len(a.body), a.body)
}
