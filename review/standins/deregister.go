package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// steadyTime is how long the mesh serves before the upstream leaves. It is longer than contactWindow.
	steadyTime = 4 * time.Second
	// serveOn is how long the upstream serves after the acknowledgement: "at times many seconds".
	serveOn = 12 * time.Second
	// clientsOfRoute is the number of clients of each route, and clientPause is the time between two requests of one.
	clientsOfRoute, clientPause = 3, 50 * time.Millisecond
	// killDelay is the time from the acknowledgement to the kill of the sidecar, and lateBy the time from its start to the
	// late heartbeat.
	killDelay, lateBy = 200 * time.Millisecond, 1500 * time.Millisecond
	// judgeSlack is added to the bounds, for the time between the sidecar and the upstream's own clock reading.
	judgeSlack = 100 * time.Millisecond
)

// resetProxy passes on connections to an address. While resetting is set, it resets each connection instead.
type resetProxy struct {
	target    string
	resetting atomic.Bool
}

func startResetProxy(at, target string) (*resetProxy, error) {
	listener, err := net.Listen("tcp", at)
	if err != nil {
		return nil, err
	}
	p := &resetProxy{target: target}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(c.(*net.TCPConn))
		}
	}()
	return p, nil
}

func (p *resetProxy) serve(c *net.TCPConn) {
	defer c.Close()
	if p.resetting.Load() {
		_ = c.SetLinger(0) // Close sends a reset
		return
	}
	to, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer to.Close()
	go func() {
		_, _ = io.Copy(to, c)
		_ = to.(*net.TCPConn).CloseWrite()
	}()
	_, _ = io.Copy(c, to)
}

// deregisterAtCore is the case of rule DRAIN: an upstream leaves with a deregistration. The connection of that call to
// its own sidecar is reset, so the upstream calls the next machine, a core machine, which acknowledges. Without the
// disruption the upstream's own sidecar takes the call.
func deregisterAtCore(e *environment) (broken int, err error) {
	leaver := e.mesh.upstreams[0]
	proxy, err := startResetProxy(e.mesh.address(e.mesh.sidecarHost(0), proxyPort), leaver.control)
	if err != nil {
		return 0, err
	}
	leaver.control = e.mesh.address(e.mesh.sidecarHost(0), proxyPort)
	defer startSteadyClients(e)()
	time.Sleep(steadyTime)

	proxy.resetting.Store(e.trouble)
	resetAt := e.record.since()
	leaver.leaving.Store(true)
	by := leaver.call("/api/instances/"+leaver.instance+"/deregister", nil)
	proxy.resetting.Store(false)
	acknowledgedAt := e.record.since()
	if by == "" {
		return 0, fmt.Errorf("the deregistration was not acknowledged")
	}
	e.record.printf("upstream %s: its deregistration is acknowledged by %s; it serves on for %v", leaver.instance, by, serveOn)
	time.Sleep(serveOn)
	return countAfterDrain(e, leaver, max(acknowledgedAt+drainTimeout, resetAt+contactWindow)), nil
}

// lateHeartbeat is no case but a variant of deregisterAtCore, for the report: the upstream's own sidecar acknowledges the
// deregistration, is killed and started again, and then receives a heartbeat that the upstream sent before it left.
// Without the disruption no heartbeat comes late.
func lateHeartbeat(e *environment) (broken int, err error) {
	leaver := e.mesh.upstreams[0]
	defer startSteadyClients(e)()
	time.Sleep(steadyTime)
	late, err := leaver.heartbeat()
	if err != nil {
		return 0, err
	}
	leaver.leaving.Store(true)
	if leaver.call("/api/instances/"+leaver.instance+"/deregister", nil) != leaver.control {
		return 0, fmt.Errorf("the deregistration was not acknowledged by the upstream's own sidecar")
	}
	acknowledgedAt := e.record.since()
	time.Sleep(killDelay)
	killedAt := e.record.since()
	if err := e.mesh.restartSidecar(0); err != nil {
		return 0, err
	}
	time.Sleep(lateBy)
	if e.trouble {
		acknowledged := post(leaver.control, "/api/instances/"+leaver.instance+"/heartbeat", late, callTimeout)
		e.record.printf("upstream %s: its late heartbeat is acknowledged: %v", leaver.instance, acknowledged)
	}
	time.Sleep(serveOn)
	return countAfterDrain(e, leaver, max(acknowledgedAt+drainTimeout, killedAt+contactWindow)), nil
}

// countAfterDrain ends an upstream that has left, and returns how many requests reached it later than judgeSlack after the
// bound.
func countAfterDrain(e *environment, leaver *upstream, bound time.Duration) (broken int) {
	leaver.end()
	e.record.printf("upstream %s has ended; the requests that it was at work on are cut", leaver.instance)
	time.Sleep(clientTimeout / 10) // the answers to these requests
	leaver.mu.Lock()
	defer leaver.mu.Unlock()
	for _, run := range leaver.runs {
		if run.at > bound+judgeSlack {
			broken++
		}
	}
	e.record.printf("DRAIN: %d requests reached %s later than drainTimeoutS after the acknowledgement and contactWindowS "+
		"after the disruption", broken, leaver.instance)
	return broken
}

// startSteadyClients starts clients of both routes at the first sidecar. The returned function stops them.
func startSteadyClients(e *environment) (stop func()) {
	var stopped atomic.Bool
	var clients sync.WaitGroup
	for _, host := range []string{readHost, writeHost} {
		for number := range clientsOfRoute {
			clients.Go(func() { sendSteadily(e, host, number, &stopped) })
		}
	}
	return func() {
		stopped.Store(true)
		clients.Wait()
	}
}

// sendSteadily sends short requests to the first sidecar, one after the other, until stop is set.
func sendSteadily(e *environment, host string, client int, stop *atomic.Bool) {
	for i := 0; !stop.Load(); i++ {
		id := fmt.Sprintf("%s-%d-%d", host, client, i)
		got := e.mesh.send(0, host, id, shortBody)
		e.record.printf("client: POST %s to sidecar 0: %v", id, got)
		time.Sleep(clientPause)
	}
}
