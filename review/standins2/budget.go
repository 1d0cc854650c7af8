package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// retryWindow, retryBudgetRatio and retryBudgetSlack are the bounds of the deployment, see bounds.
	retryWindow      = 10 * time.Second
	retryBudgetRatio = 0.2
	retryBudgetSlack = 60
	// sendInterval is the time between two requests of the clients.
	sendInterval = 33 * time.Millisecond
	// crashAfter is the time from the first request to the crash of the upstream.
	crashAfter = 4 * time.Second
	// downTime is for_s of the crash.
	downTime = 300 * time.Millisecond
	// firstBeat is the time from the upstream's new start to its first heartbeat.
	firstBeat = heartbeatInterval
	// budgetLength is the length of the traffic.
	budgetLength = 16 * time.Second
	// clientWait is the time that a client waits for an answer.
	clientWait = 5 * time.Second
)

// inWindow returns the number of times that lie within a window from a start.
func inWindow(times []time.Time, start time.Time, window time.Duration) int {
	n := 0
	for _, t := range times {
		if !t.Before(start) && t.Before(start.Add(window)) {
			n++
		}
	}
	return n
}

// client sends requests for a service and keeps what was sent and answered.
type client struct {
	deployment *deployment
	mu         sync.Mutex
	sent       []time.Time
	statuses   map[int]int // answers by status; 0 stands for no answer
	open       sync.WaitGroup
}

// send sends a request to the sidecar of a machine.
func (c *client) send(m *machine, id string) {
	c.mu.Lock()
	c.sent = append(c.sent, time.Now())
	c.mu.Unlock()
	c.open.Go(func() {
		status, err := c.exchange(m, id)
		c.deployment.record.printf("request %s by %s: status %d, %v", id, m.name, status, err)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.statuses[status]++
	})
}

// exchange sends a request and returns the status of its answer.
func (c *client) exchange(m *machine, id string) (int, error) {
	connection, err := net.Dial("tcp", m.address(c.deployment.ports.outbound))
	if err != nil {
		return 0, err
	}
	defer connection.Close()
	_ = connection.SetDeadline(time.Now().Add(clientWait))
	fmt.Fprintf(connection, "GET /item HTTP/1.1\r\nHost: s1.example\r\nX-Caperarch-Attempt-Id: %s\r\n"+
		"X-Caperarch-Timeout-Remaining: %d\r\n\r\n", id, clientWait.Milliseconds())
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// budgetCase is no case but a trial for the report, since the crash takes the service's only upstream, a larger share than
// srv_crash has. It crashes the upstream, which starts again with a new id and sends its first heartbeat an interval later, and
// counts the arrivals of each request after its first.
func budgetCase(rec *record, trouble bool) (string, error) {
	d, err := newDeployment(rec, []string{"s1", "s2", "s2", "s2"})
	if err != nil {
		return "", err
	}
	defer d.end()
	a := &arrivals{count: map[string]int{}}
	first, err := startUpstream(d, d.sidecars[0], "i-0", a, 0)
	if err != nil {
		return "", err
	}
	for i, m := range d.sidecars[1:] {
		if _, err := startUpstream(d, m, fmt.Sprint("i-", i+1), nil, 0); err != nil {
			return "", err
		}
	}
	if err := d.startAll(budgetResources()); err != nil {
		return "", err
	}
	if err := d.awaitReady(); err != nil {
		return "", err
	}
	time.Sleep(2 * heartbeatInterval)

	c := &client{deployment: d, statuses: map[int]int{}}
	begun := time.Now()
	if trouble {
		c.open.Go(func() {
			time.Sleep(crashAfter)
			rec.printf("the upstream i-0 of s1 crashes")
			first.crash()
			time.Sleep(downTime)
			_, err := startUpstream(d, first.machine, "i-0-again", a, firstBeat)
			rec.printf("it has started again as i-0-again (%v), its first heartbeat follows after %v", err, firstBeat)
		})
	}
	for number := 0; time.Since(begun) < budgetLength; number++ {
		c.send(d.sidecars[number%len(d.sidecars)], fmt.Sprintf("a-%d", number))
		time.Sleep(sendInterval)
	}
	c.open.Wait()

	a.mu.Lock()
	defer a.mu.Unlock()
	rec.printf("%d requests, status and number: %v; %d of them arrived, %d arrivals after the first, at most %d of one request",
		len(c.sent), c.statuses, len(a.count), len(a.again), a.most())
	for _, start := range a.again {
		again := inWindow(a.again, start, retryWindow)
		sent := max(inWindow(c.sent, start, retryWindow), inWindow(c.sent, start.Add(-retryWindow), retryWindow),
			inWindow(c.sent, start.Add(-retryWindow/2), retryWindow))
		if allowed := retryBudgetRatio*float64(sent) + retryBudgetSlack; float64(again) > allowed {
			return fmt.Sprintf("%d arrivals after the first within %v, allowed are %.1f (%d requests)",
				again, retryWindow, allowed, sent), nil
		}
	}
	return "", nil
}

// budgetResources returns a configuration with a route to each of two services.
func budgetResources() []any {
	var items []any
	for _, s := range []string{"s1", "s2"} {
		items = append(items,
			map[string]any{
				"resourceType": "routes", "metadata": map[string]any{"name": "r-" + s}, "specification": map[string]any{
					"hostname": s + ".example", "pathPrefix": "/", "routeType": "idempotent", "timeoutS": 10,
					"targetLatencyS": 1, "priority": 1, "serviceName": s, "maxAttempts": 2, "public": true,
				},
			},
			map[string]any{
				"resourceType": "services", "metadata": map[string]any{"name": s},
				"specification": map[string]any{
					"healthCheckPath": "/health", "maxConnections": 130, "protocol": "h1", "tlsEnabled": false,
				},
			})
	}
	return items
}
