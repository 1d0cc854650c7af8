// Package http1 carries attempts and probes to servers over HTTP/1.1.
package http1

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"maps"
	"math"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/clock"
	"caperarch/internal/proxy/h1"
	"caperarch/internal/proxy/stream"
	"caperarch/internal/proxy/wire"
	"caperarch/policy"

	"golang.org/x/sys/unix"
)

const (
	idleMargin = time.Second
	settleTime = 10 * time.Millisecond // see take
	holdTime   = 2 * time.Millisecond  // see write; of the time that there is
	holdPart   = 50                    // no more than one part in so many,
	holdLeast  = 200 * time.Microsecond
	soon       = 2 * holdTime // a reset that the request itself brings has come by then
)

// Config says how servers are reached.
type Config struct {
	Clock            clock.Clock
	DialTimeout      time.Duration // how long a connection may take to come up
	IdleTimeout      time.Duration // servers close connections that stood idle so long
	MaxConns         int           // connections to all servers together
	LoadFields       []string      // names of a load report's fields, in the order of Columns; none: there are no reports
	Columns          wire.Columns
	OnRequestWritten func() // takes that an attempt was written whole; nil: nobody counts
	Dialect          *Dialect
	ReuseDelay       time.Duration // connections rest so long after an answer; 0: settleTime, negative: not at all
	UserTimeout      time.Duration // TCP_USER_TIMEOUT: a machine that acknowledges nothing for so long is gone; 0: the system's own

	// Dial opens connections in place of the system's own dialer, in memory for instance; nil: the system's. On a
	// connection that is no socket nothing can be seen without reading it, so what came while it was idle is found
	// only by the next answer's id.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Dialect is how requests and answers go where that is not the daemon's own way. nil: the daemon's own.
type Dialect struct {
	TimeoutField string // field that tells a server how many milliseconds are left
	// MatchesRequest says whether an answer belongs to a request; one that doesn't is read over, and the next one is looked at.
	MatchesRequest func(m *call.Message, res *http.Response) bool
	// Classify says what an answer's head proves. Only what is Served may be passed on while it comes.
	Classify func(res *http.Response) (policy.Ending, policy.Load)
	// NewSendID is the value of a field that each attempt has anew, so that its receiver can tell a second send of a request
	// from a late copy of the first; SendIDField is the field's name. nil: there is none.
	NewSendID   func() string
	SendIDField string
}

// Transport carries attempts and probes to the servers, over connections that it keeps. It is not
// http.Transport because that sends again by itself when a kept connection breaks: an attempt that
// nobody decided on.
type Transport struct {
	clock       clock.Clock
	dialTimeout time.Duration
	keep        time.Duration // connections idle for longer are not used again
	settle      time.Duration // connections rest so long after an answer
	most        int           // connections at most
	reports     []string
	columns     wire.Columns
	probePath   string

	dialect  *Dialect
	silence  time.Duration
	dial     func(ctx context.Context, address string) (net.Conn, error)
	running  sync.WaitGroup // attempts and probes
	wrote    func()
	breaking atomic.Bool // so many connections are, that write keeps the last byte back

	mu      sync.Mutex
	under   map[*exchange]struct{} // attempts and probes under way
	closed  bool
	idle    map[*host][]*conn // the most recently used last
	open    int               // idle, in use or being opened
	sweeper *time.Timer       // set while there are idle ones
	dialled int
	stale   int // idle ones found closed by their server, or with bytes left over
	broken  int // idle ones that broke under the request that they were taken for
	ages    ages
}

// host is a server at an address. One that comes to a gone one's address is another host: connections
// to the old one are not its own.
type host struct {
	u       *Transport
	address string
	fields  []h1.Field // that each request has besides its own
	left    bool       // no longer listed: connections to it are not kept. Under the transport's lock, as is the next.
	ages    ages       // of its connections that broke, and that stood
}

// conn is a connection to a server; it carries one exchange at a time.
type conn struct {
	net.Conn
	raw       syscall.RawConn // nil: it is no socket
	r         *bufio.Reader
	limit     io.LimitedReader // what may still be read for this answer
	idleSince time.Duration
	rested    time.Duration // before it was taken for the exchange under way; 0: it is new
}

// New makes a transport that has nothing open yet. It needs no closing beyond that of its servers.
func New(cfg Config) *Transport {
	u := &Transport{
		clock: cfg.Clock, dialTimeout: cfg.DialTimeout, reports: cfg.LoadFields, columns: cfg.Columns,
		// Well before the server closes it: a request written from then on would end as a reset.
		keep:      cfg.IdleTimeout - min(idleMargin, cfg.IdleTimeout/4),
		settle:    max(0, cmp.Or(cfg.ReuseDelay, settleTime)),
		dialect:   cfg.Dialect,
		silence:   cfg.UserTimeout,
		most:      cfg.MaxConns,
		probePath: "/alive",
		wrote:     cfg.OnRequestWritten,
		idle:      make(map[*host][]*conn),
		under:     make(map[*exchange]struct{}),
	}
	if u.dial = cfg.Dial; u.dial == nil {
		u.dial = u.dialSystem
	}
	if u.wrote == nil {
		u.wrote = func() {}
	}
	if len(cfg.LoadFields) > 0 {
		u.probePath = "/metrics/load"
	}
	return u
}

// Resize bounds the connections anew. Idle ones over the bound are closed at once, the others as they end.
func (u *Transport) Resize(most int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.most = most
	for to, list := range u.idle {
		if n := min(len(list), u.open-most); n > 0 {
			u.drop(to, n)
		}
	}
}

// Busy is how many connections are in use or being opened.
func (u *Transport) Busy() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := u.open
	for _, list := range u.idle {
		n -= len(list)
	}
	return n
}

// Server is a server at an address.
func (u *Transport) Server(address string) call.Server { return &host{u: u, address: address} }

// ServerWith is a server at an address whose requests have some fields besides their own, as far as they are no probes.
func (u *Transport) ServerWith(address string, fields ...h1.Field) call.Server {
	return &host{u: u, address: address, fields: fields}
}

// Send starts an attempt.
func (h *host) Send(m *call.Message, until time.Duration, done func(call.Result)) call.Attempt {
	return h.u.send(h, m, until, done)
}

// Probe asks for a load report.
func (h *host) Probe(told func(ok bool, load policy.Load)) { h.u.probe(h, h.u.clock.Now(), told) }

// CloseIdle closes the idle connections.
func (h *host) CloseIdle() { h.u.close(h) }

// Deregister takes that the server is no longer listed.
func (h *host) Deregister() { h.u.leave(h) }

// exchange is one attempt or probe under way.
type exchange struct {
	mu        sync.Mutex
	cancelled bool
	stop      func() // ends what it is at: dialling, or its connection
}

// Cancel gives the exchange up. If its request is not yet on the way, it will not be sent.
func (x *exchange) Cancel() {
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

// enter counts an exchange that begins.
func (u *Transport) enter() *exchange {
	x := new(exchange)
	u.running.Add(1)
	u.mu.Lock()
	defer u.mu.Unlock()
	x.cancelled = u.closed
	u.under[x] = struct{}{}
	return x
}

func (u *Transport) leaveExchange(x *exchange) {
	u.mu.Lock()
	delete(u.under, x)
	u.mu.Unlock()
	u.running.Done()
}

// Close calls off what is under way, closes all connections and returns when nothing of it is left.
// Nothing may be sent by then or later.
func (u *Transport) Close() {
	u.mu.Lock()
	u.closed = true
	under := slices.Collect(maps.Keys(u.under))
	u.mu.Unlock()
	for _, x := range under { // which take their own lock first
		x.Cancel()
	}
	u.running.Wait()
	u.mu.Lock()
	defer u.mu.Unlock()
	for to, list := range u.idle {
		u.drop(to, len(list))
	}
	if u.sweeper != nil {
		u.sweeper.Stop()
	}
}

// send starts an attempt that is given up at until. Its end goes to done, once.
func (u *Transport) send(to *host, m *call.Message, until time.Duration, done func(call.Result)) *exchange {
	x := u.enter()
	go func() {
		defer u.leaveExchange(x)
		res, body, ending := u.exchange(x, to, m, until)
		if res == nil {
			done(call.Result{Ending: ending})
			return
		}
		judged, load := u.judge(res)
		if s := streamOf(res); s != nil { // it is passed on while it comes
			over := func() {}
			done(call.Result{
				Ending: policy.Served, Status: res.StatusCode, Header: res.Header, Stream: s, Detached: true, OnStreamEnd: func(end func()) { over = end }, Load: load,
			})
			u.follow(x, to, s)
			over()
			return
		}
		done(call.Result{Ending: judged, Status: res.StatusCode, Header: res.Header, Body: body, Load: load})
	}()
	return x
}

// refused says whether an answer is a server's refusal of a request that may come again under its id. A second copy of
// it, on a connection that is used again, could be read as the answer to that.
func (u *Transport) refused(res *http.Response) bool {
	if u.dialect == nil {
		return false
	}
	ending, _ := u.dialect.Classify(res)
	return ending == policy.NotProcessed
}

// judge says what an answer's head proves.
func (u *Transport) judge(res *http.Response) (policy.Ending, policy.Load) {
	if u.dialect != nil {
		return u.dialect.Classify(res)
	}
	load := u.load(res.Header.Get("X-Server-Load"))
	switch never := res.Header.Get("X-Not-Processed") == "1"; {
	case res.StatusCode == http.StatusOK:
		return policy.Served, load
	case never && (res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusGatewayTimeout):
		return policy.NotProcessed, load
	case res.StatusCode/100 == 4 && res.StatusCode != http.StatusTooManyRequests && res.StatusCode != http.StatusRequestTimeout:
		return policy.InvalidRequest, load // RFC 9110, 15.5: the client's fault; 408 and 429 are no word on the request
	}
	return policy.Errored, load
}

// probe asks a server for its load report. The result goes to told, once.
func (u *Transport) probe(to *host, now time.Duration, told func(ok bool, load policy.Load)) {
	x := u.enter()
	go func() {
		defer u.leaveExchange(x)
		m := &call.Message{Method: http.MethodGet, URI: u.probePath, Host: to.address}
		res, body, ending := u.exchange(x, to, m, now+u.dialTimeout)
		if res == nil && ending == policy.ConnectionLost {
			// A kept connection that its server was closing tells nothing of the server, and a probe has no effect: once
			// more. Without this servers that close often pass for ones that can't tell their load, and get no turns.
			res, body, _ = u.exchange(x, to, m, now+u.dialTimeout)
		}
		if res == nil {
			told(false, policy.Load{})
			return
		}
		told(res.StatusCode == http.StatusOK, u.load(string(body)))
	}()
}

// bytes is the request as it is written, told how long its answer is waited for. A client's headers
// have been read by net/http, so none holds what would end it early.
func (u *Transport) bytesOf(to *host, m *call.Message, left time.Duration) []byte {
	var out bytes.Buffer
	out.Grow(512 + len(m.Body))
	put := func(parts ...string) {
		for _, part := range parts {
			out.WriteString(part)
		}
	}
	line := func(name, value string) { put(name, ": ", value, "\r\n") }
	put(m.Method, " ", m.URI, " HTTP/1.1\r\n")
	line("Host", m.Host)
	timeout, unit, fields := "X-Timeout", "m", []h1.Field(nil)
	if u.dialect != nil {
		timeout, unit = u.dialect.TimeoutField, ""
	}
	if m.Header != nil { // else it is a probe
		fields = to.fields
	}
	if u.dialect != nil && m.Header != nil || m.Header.Get("X-Request-ID") != "" {
		line(timeout, strconv.FormatInt(max(1, left.Milliseconds()), 10)+unit)
	}
	for _, f := range fields {
		line(f.Name, f.Value)
	}
	if u.dialect != nil && u.dialect.NewSendID != nil && m.Header != nil {
		line(u.dialect.SendIDField, u.dialect.NewSendID())
	}
	for name, values := range m.Header {
		for _, value := range values {
			if name != timeout {
				line(name, value)
			}
		}
	}
	switch {
	case m.Upload != nil && m.Upload.Length < 0:
		line("Transfer-Encoding", "chunked")
	case m.Upload != nil:
		line("Content-Length", strconv.FormatInt(m.Upload.Length, 10))
	case m.Method != http.MethodGet || len(m.Body) > 0:
		line("Content-Length", strconv.Itoa(len(m.Body)))
	}
	out.WriteString("\r\n")
	if m.Upload != nil && m.Upload.Length < 0 {
		out.WriteString(strconv.FormatInt(int64(len(m.Body)), 16) + "\r\n")
		out.Write(m.Body)
		out.WriteString("\r\n")
		return out.Bytes()
	}
	out.Write(m.Body)
	return out.Bytes()
}

// exchange sends a request and reads its answer. Without a whole answer the ending says what is
// known: NoConnection until the last byte of the request is written, as it cannot have run before.
func (u *Transport) exchange(x *exchange, to *host, m *call.Message, until time.Duration) (*http.Response, []byte, policy.Ending) {
	unsent := func(err error) policy.Ending {
		switch {
		case x.givenUp():
			return policy.Cancelled
		case errors.Is(err, errNoRoom), errors.Is(err, errLate), errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE):
			return policy.NotSent // our own lack: no word on the server
		}
		return policy.NoConnection
	}
	c, err := u.connect(x, to, until)
	if err != nil {
		return nil, nil, unsent(err)
	}
	if !x.begin(func() { c.Conn.Close() }) { // given up in the meantime: nothing may go out any more
		u.keepIdle(to, c)
		return nil, nil, policy.Cancelled
	}
	begun := u.clock.Now()
	if begun >= until && x.begin(nil) { // the process was stopped since it was decided: no word on the server
		u.keepIdle(to, c)
		return nil, nil, policy.NotSent
	}
	_ = c.SetDeadline(u.clock.At(until)) // fails only on a closed connection, as the write then does
	if m.Upload != nil {
		wait := until - begun
		early, err := c.upload(u.bytesOf(to, m, wait), m)
		if err != nil {
			u.discard(c)
			if errors.Is(err, errClaimed) || errors.Is(err, errSource) {
				return nil, nil, policy.NotSent // the client's lack: no word on the server
			}
			return nil, nil, unsent(err)
		}
		until = u.clock.Now() + wait // what was given for the answer counts from the last byte
		_ = c.SetDeadline(u.clock.At(until))
		if early { // it does not want the rest, and its answer says why
			res, _, err := c.answer(u, m, until)
			u.discard(c)
			switch {
			case x.givenUp():
				return nil, nil, policy.Cancelled
			case err != nil:
				return nil, nil, policy.NoConnection
			case res.StatusCode == http.StatusOK, streamOf(res) != nil: // of what? nobody knows what it did
				return nil, nil, policy.ConnectionLost
			}
			return res, nil, policy.Errored
		}
	} else if err := u.write(c, u.bytesOf(to, m, until-begun), m.Method != http.MethodGet, until); err != nil {
		if !x.givenUp() { // else it was closed by ourselves
			u.lost(to, c)
		}
		u.discard(c)
		return nil, nil, unsent(err)
	}
	if m.Header != nil { // else it is a probe
		u.wrote()
	}
	written := u.clock.Now()
	res, body, err := c.answer(u, m, until)
	switch {
	case err == nil && streamOf(res) != nil:
		return res, nil, policy.Served // its connection is its own till its end
	case err == nil && !res.Close && c.r.Buffered() == 0 && !u.refused(res) && x.begin(nil):
		u.keepIdle(to, c)
	default: // broken, to be closed, with bytes left over behind the answer, a refusal, or given up
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
		if u.clock.Now()-begun >= u.dialTimeout { // a shorter wait tells nothing of the machine
			u.doubt(to, begun)
		}
		return nil, nil, policy.TimedOut
	}
	if u.clock.Now()-written < soon { // later it has nothing to do with the connection's age: an answer was cut off
		u.lost(to, c)
	}
	return nil, nil, policy.ConnectionLost // or malformed: it may have run
}

// write writes a request. An error says that its last byte did not go out: so it never ran (the protocol page: a server begins with the
// last byte). As a rule it is one write, which tells. Where connections break under requests it keeps the last byte back for holdTime:
// a reset that the first bytes bring, of a connection that was being closed or that a machine between had forgotten, comes
// meanwhile and proves the same. Without that such a request may have run for all that can be known. It does not matter where
// repeating has no effect.
func (u *Transport) write(c *conn, request []byte, matters bool, until time.Duration) error {
	now := u.clock.Now()
	hold := min(holdTime, (until-now)/holdPart)
	if !matters || hold < holdLeast || !u.breaking.Load() || c.raw == nil {
		_, err := c.Write(request)
		return err
	}
	last := len(request) - 1
	if _, err := c.Write(request[:last]); err != nil {
		return err
	}
	if err := c.quiet(now+hold, u.clock); err != nil {
		return err
	}
	if err := c.SetDeadline(u.clock.At(until)); err != nil {
		return err
	}
	_, err := c.Write(request[last:])
	return err
}

// lost counts a connection that broke before a request was out.
func (u *Transport) lost(to *host, c *conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.count(to, c, true)
}

// quiet waits until a time, or until a connection breaks: then it returns why. An answer that comes before its
// request is whole is none that could be trusted.
func (c *conn) quiet(until time.Duration, clk clock.Clock) error {
	if err := c.SetReadDeadline(clk.At(until)); err != nil {
		return err
	}
	var broken error
	err := c.raw.Read(func(fd uintptr) bool {
		n, err := stream.Peek(fd)
		switch {
		case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
			return false
		case err != nil:
			broken = err
		case n == 0:
			broken = io.ErrUnexpectedEOF
		default:
			broken = errEarly
		}
		return true
	})
	if broken != nil || err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return errors.Join(broken, err)
	}
	return nil
}

var (
	errEarly  = errors.New("an answer came before the request was whole")
	errLate   = errors.New("the time was up before a connection was opened")
	errNoRoom = errors.New("no descriptor is left for a connection")
)

// connect returns a kept connection that still stands, or opens one.
func (u *Transport) connect(x *exchange, to *host, until time.Duration) (*conn, error) {
	for {
		c, err := u.take(to)
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
	limit := min(u.dialTimeout, until-u.clock.Now())
	if limit <= 0 {
		u.mu.Lock()
		u.open--
		u.dialled--
		u.mu.Unlock()
		return nil, errLate
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if !x.begin(cancel) {
		cancel()
	}
	raw, err := u.dial(ctx, to.address)
	if err != nil {
		u.mu.Lock()
		u.open--
		u.mu.Unlock()
		return nil, err
	}
	c := &conn{Conn: raw}
	if socket, ok := raw.(syscall.Conn); ok {
		if c.raw, err = socket.SyscallConn(); err != nil {
			u.discard(c)
			return nil, err
		}
	}
	c.limit.R = raw
	c.r = bufio.NewReader(&c.limit)
	return c, nil
}

// dialSystem opens a connection by TCP.
func (u *Transport) dialSystem(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	d.KeepAlive = -1 // no use against a silent machine; the time-outs are
	if u.silence > 0 {
		d.Control = u.silent
	}
	return d.DialContext(ctx, "tcp", address)
}

// silent has the system give a connection up whose other end acknowledges nothing any more.
func (u *Transport) silent(_, _ string, raw syscall.RawConn) error {
	var err error
	if told := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(u.silence.Milliseconds()))
	}); told != nil {
		return told
	}
	return err
}

// take returns the idle connection that has rested longest, or nil once it has counted a new one that
// is to be opened. An answer may bring more than belongs to it, a second copy even, and nothing in it tells
// whose it is: on a connection that is used again at once it would be read as the next request's answer.
// So may a server close right after an answer, and a request that crosses this may have run. What has come
// while the connection rested is found by usable: so it rests for settle at least, and the longest
// rested goes first, or where some have broken the one of an age at which fewest did: see ages. At the limit an idle
// connection to another server makes room.
func (u *Transport) take(to *host) (*conn, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.clock.Now()
	list := u.idle[to]
	old := 0
	for old < len(list) && now-list[old].idleSince >= u.keep {
		old++
	}
	u.drop(to, old)
	list = u.idle[to]
	ready := 0
	for ready < len(list) && now-list[ready].idleSince >= u.settle {
		ready++
	}
	if ready > 0 {
		at := 0
		if u.broken > 0 { // else nothing is known against any
			rested := make([]time.Duration, ready)
			for i, c := range list[:ready] {
				rested[i] = now - c.idleSince
			}
			at = best(&to.ages, &u.ages, rested)
		}
		if at >= 0 {
			c := list[at]
			c.rested = max(1, now-c.idleSince)
			u.idle[to] = slices.Delete(list, at, at+1)
			return c, nil
		}
	}
	if u.open >= u.most {
		var oldest *host
		since := time.Duration(math.MaxInt64)
		for h, list := range u.idle {
			if len(list) > 0 && list[0].idleSince < since {
				oldest, since = h, list[0].idleSince
			}
		}
		if oldest == nil {
			return nil, errNoRoom
		}
		u.drop(oldest, 1)
	}
	u.open++
	u.dialled++
	return nil, nil
}

// count takes how the use of a connection went. The caller holds the lock.
func (u *Transport) count(to *host, c *conn, broke bool) {
	b := brandNew
	if c.rested > 0 {
		b = bucket(c.rested)
		if broke {
			u.broken++
		}
	}
	to.ages.count(b, broke)
	u.ages.count(b, broke)
	u.breaking.Store(u.ages.breaking())
}

// drop closes the first n idle connections to a host. The caller holds the lock.
func (u *Transport) drop(to *host, n int) {
	list := u.idle[to]
	for _, c := range list[:n] {
		c.Conn.Close()
	}
	u.open -= n
	if rest := slices.Delete(list, 0, n); len(rest) > 0 { // in place: nothing closed stays referred to
		u.idle[to] = rest
	} else {
		delete(u.idle, to)
	}
}

// keepIdle puts a connection back.
func (u *Transport) keepIdle(to *host, c *conn) {
	_ = c.SetDeadline(time.Time{}) // a closed one is found out before it is used
	u.mu.Lock()
	defer u.mu.Unlock()
	if to.left { // it was in use when its server left the list
		c.Conn.Close()
		u.open--
		return
	}
	u.count(to, c, false)
	c.idleSince, c.rested = u.clock.Now(), 0
	u.idle[to] = append(u.idle[to], c)
	if u.sweeper == nil {
		u.sweeper = time.AfterFunc(u.keep, u.sweep)
	}
}

// doubt closes the idle connections to a host that were last used before a time since when it has
// let an attempt run into its time-out: a machine that is cut off says nothing on them either, and
// what is written there may have run. A new one tells at once whether the machine is there. One that
// is only slow keeps those that it has answered on since.
func (u *Transport) doubt(to *host, since time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	list := u.idle[to]
	n := 0
	for n < len(list) && list[n].idleSince < since {
		n++
	}
	u.drop(to, n)
}

// sweep closes the connections that have been idle for too long.
func (u *Transport) sweep() {
	u.mu.Lock()
	defer u.mu.Unlock()
	now, next := u.clock.Now(), time.Duration(math.MaxInt64)
	for to, list := range u.idle {
		old := 0
		for old < len(list) && now-list[old].idleSince >= u.keep {
			old++
		}
		if old < len(list) {
			next = min(next, list[old].idleSince+u.keep-now)
		}
		u.drop(to, old)
	}
	u.sweeper = nil
	if len(u.idle) > 0 {
		u.sweeper = time.AfterFunc(next, u.sweep)
	}
}

// close closes the idle connections to a host.
func (u *Transport) close(to *host) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.drop(to, len(u.idle[to]))
}

// leave takes that a host is no longer listed.
func (u *Transport) leave(to *host) {
	u.mu.Lock()
	defer u.mu.Unlock()
	to.left = true
	u.drop(to, len(u.idle[to]))
}

func (u *Transport) discard(c *conn) {
	c.Conn.Close()
	u.mu.Lock()
	u.open--
	u.mu.Unlock()
}

// usable tells whether an idle connection still stands: its server has neither closed or reset it
// (at its idle time-out, when it drains, when it restarts) nor sent what nobody asked for.
func (c *conn) usable() bool {
	if c.raw == nil {
		return true
	}
	standing := false
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		standing = err == syscall.EAGAIN
		return true // never wait
	})
	return err == nil && standing
}

// Counters are for the log.
func (u *Transport) Counters() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return map[string]int{"open": u.open, "dialled": u.dialled, "stale": u.stale, "broken": u.broken}
}

// load reads a report of the form "TEXT name=value, name=value".
func (u *Transport) load(report string) policy.Load {
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
