package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"caperarch/internal/lab/soak"
	"caperarch/internal/mesh/headers"
)

const (
	// soakPipelined is how many requests a client that pipelines sends at once.
	soakPipelined = 3
	// soakClientTimeout bounds a client's wait: far beyond the route's time-out, so that late responses are seen.
	soakClientTimeout = 6 * time.Second
	// soakRedialPause is how long a client waits before it connects again where nobody accepts.
	soakRedialPause = 20 * time.Millisecond
	// soakPause is the mean pause of a client between two requests.
	soakPause = 40 * time.Millisecond
	// soakLongShare of the requests have a body of soakLongBody bytes, which sidecars stream, one in so many; the
	// others that must not run twice have one of soakShortBody.
	soakLongShare, soakLongBody, soakShortBody = 10, 100_000, 40
	// soakMaxLeave is the longest time after which a client leaves that is going to.
	soakMaxLeave = 400 * time.Millisecond
)

// soakClient is one client of a sidecar. It uses its connection until the process ends it.
type soakClient struct {
	rig     *soakRig
	sidecar int
	random  *rand.Rand
	conn    net.Conn // nil: none is open
	reader  *bufio.Reader
}

// clientBehavior is what a client does next, on an open connection.
type clientBehavior func(c *soakClient)

// soakBehaviors are those of a sidecar's clients, one each.
var soakBehaviors = []clientBehavior{
	(*soakClient).exchange, (*soakClient).exchange, (*soakClient).pipeline, (*soakClient).leave, (*soakClient).leave,
	(*soakClient).probeRoute,
}

// run has a client behave in one way until the rig stops.
func (c *soakClient) run(behave clientBehavior) {
	defer c.hangUp()
	for !c.rig.stopping.Load() {
		if c.conn == nil && !c.dial() {
			time.Sleep(soakRedialPause)
			continue
		}
		behave(c)
		time.Sleep(time.Duration(c.random.ExpFloat64() * float64(soakPause)))
	}
}

func (c *soakClient) dial() bool {
	conn, err := net.DialTimeout("tcp", c.rig.ports[c.sidecar][1], time.Second)
	if err != nil {
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

func (c *soakClient) hangUp() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// outgoing is a request that is not sent yet.
type outgoing struct {
	soak.Request
	path string
	wire string // its bytes
}

// newRequest makes a request for a path, with a body of a length: POST if it has one.
func (c *soakClient) newRequest(idempotent bool, path string, length int) outgoing {
	o := outgoing{
		Request: soak.Request{ID: c.rig.nextID(), Sidecar: c.sidecar, Idempotent: idempotent}, path: path,
	}
	host := "write"
	if idempotent {
		host = "read"
	}
	o.address(host, length)
	return o
}

// address completes a request with its bytes, to a host, with a body of a length.
func (o *outgoing) address(host string, length int) {
	method, framing := "POST", fmt.Sprintf("Content-Length: %d\r\n", length)
	if length == 0 {
		method, framing = "GET", ""
	}
	o.wire = fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s.soak.example\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\n%s\r\n%s",
		method, o.path, host, headers.AttemptID, o.ID, soakPathField, o.path, soakLengthField, length, framing,
		soakRequestBody(o.ID, length))
}

// drawRequest draws a request: some are long, some are streamed, some have a body that is.
func (c *soakClient) drawRequest(paths ...string) outgoing {
	idempotent, length := c.random.IntN(2) == 0, 0
	switch {
	case c.random.IntN(soakLongShare) == 0:
		length = soakLongBody
	case !idempotent:
		length = soakShortBody
	}
	return c.newRequest(idempotent, paths[c.random.IntN(len(paths))], length)
}

// exchange sends one request and reads its response.
func (c *soakClient) exchange() {
	o := c.drawRequest("/", "/", "/", "/", "/", "/", soakLongPath, soakStreamPath)
	if !c.write(o.wire) {
		return // it was not sent whole
	}
	o.Sent = c.rig.since()
	c.read(&o)
	c.rig.recordRequest(o.Request)
}

// probeRoute sends one request on the route that moves, and reads its response.
func (c *soakClient) probeRoute() {
	o := c.newRequest(true, "/", 0)
	o.MovingRoute = true
	o.address(soakMovingHost, 0)
	if !c.write(o.wire) {
		return
	}
	o.Sent = c.rig.since()
	c.read(&o)
	c.rig.recordRequest(o.Request)
}

// pipeline sends several idempotent requests at once and reads their responses.
func (c *soakClient) pipeline() {
	var all []outgoing
	wires := ""
	for range soakPipelined {
		o := c.newRequest(true, "/", 0)
		all, wires = append(all, o), wires+o.wire
	}
	if !c.write(wires) {
		return
	}
	now := c.rig.since()
	for i := range all {
		all[i].Sent = now
		if i > 0 && c.conn == nil { // what is behind a response that closes the connection counts as not read
			return
		}
		c.read(&all[i])
		c.rig.recordRequest(all[i].Request)
	}
}

// leave sends a request, or a part of one, and leaves after a while without having read the response.
func (c *soakClient) leave() {
	o := c.drawRequest(soakLongPath, soakLongPath, soakStreamPath)
	if c.random.IntN(8) == 0 {
		c.write(o.wire[:c.random.IntN(len(o.wire))])
		c.hangUp()
		return
	}
	if !c.write(o.wire) {
		return
	}
	o.Sent = c.rig.since()
	time.Sleep(time.Duration(c.random.Int64N(int64(soakMaxLeave))))
	tcp := c.conn.(*net.TCPConn)
	if c.random.IntN(3) == 0 {
		_ = tcp.SetLinger(0) // a reset
	}
	c.hangUp()
	o.Left = c.rig.since()
	c.rig.recordRequest(o.Request)
}

// write sends bytes, and hangs up where that fails.
func (c *soakClient) write(wire string) bool {
	if _, err := io.WriteString(c.conn, wire); err != nil {
		c.hangUp()
		return false
	}
	return true
}

// read reads the response to a request, and hangs up where there is none or the sidecar closes behind it.
func (c *soakClient) read(r *outgoing) {
	_ = c.conn.SetReadDeadline(time.Now().Add(soakClientTimeout))
	res, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		r.Ended = c.rig.since()
		c.hangUp()
		return
	}
	r.Begun = c.rig.since()
	body, err := io.ReadAll(res.Body)
	r.Ended = c.rig.since()
	if err != nil {
		c.hangUp()
		return
	}
	r.Status = res.StatusCode
	r.OwnResponse = res.Header.Get(headers.AttemptID) == r.ID
	if r.Status == http.StatusOK {
		r.OwnResponse = r.OwnResponse && res.Header.Get(headers.Signature) == soakSignature(r.ID) && string(body) == soakBody(r.ID, r.path)
	}
	if res.Close {
		c.hangUp()
	}
}
