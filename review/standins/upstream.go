package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	attemptIDField = "X-Caperarch-Attempt-Id"
	signatureField = "X-Caperarch-Server-Signature"

	// callTimeout is the time within which a call of an upstream has to be acknowledged.
	callTimeout = time.Second
	// workTime is how long an upstream works on a request.
	workTime = 150 * time.Millisecond
)

// run is the execution of a request by an upstream.
type run struct {
	id       string
	instance string
	at       time.Duration // when the upstream began work
}

// upstream is an application server beside a sidecar.
type upstream struct {
	mesh     *mesh
	number   int
	instance string
	address  string
	// control is the address of its sidecar's control plane, or of a proxy before it.
	control  string
	listener net.Listener
	leaving  atomic.Bool
	ended    atomic.Bool
	sequence atomic.Int64
	// respond answers a request of a client whose body is still unread. It returns whether the connection stays open.
	// It is set before the first request arrives; nil: the whole body is read and answered with success.
	respond func(u *upstream, c net.Conn, r *http.Request) bool

	mu    sync.Mutex // guards the fields below
	conns map[net.Conn]bool
	runs  []run
}

// newUpstream starts an upstream beside a sidecar.
func newUpstream(m *mesh, number int) (*upstream, error) {
	host := m.sidecarHost(number)
	u := &upstream{
		mesh: m, number: number, instance: fmt.Sprintf("i-%d", number), address: m.address(host, appPort),
		control: m.address(host, controlPort), conns: make(map[net.Conn]bool),
	}
	var err error
	if u.listener, err = net.Listen("tcp", u.address); err != nil {
		return nil, err
	}
	go u.accept()
	return u, nil
}

func (u *upstream) accept() {
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.conns[c] = true
		u.mu.Unlock()
		go func() {
			u.serve(c)
			u.mu.Lock()
			delete(u.conns, c)
			u.mu.Unlock()
			_ = c.Close()
		}()
	}
}

// end closes the listener and all connections, as the end of the upstream's process does.
func (u *upstream) end() {
	u.ended.Store(true)
	_ = u.listener.Close()
	u.mu.Lock()
	defer u.mu.Unlock()
	for c := range u.conns {
		_ = c.Close()
	}
}

// serve answers the requests of a connection, one at a time.
func (u *upstream) serve(c net.Conn) {
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !u.serveRequest(c, r) {
			return
		}
	}
}

// serveRequest answers one request and returns whether the connection stays open.
func (u *upstream) serveRequest(c net.Conn, r *http.Request) bool {
	id := r.Header.Get(attemptIDField)
	switch target := r.Header.Get("X-Caperarch-Target-Instance"); {
	case r.URL.Path == "/health":
		return u.answerHealth(c)
	case id == "":
		return writeAnswer(c, http.StatusBadRequest, "X-Caperarch-Not-Executed: 1\r\n", "") && drainBody(r)
	case target != "" && target != u.instance:
		fields := "X-Caperarch-Instance-Id: " + u.instance + "\r\n" + attemptIDField + ": " + id + "\r\n"
		return writeAnswer(c, http.StatusMisdirectedRequest, fields, "") && drainBody(r)
	}
	if u.respond != nil {
		return u.respond(u, c, r)
	}
	if !drainBody(r) {
		return false // the sender broke off before the end of the body: the request is not executed
	}
	u.begin(id)
	time.Sleep(workTime)
	fields := u.answerFields(id)
	if u.leaving.Load() {
		fields += "Connection: close\r\n"
	}
	return writeAnswer(c, http.StatusOK, fields, answerBody(id)) && !u.leaving.Load()
}

// answerHealth answers a health check: 503 while the upstream leaves.
func (u *upstream) answerHealth(c net.Conn) bool {
	status := http.StatusOK
	if u.leaving.Load() {
		status = http.StatusServiceUnavailable
	}
	return writeAnswer(c, status, "X-Caperarch-Instance-Id: "+u.instance+"\r\n"+u.loadField(), "")
}

func (u *upstream) loadField() string {
	return fmt.Sprintf("X-Caperarch-Instance-Load: 0,0,%d\r\n", slots)
}

// answerFields returns the fields of the upstream's answer to a request.
func (u *upstream) answerFields(id string) string {
	return attemptIDField + ": " + id + "\r\n" + signatureField + ": " + signature(id) + "\r\n" + u.loadField()
}

// begin records that the upstream begins work on a request.
func (u *upstream) begin(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs = append(u.runs, run{id: id, instance: u.instance, at: u.mesh.record.since()})
	u.mesh.record.printf("upstream %s begins work on request %s", u.instance, id)
}

// executions returns the executions of all upstreams.
func (m *mesh) executions() (all []run) {
	for _, u := range m.upstreams {
		u.mu.Lock()
		all = append(all, u.runs...)
		u.mu.Unlock()
	}
	return all
}

// signature returns the signature of the upstreams' success answers to a request.
func signature(id string) string { return "stamp." + id }

// answerBody returns the body of the upstreams' success answers to a request.
func answerBody(id string) string { return "done: " + id }

// drainBody reads the body of a request and returns whether it was complete.
func drainBody(r *http.Request) bool {
	_, err := io.Copy(io.Discard, r.Body)
	return err == nil
}

// writeAnswer writes an answer with a Content-Length.
func writeAnswer(c net.Conn, status int, fields, body string) bool {
	_, err := io.WriteString(c, "HTTP/1.1 "+strconv.Itoa(status)+" "+http.StatusText(status)+"\r\n"+fields+
		"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
	return err == nil
}

// sendHeartbeats reports the upstream as ready about every heartbeatInterval, until it leaves.
func (u *upstream) sendHeartbeats() {
	for !u.leaving.Load() && !u.ended.Load() {
		if body, err := u.heartbeat(); err == nil {
			u.call("/api/instances/"+u.instance+"/heartbeat", body)
		}
		time.Sleep(heartbeatInterval)
	}
}

// heartbeat returns the upstream's next heartbeat.
func (u *upstream) heartbeat() ([]byte, error) {
	return json.Marshal(map[string]any{
		"address": u.address,
		"nodeInfo": map[string]any{"serviceName": serviceName, "configVersion": "v1", "zone": "hall-a",
			"capacitySlots": slots},
		"status": map[string]any{"state": "ready", "callSequence": u.sequence.Add(1), "warmupRemainingS": 0},
	})
}

// call sends a call to the control plane address of the upstream's own machine and, if that does not acknowledge it, to
// the next ones. It returns the address that acknowledged the call, or "".
func (u *upstream) call(path string, body []byte) (acknowledgedBy string) {
	for _, address := range append([]string{u.control}, u.mesh.coreControls()...) {
		if post(address, path, body, callTimeout) {
			return address
		}
		if u.ended.Load() {
			return "" // the case is over
		}
		u.mesh.record.printf("upstream %s: %s was not acknowledged by %s", u.instance, path, address)
	}
	return ""
}
