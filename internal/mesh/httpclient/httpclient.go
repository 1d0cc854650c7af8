// Package httpclient provides the HTTP client with which the processes of the mesh and the users of its client library
// call the mesh. It defines the client's connection settings and imports no other package of the mesh. The package
// starts no goroutines. Its functions are safe for concurrent use.
package httpclient

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// defaultUserTimeout is the Timeouts.User of New. It detects peers that have lost power or are partitioned from
	// the network, because such peers close no connection.
	defaultUserTimeout = 1500 * time.Millisecond
	// keepAliveIdle is how long a connection is idle before the first keep-alive probe.
	keepAliveIdle = time.Second
	// keepAliveInterval is the time between two keep-alive probes. The kernel counts in whole seconds, so that Go
	// rounds the interval up to one second.
	keepAliveInterval = 500 * time.Millisecond
	// keepAliveCount is the number of unacknowledged probes after which the connection is closed.
	keepAliveCount = 3
	// idleConnsPerPeer is the maximum number of idle connections to one peer. It limits the file descriptors that
	// stay open after a burst of calls.
	idleConnsPerPeer = 4
	// idleConnTimeout is how long an idle connection is kept. After that, connections to machines that no longer
	// exist are closed, too.
	idleConnTimeout = 30 * time.Second
)

// Timeouts bound how long a connection may get no response from its peer. A timeout of 0 means no limit.
type Timeouts struct {
	Dial time.Duration // maximum time to open a connection
	User time.Duration // TCP_USER_TIMEOUT: maximum time for which sent bytes or probes may be unacknowledged
}

// New returns a client for HTTP/1.1. It detects the loss of a peer on a kept connection within about two seconds.
// Opening a connection takes at most dialTimeout; a dialTimeout of 0 means no limit. The client follows no redirects
// and uses no proxy. The caller must close the client's idle connections at the end.
func New(dialTimeout time.Duration) *http.Client {
	return NewWithTimeouts(Timeouts{Dial: dialTimeout, User: defaultUserTimeout})
}

// NewWithTimeouts is like New, but sets all timeouts. It serves callers that detect the loss of a peer themselves, or
// whose own network link may be slow.
func NewWithTimeouts(timeouts Timeouts) *http.Client {
	dialer := &net.Dialer{
		Timeout: timeouts.Dial,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: setUserTimeout(timeouts.User),
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			Protocols:           protocols,
			DisableCompression:  true,
			MaxIdleConnsPerHost: idleConnsPerPeer,
			IdleConnTimeout:     idleConnTimeout,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// setUserTimeout returns a function that sets TCP_USER_TIMEOUT on a connection before the connection is opened.
func setUserTimeout(timeout time.Duration) func(_, _ string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var optionErr error
		err := c.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(
				int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return optionErr
	}
}
