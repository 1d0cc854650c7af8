package sidecar

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"math"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"arrowgw/internal/wire"
	"arrowgw/policy"
)

const (
	bodyLimit   = 64 << 10  // bytes of a body, either way
	answerLimit = 512 << 10 // bytes of a whole answer on the wire, headers and framing included
	interimMost = 8         // 1xx answers that are read over before the one that counts
	idleMargin  = time.Second
)

// message is a request as it goes on to an upstream, but for its time-out.
type message struct {
	method string
	url    *url.URL
	host   string
	header http.Header // end-to-end ones; not changed any more
	body   []byte
}

// result is how an attempt ended.
type result struct {
	ending policy.Ending
	header http.Header
	body   []byte
	load   policy.Load
}

// upstream carries attempts and probes to the servers, over connections that it keeps. It is not
// http.Transport because that sends again by itself when a kept connection breaks: an attempt that
// nobody decided on.
type upstream struct {
	clock       clock
	dialTimeout time.Duration
	keep        time.Duration // connections idle for longer are not used again
	most        int           // connections at most
	reports     []string
	columns     wire.Columns
	probePath   string

	mu      sync.Mutex
	idle    map[string][]*conn // by address, the most recently used last
	open    int                // idle, in use or being opened
	sweeper *time.Timer        // set while there are idle ones
	dialled int
	stale   int // idle ones found closed by their server, or with bytes left over
}

// conn is a connection to a server; it carries one exchange at a time.
type conn struct {
	net.Conn
	r         *bufio.Reader
	limit     io.LimitedReader // what may still be read for this answer
	idleSince time.Duration
}

func newUpstream(cfg *Config, c clock) *upstream {
	u := &upstream{
		clock: c, dialTimeout: cfg.DialTimeout, reports: cfg.Reports, columns: cfg.Columns,
		// Well before the server closes it: a request written from then on would end as a reset.
		keep:      cfg.ConnIdle - min(idleMargin, cfg.ConnIdle/4),
		most:      cfg.upstreamConns(),
		probePath: "/alive",
		idle:      make(map[string][]*conn),
	}
	if cfg.Policy.Reports != 0 {
		u.probePath = "/metrics/load"
	}
	return u
}

// exchange is one attempt or probe under way.
type exchange struct {
	mu        sync.Mutex
	cancelled bool
	stop      func() // ends what it is at: dialling, or its connection
}

// cancel gives the exchange up. If its request is not yet on the way, it will not be sent.
func (x *exchange) cancel() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cancelled = true
	if x.stop != nil {
		x.stop()
	}
}

// begin enters what cancel has to end from now on. It returns false if the exchange is given up
// already, and then enters nothing: a second cancel must not close a connection that has gone back
// to the pool and may serve another exchange by then.
func (x *exchange) begin(stop func()) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cancelled {
		return false
	}
	x.stop = stop
	return true
}

func (x *exchange) givenUp() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.cancelled
}

// send starts an attempt that is given up at until. Its end goes to done, once.
func (u *upstream) send(address string, m *message, until time.Duration, done func(result)) *exchange {
	x := new(exchange)
	go func() {
		header := maps.Clone(m.header)
		req := &http.Request{Method: m.method, URL: m.url, Host: m.host, Header: header}
		if len(m.body) > 0 {
			req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(m.body)), int64(len(m.body))
		}
		res, body, ending := u.exchange(x, address, req, until)
		if res == nil {
			done(result{ending: ending})
			return
		}
		out := result{ending: policy.Errored, load: u.load(res.Header.Get("X-Server-Load"))}
		switch never := res.Header.Get("X-Not-Processed") == "1"; {
		case res.StatusCode == http.StatusOK:
			out.ending, out.header, out.body = policy.Served, res.Header, body
		case never && (res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusGatewayTimeout):
			out.ending = policy.TurnedAway
		}
		done(out)
	}()
	return x
}

// probe asks a server for its load report. The result goes to told, once.
func (u *upstream) probe(address string, now time.Duration, told func(ok bool, load policy.Load)) {
	go func() {
		req := &http.Request{
			Method: http.MethodGet, URL: &url.URL{Path: u.probePath}, Host: address,
			Header: http.Header{"User-Agent": nil},
		}
		res, body, _ := u.exchange(new(exchange), address, req, now+u.dialTimeout)
		if res == nil {
			told(false, policy.Load{})
			return
		}
		told(res.StatusCode == http.StatusOK, u.load(string(body)))
	}()
}

// exchange sends a request and reads its answer. Without a whole answer the ending says what is
// known: NoConnection until the last byte of the request is written, as it cannot have run before.
func (u *upstream) exchange(x *exchange, address string, req *http.Request, until time.Duration) (*http.Response, []byte, policy.Ending) {
	unsent := func() policy.Ending {
		if x.givenUp() {
			return policy.Cancelled
		}
		return policy.NoConnection
	}
	c, err := u.connect(x, address, until)
	if err != nil {
		return nil, nil, unsent()
	}
	if !x.begin(func() { c.Conn.Close() }) { // given up in the meantime: nothing may go out any more
		u.keepIdle(address, c)
		return nil, nil, policy.Cancelled
	}
	left := until - u.clock.now()
	if req.Header.Get("X-Request-Id") != "" {
		req.Header.Set("X-Timeout", strconv.FormatInt(max(1, left.Milliseconds()), 10)+"m")
	}
	// One write: it tells whether the last byte went out.
	var out bytes.Buffer
	if err := req.Write(&out); err != nil {
		u.discard(c)
		return nil, nil, unsent()
	}
	_ = c.SetDeadline(u.clock.at(until)) // fails only on a closed connection, as the write then does
	if _, err := c.Write(out.Bytes()); err != nil {
		u.discard(c)
		return nil, nil, unsent()
	}
	res, body, err := c.answer(req)
	switch {
	case err == nil && !res.Close && c.r.Buffered() == 0 && x.begin(nil):
		u.keepIdle(address, c)
	default: // broken, to be closed, with bytes left over behind the answer, or given up
		u.discard(c)
	}
	if err == nil {
		return res, body, policy.Served
	}
	var timeout net.Error
	switch {
	case x.givenUp():
		return nil, nil, policy.Cancelled
	case errors.As(err, &timeout) && timeout.Timeout():
		return nil, nil, policy.TimedOut
	}
	return nil, nil, policy.Broken // or malformed: it may have run
}

// answer reads one whole answer.
func (c *conn) answer(req *http.Request) (*http.Response, []byte, error) {
	c.limit.N = answerLimit
	for range interimMost {
		res, err := http.ReadResponse(c.r, req)
		if err != nil {
			return nil, nil, err
		}
		if res.StatusCode/100 == 1 {
			continue
		}
		body, err := io.ReadAll(io.LimitReader(res.Body, bodyLimit+1))
		if err == nil && len(body) > bodyLimit {
			err = errors.New("the body is too long")
		}
		return res, body, err
	}
	return nil, nil, errors.New("too many interim answers")
}

// connect returns a kept connection that still stands, or opens one.
func (u *upstream) connect(x *exchange, address string, until time.Duration) (*conn, error) {
	for {
		c, err := u.take(address)
		if err != nil {
			return nil, err
		}
		if c == nil {
			break
		}
		if c.usable() {
			return c, nil
		}
		u.mu.Lock()
		u.stale++
		u.mu.Unlock()
		u.discard(c)
	}
	limit := min(u.dialTimeout, until-u.clock.now())
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if !x.begin(cancel) {
		cancel()
	}
	var d net.Dialer
	d.KeepAlive = -1 // no use against a silent machine; the time-outs are
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		u.mu.Lock()
		u.open--
		u.mu.Unlock()
		return nil, err
	}
	c := &conn{Conn: raw}
	c.limit.R = raw
	c.r = bufio.NewReader(&c.limit)
	return c, nil
}

// take returns the most recently used idle connection, or nil once it has counted a new one that
// is to be opened. At the limit an idle connection to another server makes room.
func (u *upstream) take(address string) (*conn, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	fresh := u.clock.now() - u.keep
	if list := u.idle[address]; len(list) > 0 {
		c := list[len(list)-1]
		if c.idleSince > fresh {
			u.idle[address] = list[:len(list)-1]
			return c, nil
		}
		u.drop(address, len(list)) // even the last used is too old
	}
	if u.open >= u.most {
		oldest, since := "", time.Duration(math.MaxInt64)
		for a, list := range u.idle {
			if len(list) > 0 && list[0].idleSince < since {
				oldest, since = a, list[0].idleSince
			}
		}
		if oldest == "" {
			return nil, errors.New("no descriptor is left for a connection")
		}
		u.drop(oldest, 1)
	}
	u.open++
	u.dialled++
	return nil, nil
}

// drop closes the first n idle connections to an address. The caller holds the lock.
func (u *upstream) drop(address string, n int) {
	list := u.idle[address]
	for _, c := range list[:n] {
		c.Conn.Close()
	}
	u.open -= n
	if rest := list[n:]; len(rest) > 0 {
		u.idle[address] = rest
	} else {
		delete(u.idle, address)
	}
}

// keepIdle puts a connection back.
func (u *upstream) keepIdle(address string, c *conn) {
	_ = c.SetDeadline(time.Time{}) // a closed one is found out before it is used
	u.mu.Lock()
	defer u.mu.Unlock()
	c.idleSince = u.clock.now()
	u.idle[address] = append(u.idle[address], c)
	if u.sweeper == nil {
		u.sweeper = time.AfterFunc(u.keep, u.sweep)
	}
}

// sweep closes the connections that have been idle for too long.
func (u *upstream) sweep() {
	u.mu.Lock()
	defer u.mu.Unlock()
	now, next := u.clock.now(), time.Duration(math.MaxInt64)
	for address, list := range u.idle {
		old := 0
		for old < len(list) && now-list[old].idleSince >= u.keep {
			old++
		}
		if old < len(list) {
			next = min(next, list[old].idleSince+u.keep-now)
		}
		u.drop(address, old)
	}
	u.sweeper = nil
	if len(u.idle) > 0 {
		u.sweeper = time.AfterFunc(next, u.sweep)
	}
}

// close closes the idle connections to an address.
func (u *upstream) close(address string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.drop(address, len(u.idle[address]))
}

func (u *upstream) discard(c *conn) {
	c.Conn.Close()
	u.mu.Lock()
	u.open--
	u.mu.Unlock()
}

// usable tells whether an idle connection still stands: its server has neither closed or reset it
// (at its idle time-out, when it drains, when it restarts) nor sent what nobody asked for.
func (c *conn) usable() bool {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	standing := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		standing = err == syscall.EAGAIN
		return true // never wait
	})
	return err == nil && standing
}

// counters are for the log.
func (u *upstream) counters() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return map[string]int{"open": u.open, "dialled": u.dialled, "stale": u.stale}
}

// load reads a report of the form "TEXT name=value, name=value".
func (u *upstream) load(report string) policy.Load {
	report, ok := strings.CutPrefix(strings.TrimSpace(report), "TEXT ")
	if !ok {
		return policy.Load{}
	}
	values := wire.Report{N: min(len(u.reports), len(wire.Report{}.Values))}
	for i := range values.N {
		values.Values[i] = float32(math.NaN()) // absent
	}
	for field := range strings.SplitSeq(report, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		for i := range values.N {
			if u.reports[i] == name {
				if v, err := strconv.ParseFloat(value, 32); err == nil {
					values.Values[i] = float32(v)
				}
			}
		}
	}
	return u.columns.Load(values)
}
