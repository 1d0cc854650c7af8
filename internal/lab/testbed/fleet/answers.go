package fleet

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"caperarch/internal/lab/testbed"
)

// answer is a client's record of a request and its response.
type answer struct {
	id, class   string
	sidecar     int
	sent, ended time.Time
	status      int // 0 if there was no response
	body        string
}

// answers holds the records of all clients.
type answers struct {
	mu   sync.Mutex
	list []answer
}

func newAnswers() *answers { return new(answers) }

func (a *answers) add(result answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, result)
}

// all returns the records of the requests that have ended.
func (a *answers) all() []answer {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.list)
}

// Timeout is the time-out of every request.
const Timeout = time.Second

// Load sends the given number of requests per second, distributed over the running sidecars and the three request
// classes, until stop is called. The function stop returns when all requests have ended.
func (f *Fleet) Load(perSecond int) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32, IdleConnTimeout: time.Second}}
	var out sync.WaitGroup
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
			if s := f.Sidecars[n%len(f.Sidecars)]; s.Running() {
				out.Go(func() { f.request(client, s, n) })
			}
		}
	}()
	return func() {
		cancel()
		<-done
		out.Wait()
		client.CloseIdleConnections()
	}
}

func (f *Fleet) request(client *http.Client, s *Sidecar, n int) {
	result := answer{id: fmt.Sprintf("%d-%d", f.network, n),
		class: []string{"reading", "entry", "look"}[n/len(f.Sidecars)%3], sidecar: s.Number, sent: time.Now()}
	method, body := http.MethodPost, "1"
	if result.class == "look" {
		method, body = http.MethodGet, ""
	}
	ctx, cancel := context.WithTimeout(context.Background(), testbed.MaxWait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+s.Listen+"/"+result.class, strings.NewReader(body))
	if err != nil {
		f.t.Fatalf("fleet: %v", err)
	}
	req.Header.Set("X-Request-ID", result.id)
	req.Header.Set("X-Priority-Class", result.class)
	req.Header.Set("X-Tenant-Id", []string{"north", "south"}[n%2])
	req.Header.Set("X-Timeout", fmt.Sprintf("%dm", Timeout.Milliseconds()))
	if result.class == "reading" {
		req.Header.Set("Idempotency-Key", result.id)
	}
	if res, err := client.Do(req); err == nil {
		text, err := io.ReadAll(res.Body)
		res.Body.Close()
		if err == nil {
			result.status, result.body = res.StatusCode, string(text)
		}
	}
	result.ended = time.Now()
	f.Answers.add(result)
}

// Latencies returns the latency of each request that was sent after a moment and answered.
func (f *Fleet) Latencies(since time.Time) (took []time.Duration) {
	for _, result := range f.Answers.all() {
		if result.status != 0 && result.sent.After(since) {
			took = append(took, result.ended.Sub(result.sent))
		}
	}
	return took
}

// Tally counts the outcomes of the clients' requests to stable machines, and the requests to unstable machines.
type Tally struct{ Served, Refused, Failed, Unstable int }

// Add adds the counts of another run.
func (t *Tally) Add(o Tally) {
	t.Served, t.Refused, t.Failed, t.Unstable = t.Served+o.Served, t.Refused+o.Refused, t.Failed+o.Failed,
		t.Unstable+o.Unstable
}

const (
	responseSlack  = 500 * time.Millisecond // a response may be this late on a busy machine
	drainGrace     = 2 * time.Second
	maxNotifyDelay = 6 * time.Second // by the protocol, an undelivered change counts as delivered after this time
	dedupWindow    = 600 * time.Millisecond
)

// Check checks the four rules for operators, using only the records of clients and upstreams. It must be called when no
// load is running.
func (f *Fleet) Check() (tally Tally, violations []string) {
	report := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	arrived := make(map[string][]testbed.Arrival)
	for _, a := range f.ArrivalLog.All() {
		arrived[a.ID] = append(arrived[a.ID], a)
	}
	for _, result := range f.Answers.all() {
		arrivals := arrived[result.id]
		refused := result.status == http.StatusTooManyRequests || result.status == http.StatusServiceUnavailable
		// Rule 2 holds for every machine, stable or not.
		switch runs := testbed.Runs(arrivals); {
		case result.class == "entry" && runs > 1:
			report("unsafe request %s of sidecar %d ran %d times", result.id, result.sidecar, runs)
		case result.class == "entry" && refused && runs > 0:
			report("unsafe request %s of sidecar %d ran and was refused", result.id, result.sidecar)
		case result.class == "reading" && testbed.Effects(arrivals, dedupWindow) > 1:
			report("request %s of sidecar %d had %d effects, want at most 1", result.id, result.sidecar,
				testbed.Effects(arrivals, dedupWindow))
		}
		for _, a := range arrivals {
			if a.At.After(result.ended.Add(responseSlack)) && result.status != 0 {
				report("request %s of sidecar %d arrived at an upstream %v after its response",
					result.id, result.sidecar, a.At.Sub(result.ended))
			}
		}
		// Rule 1 holds for clients of stable machines.
		if !f.Sidecars[result.sidecar].stableThrough(result.sent.Add(-time.Second), result.ended) {
			tally.Unstable++
			continue
		}
		switch {
		case result.status == 0:
			report("request %s of sidecar %d, sent at %s, has no response",
				result.id, result.sidecar, result.sent.Format("05.000"))
		case result.ended.Sub(result.sent) > Timeout+responseSlack:
			report("request %s of sidecar %d was answered after %v, later than its time-out and slack",
				result.id, result.sidecar, result.ended.Sub(result.sent))
		case result.status == http.StatusOK && result.body != "done "+result.id:
			report("request %s of sidecar %d got the unexpected body %q", result.id, result.sidecar, result.body)
		}
		switch {
		case result.status == http.StatusOK:
			tally.Served++
		case refused:
			tally.Refused++
		default:
			tally.Failed++
		}
	}
	return tally, append(violations, f.drains(arrived)...)
}

// drains checks that no request is sent to a draining node later than allowed after the drain was announced.
func (f *Fleet) drains(arrived map[string][]testbed.Arrival) (violations []string) {
	from := make(map[string]int)
	for _, result := range f.Answers.all() {
		from[result.id] = result.sidecar
	}
	for _, n := range f.Nodes {
		notified := f.Discovery.NotifiedAt(n)
		if !f.Discovery.Draining(n) || notified.IsZero() {
			continue
		}
		for id, all := range arrived {
			for _, a := range all {
				i, known := from[id]
				// A sidecar that was paused or restarted meanwhile learns of the drain when it resumes; other tests
				// cover that.
				grace := drainGrace
				if known && !f.Sidecars[i].reachableThrough(notified, a.At) {
					grace += maxNotifyDelay
				}
				if a.Node == n.ID && known && a.At.After(notified.Add(grace)) &&
					f.Sidecars[i].stableThrough(notified, a.At) {
					violations = append(violations,
						fmt.Sprintf("request %s of sidecar %d was sent to %s %v after its drain was announced",
							id, i, n.ID, a.At.Sub(notified)))
				}
			}
		}
	}
	return violations
}
