package main

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"caperarch/internal/lab/soak"
	"caperarch/internal/mesh/headers"
)

const (
	// soakSlots are those that an upstream reports.
	soakSlots = 16
	// soakWork is the mean time of a request; soakLongWork that of one whose path is soakLongPath.
	soakWork, soakLongWork = 30 * time.Millisecond, 1400 * time.Millisecond
	soakLongPath           = "/long/"
	// A response to soakStreamPath comes in soakPieces of soakPieceBytes, spread over its work.
	soakStreamPath             = "/stream/"
	soakPieces, soakPieceBytes = 10, 20 << 10
	// soakPathField and soakLengthField say what path and how long a body the client has sent.
	soakPathField, soakLengthField = "X-Soak-Path", "X-Soak-Length"
)

// soakUpstream is an upstream of a soak: it works for a drawn time, drops a request once its connection has
// ended, and records each run.
type soakUpstream struct {
	rig    *soakRig
	number int
	down   atomic.Bool   // it has crashed, or drains
	slow   atomic.Uint64 // how many times as long work takes, in hundredths

	draining   atomic.Bool
	generation atomic.Int64 // of its instances
	sequence   atomic.Int64 // of its heartbeats

	mu     sync.Mutex // guards server
	server *http.Server
}

// start begins to serve at the upstream's address.
func (u *soakUpstream) start() error {
	listener, err := net.Listen("tcp", u.rig.ports[u.number][3])
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(u.serve)}
	u.mu.Lock()
	u.server = server
	u.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return nil
}

// crash ends all connections and accepts none until start.
func (u *soakUpstream) crash() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.server.Close()
}

// serve runs one request.
func (u *soakUpstream) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // its sender has given it up before it was whole: it does not run
	}
	id := r.Header.Get(headers.AttemptID)
	h := w.Header()
	instance := u.instance()
	h[headers.Instance] = []string{instance}
	h[headers.Load] = []string{"0,0," + strconv.Itoa(soakSlots)}
	if id == "" { // a health check
		if u.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	h[headers.AttemptID], h[headers.Signature] = []string{id}, []string{soakSignature(id)}
	arrived, work := u.rig.since(), u.workFor(r.URL.Path)
	u.answer(w, r, id, work)
	u.rig.recordRun(soak.Run{
		ID: id, Upstream: u.number, Arrived: arrived, PlannedEnd: arrived + work, Ended: u.rig.since(),
		Service: soakServiceOf(u.number), Instance: instance,
		Altered: r.RequestURI != r.Header.Get(soakPathField) || !isSoakRequestBody(body, id, r.Header.Get(soakLengthField)),
	})
}

// answer works on a request and answers it, unless its connection ends before.
func (u *soakUpstream) answer(w http.ResponseWriter, r *http.Request, id string, work time.Duration) {
	body := soakBody(id, r.URL.Path)
	if r.URL.Path != soakStreamPath {
		if sleepUnless(r.Context(), work) {
			return
		}
		w.Header()["Content-Length"] = []string{strconv.Itoa(len(body))}
		_, _ = io.WriteString(w, body)
		return
	}
	for piece := range soakPieces {
		if sleepUnless(r.Context(), work/soakPieces) {
			return
		}
		_, _ = io.WriteString(w, body[piece*soakPieceBytes:(piece+1)*soakPieceBytes])
		_ = http.NewResponseController(w).Flush()
	}
}

// workFor draws how long a request takes.
func (u *soakUpstream) workFor(path string) time.Duration {
	mean := soakWork
	if path == soakLongPath || path == soakStreamPath {
		mean = soakLongWork
	}
	return time.Duration((0.5 + rand.Float64()) * float64(mean) * float64(u.slow.Load()) / 100)
}

// sleepUnless sleeps unless a context ends before, and returns whether it did.
func sleepUnless(ctx context.Context, d time.Duration) (ended bool) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return false
	case <-ctx.Done():
		return true
	}
}

func soakSignature(id string) string { return "stamp." + id }

// soakBody is the body of a success.
func soakBody(id, path string) string {
	if path == soakStreamPath {
		return repeated(id, soakPieces*soakPieceBytes)
	}
	return "ran " + id
}

// soakRequestBody is a request's body of a length.
func soakRequestBody(id string, length int) string { return repeated("work of "+id+" ", length) }

// isSoakRequestBody reports whether a body is what the client of a request has sent.
func isSoakRequestBody(body []byte, id, length string) bool {
	n, err := strconv.Atoi(length)
	return err == nil && string(body) == soakRequestBody(id, n)
}

// repeated is a text over and over, of a length.
func repeated(text string, length int) string {
	return strings.Repeat(text, length/len(text)+1)[:length]
}
