// Package httpclient makes the HTTP client with which the mesh's processes and the users of its
// client library call the mesh. It owns the settings of the client's connections, and imports no
// other package of the mesh. It owns no goroutines; New may be called from any goroutine.
package httpclient

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// defaultUserTimeout is Timeouts.User of New. It guards against peers without power or behind a
	// network partition, which close no connection.
	defaultUserTimeout = 1500 * time.Millisecond
	// keepAliveIdle is how long a connection is idle before the first probe.
	keepAliveIdle = time.Second
	// keepAliveInterval is the time between probes. The kernel counts it in whole seconds, so Go
	// makes this one second.
	keepAliveInterval = 500 * time.Millisecond
	// keepAliveCount is how many probes may go unanswered.
	keepAliveCount = 3
	// idleConnsPerPeer bounds the idle connections kept to one peer, so that a burst of calls does
	// not keep file descriptors open.
	idleConnsPerPeer = 4
	// idleConnTimeout is how long an idle connection is kept. It guards against keeping connections
	// to machines that no longer exist.
	idleConnTimeout = 30 * time.Second
)

// Timeouts bound how long a connection may be without a sign of its peer; a zero is no limit.
type Timeouts struct {
	Dial time.Duration // opening it
	User time.Duration // TCP_USER_TIMEOUT: bytes or probes that are sent and not acknowledged
}

// New returns a client for HTTP/1.1, with kept connections on which a peer without power is noticed
// within about two seconds. Opening a connection takes at most dialTimeout; zero is no limit. It
// follows no redirects and uses no proxy. The caller closes its idle connections in the end.
func New(dialTimeout time.Duration) *http.Client {
	return NewWithTimeouts(Timeouts{Dial: dialTimeout, User: defaultUserTimeout})
}

// NewWithTimeouts is New for callers that notice a silent peer by themselves, or whose own link may be
// slow.
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

// setUserTimeout returns what sets TCP_USER_TIMEOUT on a connection that is about to be opened.
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
