package testbed

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// NewHTTPNode starts a node that speaks HTTP/1.1. Its answer to a request is "done" and the request's id.
func NewHTTPNode(t TB, id string, l *ArrivalLog) *Node {
	t.Helper()
	return newNode(t, id, l, func(n *Node, l net.Listener) func() {
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go n.http(c)
			}
		}()
		return func() { _ = l.Close() }
	})
}

func (n *Node) http(c net.Conn) {
	defer c.Close()
	for r := bufio.NewReader(c); ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil || !n.answer(c, req, string(body)) {
			return
		}
	}
}

// answer answers a request; false: the connection is to be closed.
func (n *Node) answer(c net.Conn, req *http.Request, body string) bool {
	load := ""
	if n.Load != nil {
		load = n.Load()
	}
	say := func(status int, header, text string) bool {
		if load != "" {
			header += "X-Server-Load: " + load + "\r\n"
		}
		_, err := fmt.Fprintf(c, "HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(text), text)
		return err == nil
	}
	id := req.Header.Get("X-Request-ID")
	if id == "" {
		n.Probes.Add(1)
		if req.RequestURI == "/metrics/load" && load != "" || req.RequestURI == "/alive" {
			return say(http.StatusOK, "", load)
		}
		return say(http.StatusNotFound, "", "")
	}
	text := "done " + id
	millis, _ := strconv.Atoi(strings.TrimSuffix(req.Header.Get("X-Timeout"), "m"))
	act := n.act(Arrival{
		ID: id, Key: req.Header.Get("Idempotency-Key"), Class: req.Header.Get("X-Priority-Class"),
		Method: req.Method, Body: body,
		Timeout: time.Duration(millis) * time.Millisecond,
	})
	switch act {
	case Reject:
		return say(http.StatusServiceUnavailable, "X-Not-Processed: 1\r\n", "")
	case Fail:
		return say(http.StatusInternalServerError, "", "")
	case Busy:
		return say(http.StatusServiceUnavailable, "", "")
	case Hang:
		_, _ = io.Copy(io.Discard, c) // until the other side has had enough
		return false
	case Reset:
		n.breakConn(c.RemoteAddr().String())
		return false
	case Truncate:
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text[:len(text)/2])
		return false
	case Garbage:
		_, _ = io.WriteString(c, "SMTP ready\r\n\r\n")
		return false
	case Slow:
		n.slow()
	}
	return say(http.StatusOK, "", text)
}
