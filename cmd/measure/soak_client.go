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
	// soakPipelined is the number of requests in a pipelined batch.
	soakPipelined = 3
	// soakClientTimeout limits a client's wait for a response. It is far above the route's timeout, so that the client
	// also receives late responses.
	soakClientTimeout = 6 * time.Second
	// soakRedialPause is the pause before a client dials again after its connection was refused.
	soakRedialPause = 20 * time.Millisecond
	// soakPause is the mean pause of a client between two requests or batches.
	soakPause = 40 * time.Millisecond
	// One in soakLongShare requests has a body of soakLongBody bytes, which sidecars stream. The other non-idempotent
	// requests have a body of soakShortBody bytes.
	soakLongShare, soakLongBody, soakShortBody = 10, 100_000, 40
	// An upload has a body of soakUploadBody bytes, which is sent in parts of soakUploadPart bytes with pauses of up to
	// soakMaxPartPause. One in soakUploadIdempotentShare uploads is idempotent.
	soakUploadBody, soakUploadPart = 320 << 10, 32 << 10
	soakMaxPartPause               = 30 * time.Millisecond
	soakUploadIdempotentShare      = 4
	// soakMaxDisconnectDelay is the longest time between a request and an early disconnect.
	soakMaxDisconnectDelay = 400 * time.Millisecond
)

// soakClient is one client of a sidecar. It sends requests on one connection until the sidecar closes it.
type soakClient struct {
	rig     *soakRig
	sidecar int
	random  *rand.Rand
	conn    net.Conn // nil if no connection is open
	reader  *bufio.Reader
}

// clientBehavior is one exchange of a client on its open connection.
type clientBehavior func(c *soakClient)

// soakBehaviors returns one entry for each client of a sidecar.
func soakBehaviors() []clientBehavior {
	all := []clientBehavior{
		(*soakClient).exchange, (*soakClient).exchange, (*soakClient).pipeline,
		(*soakClient).disconnectEarly, (*soakClient).disconnectEarly, (*soakClient).probeRoute,
	}
	if soakEarlyFlag {
		all = append(all, (*soakClient).uploadInParts, (*soakClient).uploadInParts)
	}
	return all
}

// run repeats one behavior until the rig stops.
func (c *soakClient) run(behave clientBehavior) {
	defer c.closeConnection()
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

func (c *soakClient) closeConnection() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// outgoing is a request together with the bytes to send.
type outgoing struct {
	soak.Request
	path string
	wire string // the encoded request
}

// newRequest makes a request with a body of length bytes. The method is GET for an empty body, otherwise POST.
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

// address encodes the request for a host, with a body of length bytes.
func (o *outgoing) address(host string, length int) {
	method, framing := "POST", fmt.Sprintf("Content-Length: %d\r\n", length)
	if length == 0 {
		method, framing = "GET", ""
	}
	o.wire = fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s.soak.example\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\n%s\r\n%s",
		method, o.path, host, headers.AttemptID, o.ID, soakPathField, o.path, soakLengthField, length, framing,
		soakRequestBody(o.ID, length))
}

// drawRequest draws a request at random: its path from paths, whether it is idempotent, and the length of its body.
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
		return // the request was not sent in full, so it is not recorded
	}
	o.Sent = c.rig.since()
	c.read(&o)
	c.rig.recordRequest(o.Request)
}

// probeRoute sends one request on the route whose target alternates between the services, and reads its response.
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
		if i > 0 && c.conn == nil { // requests after a closing response are not recorded
			return
		}
		c.read(&all[i])
		c.rig.recordRequest(all[i].Request)
	}
}

// disconnectEarly sends all or part of a request and closes the connection after a random delay, without reading the
// response.
func (c *soakClient) disconnectEarly() {
	o := c.drawRequest(soakLongPath, soakLongPath, soakStreamPath)
	if c.random.IntN(8) == 0 {
		c.write(o.wire[:c.random.IntN(len(o.wire))])
		c.closeConnection()
		return
	}
	if !c.write(o.wire) {
		return
	}
	o.Sent = c.rig.since()
	time.Sleep(time.Duration(c.random.Int64N(int64(soakMaxDisconnectDelay))))
	tcp := c.conn.(*net.TCPConn)
	if c.random.IntN(3) == 0 {
		_ = tcp.SetLinger(0) // closes with a TCP reset
	}
	c.closeConnection()
	o.Left = c.rig.since()
	c.rig.recordRequest(o.Request)
}

// uploadInParts sends a request with a long body part by part and reads its response meanwhile, which may arrive before
// the end of the body.
func (c *soakClient) uploadInParts() {
	o := c.newRequest(c.random.IntN(soakUploadIdempotentShare) == 0, "/", soakUploadBody)
	conn, received := c.conn, make(chan struct{})
	go func() {
		defer close(received)
		c.read(&o)
	}()
	complete := c.writeParts(conn, o.wire, received)
	sent := c.rig.since()
	<-received
	if o.Sent = sent; !complete && c.conn != nil {
		c.closeConnection() // the sidecar still expects the rest of the body
	}
	if complete || o.Status != 0 { // otherwise the sidecar has not read a complete request
		c.rig.recordRequest(o.Request)
	}
}

// writeParts writes bytes part by part until all are written, the response was received or the connection ends. It
// reports whether all were written.
func (c *soakClient) writeParts(conn net.Conn, wire string, received <-chan struct{}) (complete bool) {
	for len(wire) > 0 {
		n, err := io.WriteString(conn, wire[:min(soakUploadPart, len(wire))])
		if wire = wire[n:]; err != nil {
			return false
		}
		select {
		case <-received:
			return len(wire) == 0
		case <-time.After(time.Duration(c.random.Int64N(int64(soakMaxPartPause)))):
		}
	}
	return true
}

// write sends bytes, and closes the connection on an error.
func (c *soakClient) write(wire string) bool {
	if _, err := io.WriteString(c.conn, wire); err != nil {
		c.closeConnection()
		return false
	}
	return true
}

// read reads the response to a request. It closes the connection on an error or after a response with
// "Connection: close".
func (c *soakClient) read(r *outgoing) {
	_ = c.conn.SetReadDeadline(time.Now().Add(soakClientTimeout))
	res, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		r.Ended = c.rig.since()
		c.closeConnection()
		return
	}
	r.Begun = c.rig.since()
	body, err := io.ReadAll(res.Body)
	r.Ended = c.rig.since()
	if err != nil {
		c.closeConnection()
		return
	}
	r.Status = res.StatusCode
	r.OwnResponse = res.Header.Get(headers.AttemptID) == r.ID
	if r.Status/100 == 2 {
		r.OwnResponse = r.OwnResponse && res.Header.Get(headers.Signature) == soakSignature(r.ID) &&
			string(body) == soakBody(r.ID, r.path)
	}
	if res.Close {
		c.closeConnection()
	}
}
