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

// NewHTTPNode starts a node that speaks HTTP/1.1. It answers a request with "done" and the request's ID.
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

// answer answers a request. It returns false if the connection has to be closed.
func (n *Node) answer(c net.Conn, req *http.Request, body string) bool {
	load := ""
	if n.Load != nil {
		load = n.Load()
	}
	respond := func(status int, header, text string) bool {
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
			return respond(http.StatusOK, "", load)
		}
		return respond(http.StatusNotFound, "", "")
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
		return respond(http.StatusServiceUnavailable, "X-Not-Processed: 1\r\n", "")
	case Fail:
		return respond(http.StatusInternalServerError, "", "")
	case Busy:
		return respond(http.StatusServiceUnavailable, "", "")
	case Hang:
		_, _ = io.Copy(io.Discard, c) // until the client closes the connection
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
		n.sleepServiceTime()
	}
	return respond(http.StatusOK, "", text)
}
