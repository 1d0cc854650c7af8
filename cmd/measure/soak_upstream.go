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
	// soakSlots is the number of capacity slots that an upstream reports.
	soakSlots = 16
	// soakServiceTime is the mean service time of a request. soakLongServiceTime is the mean service time of
	// requests for soakLongPath and soakStreamPath.
	soakServiceTime, soakLongServiceTime = 30 * time.Millisecond, 1400 * time.Millisecond
	soakLongPath                         = "/long/"
	// A response to soakStreamPath consists of soakChunks chunks of soakChunkBytes bytes, spread evenly over the
	// service time.
	soakStreamPath             = "/stream/"
	soakChunks, soakChunkBytes = 10, 20 << 10
	// soakPathField and soakLengthField are header fields with the path and the body length that the client has sent.
	soakPathField, soakLengthField = "X-Soak-Path", "X-Soak-Length"
)

// soakUpstream is an upstream server of the soak test. It serves each request for a random time, abandons a request
// whose connection has been closed, and records each execution.
type soakUpstream struct {
	rig    *soakRig
	number int
	down   atomic.Bool   // a crash or drain is in progress
	slow   atomic.Uint64 // factor on service times, in hundredths

	draining   atomic.Bool
	generation atomic.Int64 // number of the current instance, counted from 0
	sequence   atomic.Int64 // sequence number of the last heartbeat

	mu       sync.Mutex // guards the fields below
	server   *http.Server
	listener net.Listener
}

// start starts the server at the upstream's address.
func (u *soakUpstream) start() error {
	listener, err := net.Listen("tcp", u.rig.ports[u.number][3])
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(u.serve)}
	u.mu.Lock()
	u.server, u.listener = server, listener
	u.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return nil
}

// crash closes the listener and all connections. The upstream accepts connections again after start.
func (u *soakUpstream) crash() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.listener.Close() // the server closes it too, but only once the goroutine of Serve has run
	u.server.Close()
}

// serve executes one request or answers a health check.
func (u *soakUpstream) serve(w http.ResponseWriter, r *http.Request) {
	if soakEarlyFlag && r.Header.Get(headers.AttemptID) != "" && r.URL.Path == "/" {
		if behavior, drawn := drawBehavior(); drawn {
			u.serveWithBehavior(w, r, behavior)
			return
		}
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the sender aborted the request before the end of its body, so the request is not executed
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
	arrived, serviceTime := u.rig.since(), u.drawServiceTime(r.URL.Path)
	u.answer(w, r, id, serviceTime)
	u.rig.recordRun(soak.Run{
		ID: id, Upstream: u.number, Arrived: arrived, PlannedEnd: arrived + serviceTime, Ended: u.rig.since(),
		Service: soakServiceOf(u.number), Instance: instance,
		Altered: r.RequestURI != r.Header.Get(soakPathField) || !isSoakRequestBody(body, id, r.Header.Get(soakLengthField)),
	})
}

// answer takes the given service time and writes the response. It returns early if the connection is closed.
func (u *soakUpstream) answer(w http.ResponseWriter, r *http.Request, id string, serviceTime time.Duration) {
	body := soakBody(id, r.URL.Path)
	if r.URL.Path != soakStreamPath {
		if sleepContext(r.Context(), serviceTime) {
			return
		}
		w.Header()["Content-Length"] = []string{strconv.Itoa(len(body))}
		_, _ = io.WriteString(w, body)
		return
	}
	for chunk := range soakChunks {
		if sleepContext(r.Context(), serviceTime/soakChunks) {
			return
		}
		_, _ = io.WriteString(w, body[chunk*soakChunkBytes:(chunk+1)*soakChunkBytes])
		_ = http.NewResponseController(w).Flush()
	}
}

// drawServiceTime draws the service time of a request.
func (u *soakUpstream) drawServiceTime(path string) time.Duration {
	mean := soakServiceTime
	if path == soakLongPath || path == soakStreamPath {
		mean = soakLongServiceTime
	}
	return time.Duration((0.5 + rand.Float64()) * float64(mean) * float64(u.slow.Load()) / 100)
}

// sleepContext sleeps for d. It returns true if the context ended before.
func sleepContext(ctx context.Context, d time.Duration) (ended bool) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return false
	case <-ctx.Done():
		return true
	}
}

// soakSignature returns the value of the signature header of the response to a request.
func soakSignature(id string) string { return "stamp." + id }

// soakBody returns the body of a successful response.
func soakBody(id, path string) string {
	if path == soakStreamPath {
		return repeated(id, soakChunks*soakChunkBytes)
	}
	return "ran " + id
}

// soakRequestBody returns a request body of length bytes.
func soakRequestBody(id string, length int) string { return repeated("work of "+id+" ", length) }

// isSoakRequestBody reports whether the body that arrived is the body that the client has sent.
func isSoakRequestBody(body []byte, id, length string) bool {
	n, err := strconv.Atoi(length)
	return err == nil && string(body) == soakRequestBody(id, n)
}

// repeated returns length bytes of text repeated over and over.
func repeated(text string, length int) string {
	return strings.Repeat(text, length/len(text)+1)[:length]
}
