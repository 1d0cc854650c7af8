package rpc

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"caperarch/internal/mesh/errs"
)

const (
	// userTimeout is how long sent bytes or probes may stay unacknowledged before the connection is given up. It guards
	// against peers without power or behind a cut, which say nothing.
	userTimeout = 1500 * time.Millisecond
	// keepAliveIdle is how long a held connection is quiet before the first probe.
	keepAliveIdle = time.Second
	// keepAliveInterval is the time between probes. The kernel counts it in whole seconds, so Go makes this one second.
	keepAliveInterval = 500 * time.Millisecond
	// keepAliveCount is how many probes may go unanswered.
	keepAliveCount = 3
	// heldPerPeer bounds the idle connections kept to one peer, so that a burst of calls does not hold descriptors.
	heldPerPeer = 4
	// heldFor is how long an idle connection is kept. It guards against holding connections to machines that are gone.
	heldFor = 30 * time.Second
	// answerLimit bounds an answer. It guards the caller's memory against a peer gone wrong, and leaves room for the
	// largest configuration (64 MiB) with what is put round it.
	answerLimit = 72 << 20
	// failureLimit bounds what is read of an answer that is an error.
	failureLimit = 16 << 10
)

// NewClient gives a client for Call: HTTP/1.1, with held connections on which a peer without power is noticed within
// about two seconds. Opening a connection takes at most dial. It follows no redirects and uses no proxy.
func NewClient(dial time.Duration) *http.Client {
	dialer := &net.Dialer{
		Timeout: dial,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: setUserTimeout,
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			Protocols:           protocols,
			DisableCompression:  true,
			MaxIdleConnsPerHost: heldPerPeer,
			IdleConnTimeout:     heldFor,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// Call posts q as JSON and gives the answer. An answer that is not 2xx comes back as an error of the kind the peer
// said, and of Internal if it said none. No answer, or one that breaks off, or one that comes after ctx is done, is
// Unreachable: whether the peer did what was asked is then unclear.
func Call[Q, A any](ctx context.Context, c *http.Client, url string, q *Q) (*A, error) {
	body, err := json.Marshal(q)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "encode the request to %s", url)
	}
	return Post[A](ctx, c, url, body)
}

// Post is Call with a body that is there already, and need not be JSON.
func Post[A any](ctx context.Context, c *http.Client, url string, body []byte) (*A, error) {
	return exchange[A](ctx, c, http.MethodPost, url, bytes.NewReader(body))
}

// Get is Call without a body, for what is served by HandleGet.
func Get[A any](ctx context.Context, c *http.Client, url string) (*A, error) {
	return exchange[A](ctx, c, http.MethodGet, url, nil)
}

func exchange[A any](ctx context.Context, c *http.Client, method, url string, asked io.Reader) (*A, error) {
	r, err := http.NewRequestWithContext(ctx, method, url, asked)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "request to %s", url)
	}
	if asked != nil {
		r.Header.Set("Content-Type", contentJSON)
	}
	answer, err := c.Do(r)
	if err != nil {
		return nil, errs.Wrap(err, errs.Unreachable, "no answer")
	}
	defer answer.Body.Close()
	if answer.StatusCode < 200 || answer.StatusCode > 299 {
		return nil, failureOf(url, answer)
	}
	body, err := readWhole(answer.Body, answer.ContentLength, answerLimit)
	if err != nil {
		return nil, errs.Wrap(err, errs.Unreachable, "answer of %s", url)
	}
	a := new(A)
	if err := json.Unmarshal(body, a); err != nil {
		return nil, errs.Wrap(err, errs.Internal, "answer of %s", url)
	}
	return a, nil
}

// failureOf turns an answer that is not 2xx into an error of the kind its header says. The message is the peer's, where
// one can be read.
func failureOf(url string, answer *http.Response) error {
	kind := errs.ParseKind(answer.Header.Get(faultHeader))
	body, _ := io.ReadAll(io.LimitReader(answer.Body, failureLimit))
	var said failure
	if json.Unmarshal(body, &said) != nil || said.ErrorMessage == "" {
		return errs.New(kind, "%s answers %s", url, answer.Status)
	}
	return errs.New(kind, "%s answers %d: %s", url, answer.StatusCode, said.ErrorMessage)
}
