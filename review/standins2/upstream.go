package main

import (
	"bytes"
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

// slots is capacitySlots of an upstream.
const slots = 4

// upstream is a stand-in for the application beside a sidecar. It answers each request at once.
type upstream struct {
	deployment *deployment
	machine    *machine
	instance   string
	arrivals   *arrivals // of the requests, or nil
	sequence   int64     // of the heartbeats
	stopped    atomic.Bool
	server     *http.Server
}

// startUpstream starts the upstream of a sidecar. Its first heartbeat follows after a time.
func startUpstream(d *deployment, m *machine, instance string, a *arrivals, first time.Duration) (*upstream, error) {
	u := &upstream{deployment: d, machine: m, instance: instance, arrivals: a}
	listener, err := net.Listen("tcp", m.address(d.ports.app))
	if err != nil {
		return nil, err
	}
	u.server = &http.Server{Handler: http.HandlerFunc(u.serve)}
	go func() { _ = u.server.Serve(listener) }()
	go func() {
		time.Sleep(first)
		u.beat()
	}()
	return u, nil
}

// crash ends the upstream without a word.
func (u *upstream) crash() {
	u.stopped.Store(true)
	_ = u.server.Close()
}

// serve answers a request or a health check.
func (u *upstream) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Caperarch-Attempt-Id")
	h := w.Header()
	h.Set("X-Caperarch-Instance-Id", u.instance)
	h.Set("X-Caperarch-Instance-Load", "0,0,"+strconv.Itoa(slots))
	if id == "" { // a health check
		return
	}
	h.Set("X-Caperarch-Attempt-Id", id)
	if u.arrivals != nil {
		u.arrivals.add(id)
	}
	if target := r.Header.Get("X-Caperarch-Target-Instance"); target != "" && target != u.instance {
		h.Set("X-Caperarch-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	h.Set("X-Caperarch-Server-Signature", u.instance+"."+id)
}

// beat sends heartbeats until the upstream is stopped.
func (u *upstream) beat() {
	for !u.stopped.Load() {
		if u.sendBeat() != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		time.Sleep(heartbeatInterval)
	}
}

// sendBeat sends one heartbeat to the sidecar on the upstream's machine.
func (u *upstream) sendBeat() error {
	u.sequence++
	body, err := json.Marshal(map[string]any{
		"nodeInfo": map[string]any{
			"serviceName": u.machine.service, "configVersion": "v1", "zone": u.machine.zone, "capacitySlots": slots,
		},
		"address": u.machine.address(u.deployment.ports.app),
		"status":  map[string]any{"state": "ready", "callSequence": u.sequence, "warmupRemainingS": 0},
	})
	if err != nil {
		return err
	}
	client := http.Client{Timeout: time.Second}
	url := "http://" + u.machine.address(u.deployment.ports.control) + "/api/instances/" + u.instance + "/heartbeat"
	response, err := client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("heartbeat: %s", response.Status)
	}
	return nil
}

// arrivals counts the arrivals of each request at the upstream of a service.
type arrivals struct {
	mu    sync.Mutex
	count map[string]int
	again []time.Time // when arrivals after the first of a request took place
}

// add counts an arrival.
func (a *arrivals) add(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.count[id]++; a.count[id] > 1 {
		a.again = append(a.again, time.Now())
	}
}

// most returns the largest number of arrivals of one request.
func (a *arrivals) most() int {
	most := 0
	for _, n := range a.count {
		most = max(most, n)
	}
	return most
}
