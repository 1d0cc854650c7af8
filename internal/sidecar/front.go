package sidecar

import (
	"errors"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"arrowgw/policy"
)

const (
	headerTime  = 10 * time.Second // a client may take this long over the head of a request
	clientIdle  = 2 * time.Minute  // idle connections of clients are closed after this
	headerLimit = 32 << 10
	longestWait = time.Hour // figures above this mean the same to everyone
)

// front is the application's side.
type front struct {
	cfg   *Config
	clock clock
	loop  *loop
	held  atomic.Int64 // requests with no answer yet
	conns atomic.Int64
	ready atomic.Bool // what GET /up tells
}

func newFront(cfg *Config, c clock, l *loop) *front { return &front{cfg: cfg, clock: c, loop: l} }

// server is the HTTP server that serves the application.
func (f *front) server() *http.Server {
	return &http.Server{
		Handler: f, ReadHeaderTimeout: headerTime, IdleTimeout: clientIdle, MaxHeaderBytes: headerLimit,
		ConnState: func(_ net.Conn, s http.ConnState) {
			switch s {
			case http.StateNew:
				f.conns.Add(1)
			case http.StateClosed, http.StateHijacked:
				f.conns.Add(-1)
			}
		},
	}
}

func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := f.clock.now() // the client's time began when it sent, so before the body is read
	if r.URL.Path == "/up" {
		if !f.ready.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	q, left, err := f.read(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyLimit))
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	case err != nil:
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return
	}
	defer f.held.Add(-1)
	switch held := f.held.Add(1); {
	case f.conns.Load() > int64(f.cfg.clientConns()):
		w.Header().Set("Connection", "close") // descriptors run out: this one is needed
		refuse(w, time.Second)
		return
	case f.cfg.MostOpen > 0 && held > int64(f.cfg.MostOpen):
		refuse(w, time.Second)
		return
	}
	m := &message{method: r.Method, url: r.URL, host: r.Host, header: endToEnd(r.Header), body: body}
	reply := make(chan answer, 1)
	id := f.loop.ask(q, m, arrived+left, reply)
	select {
	case a := <-reply:
		a.write(w)
	case <-r.Context().Done(): // the client has closed its connection
		f.loop.gone(id)
		panic(http.ErrAbortHandler) // net/http's way to close it with no answer
	}
}

// read takes what a request says of itself. What is missing or malformed is an error, whose text
// is for the client.
func (f *front) read(r *http.Request) (q policy.Request, left time.Duration, err error) {
	h := r.Header
	if h.Get("X-Request-ID") == "" {
		return q, 0, errors.New("X-Request-ID is missing")
	}
	name := h.Get("X-Priority-Class")
	var ok bool
	if q.Class, ok = f.cfg.Classes[name]; !ok {
		return q, 0, errors.New("X-Priority-Class names no class")
	}
	if first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/"); first != name {
		return q, 0, errors.New("the path is of another class than X-Priority-Class")
	}
	if f.cfg.Policy.Classes[q.Class].Effect == policy.Keyed && h.Get("Idempotency-Key") == "" {
		return q, 0, errors.New("Idempotency-Key is missing")
	}
	if len(f.cfg.Tenants) > 0 {
		if q.Tenant, ok = f.cfg.Tenants[h.Get("X-Tenant-Id")]; !ok {
			return q, 0, errors.New("X-Tenant-Id names no tenant")
		}
	}
	if left, ok = duration(h.Get("X-Timeout")); !ok {
		return q, 0, errors.New("X-Timeout is missing or malformed")
	}
	if cost := h.Get("X-Cost"); cost != "" {
		if q.Work, ok = duration(cost + "u"); !ok {
			return q, 0, errors.New("X-Cost is malformed")
		}
	}
	if key := h.Get("X-Route-Key"); key != "" {
		sum := fnv.New64a()
		_, _ = io.WriteString(sum, key) // a hash takes everything
		q.Key = sum.Sum64()
	}
	q.Repeat = h.Get("X-Retried") == "1"
	return q, left, nil
}

// duration reads a number with the unit m (milliseconds) or u (microseconds).
func duration(text string) (time.Duration, bool) {
	unit := time.Millisecond
	number, ok := strings.CutSuffix(text, "m")
	if !ok {
		unit = time.Microsecond
		number, ok = strings.CutSuffix(text, "u")
	}
	if !ok || strings.Trim(number, "0123456789.") != "" {
		return 0, false
	}
	n, err := strconv.ParseFloat(number, 64)
	if err != nil {
		return 0, false
	}
	return time.Duration(min(n*float64(unit), float64(longestWait))), true
}

// write sends the final answer to the client.
func (a answer) write(w http.ResponseWriter) {
	switch a.status {
	case http.StatusOK:
		for name, values := range endToEnd(a.header) {
			w.Header()[name] = values
		}
		if a.header["Content-Type"] == nil {
			w.Header()["Content-Type"] = nil // not to be guessed
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
		_, _ = w.Write(a.body) // it fails if the client has gone: nobody is left to tell
	case http.StatusServiceUnavailable:
		refuse(w, a.pause)
	default:
		w.WriteHeader(a.status)
	}
}

// refuse answers that trying again is harmless, best after the pause.
func refuse(w http.ResponseWriter, pause time.Duration) {
	if pause > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(pause.Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// endToEnd copies the headers that are meant for the other end, not for this connection.
func endToEnd(from http.Header) http.Header {
	to := make(http.Header, len(from)+2)
	for name, values := range from {
		to[name] = values
	}
	for _, list := range from["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			to.Del(textproto.TrimString(name))
		}
	}
	for _, name := range []string{
		"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
		"Content-Length", "X-Server-Load",
	} {
		delete(to, name)
	}
	if to["User-Agent"] == nil {
		to["User-Agent"] = nil // none was given, so none is made up
	}
	return to
}
