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

// answer is one request of a client and how it ended.
type answer struct {
	id, class string
	sidecar   int
	sent, at  time.Time
	status    int // 0: none
	body      string
}

// answers is the clients' own book.
type answers struct {
	mu   sync.Mutex
	list []answer
}

func newAnswers() *answers { return new(answers) }

func (a *answers) add(x answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, x)
}

// all returns what ended so far.
func (a *answers) all() []answer {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.list)
}

// Timeout is what each request has.
const Timeout = time.Second

// Load sends so many requests a second over all sidecars that run, of all three classes in turn,
// until stop is called. It returns once all have ended.
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
			if s := f.Sidecars[n%len(f.Sidecars)]; s.Runs() {
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
	x := answer{id: fmt.Sprintf("%d-%d", f.second, n),
		class: []string{"reading", "entry", "look"}[n/len(f.Sidecars)%3], sidecar: s.Number, sent: time.Now()}
	method, body := http.MethodPost, "1"
	if x.class == "look" {
		method, body = http.MethodGet, ""
	}
	ctx, cancel := context.WithTimeout(context.Background(), testbed.MaxWait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+s.Listen+"/"+x.class, strings.NewReader(body))
	if err != nil {
		f.t.Fatalf("fleet: %v", err)
	}
	req.Header.Set("X-Request-ID", x.id)
	req.Header.Set("X-Priority-Class", x.class)
	req.Header.Set("X-Tenant-Id", []string{"north", "south"}[n%2])
	req.Header.Set("X-Timeout", fmt.Sprintf("%dm", Timeout.Milliseconds()))
	if x.class == "reading" {
		req.Header.Set("Idempotency-Key", x.id)
	}
	if res, err := client.Do(req); err == nil {
		text, err := io.ReadAll(res.Body)
		res.Body.Close()
		if err == nil {
			x.status, x.body = res.StatusCode, string(text)
		}
	}
	x.at = time.Now()
	f.Answers.add(x)
}

// Took is how long each request that was answered took, of those sent since a moment.
func (f *Fleet) Took(since time.Time) (took []time.Duration) {
	for _, x := range f.Answers.all() {
		if x.status != 0 && x.sent.After(since) {
			took = append(took, x.at.Sub(x.sent))
		}
	}
	return took
}

// Tally is how the clients' requests ended, those of steady machines.
type Tally struct{ Served, Refused, Failed, Unstable int }

// Add adds another run's.
func (t *Tally) Add(o Tally) {
	t.Served, t.Refused, t.Failed, t.Unstable = t.Served+o.Served, t.Refused+o.Refused, t.Failed+o.Failed,
		t.Unstable+o.Unstable
}

const (
	slack          = 500 * time.Millisecond // an answer may be so late on a busy machine
	drainGrace     = 2 * time.Second
	notifiedLatest = 6 * time.Second // by the protocol, what can't be told counts as told so much later
	keyWindow      = 600 * time.Millisecond
)

// Check looks whether the four rules were kept, by the clients' book and the upstreams' alone. It
// is called when no load is under way.
func (f *Fleet) Check() (tally Tally, broken []string) {
	say := func(format string, args ...any) { broken = append(broken, fmt.Sprintf(format, args...)) }
	arrived := make(map[string][]testbed.Arrival)
	for _, a := range f.ArrivalLog.All() {
		arrived[a.ID] = append(arrived[a.ID], a)
	}
	for _, x := range f.Answers.all() {
		of := arrived[x.id]
		refused := x.status == http.StatusTooManyRequests || x.status == http.StatusServiceUnavailable
		// Rule 2 holds for all, whatever became of the machine.
		switch runs := testbed.Runs(of); {
		case x.class == "entry" && runs > 1:
			say("%s of sidecar %d ran %d times", x.id, x.sidecar, runs)
		case x.class == "entry" && refused && runs > 0:
			say("%s of sidecar %d ran and was refused", x.id, x.sidecar)
		case x.class == "reading" && testbed.Effects(of, keyWindow) > 1:
			say("%s of sidecar %d had %d effects", x.id, x.sidecar, testbed.Effects(of, keyWindow))
		}
		for _, a := range of {
			if a.At.After(x.at.Add(slack)) && x.status != 0 {
				say("%s of sidecar %d arrived %v behind its answer", x.id, x.sidecar, a.At.Sub(x.at))
			}
		}
		// Rule 1, for clients that could count on their machine.
		if !f.Sidecars[x.sidecar].stableThrough(x.sent.Add(-time.Second), x.at) {
			tally.Unstable++
			continue
		}
		switch {
		case x.status == 0:
			say("%s of sidecar %d, sent at %s, has no answer", x.id, x.sidecar, x.sent.Format("05.000"))
		case x.at.Sub(x.sent) > Timeout+slack:
			say("%s of sidecar %d was answered after %v", x.id, x.sidecar, x.at.Sub(x.sent))
		case x.status == http.StatusOK && x.body != "done "+x.id:
			say("%s of sidecar %d got %q", x.id, x.sidecar, x.body)
		}
		switch {
		case x.status == http.StatusOK:
			tally.Served++
		case refused:
			tally.Refused++
		default:
			tally.Failed++
		}
	}
	return tally, append(broken, f.drains(arrived)...)
}

// drains looks for what went to nodes that drain, told long enough before.
func (f *Fleet) drains(arrived map[string][]testbed.Arrival) (broken []string) {
	from := make(map[string]int)
	for _, x := range f.Answers.all() {
		from[x.id] = x.sidecar
	}
	for _, n := range f.Nodes {
		notified := f.Discovery.NotifiedAt(n)
		if !f.Discovery.Draining(n) || notified.IsZero() {
			continue
		}
		for id, all := range arrived {
			for _, a := range all {
				i, known := from[id]
				// One that was stopped or began anew meanwhile hears of it when it goes on; that is tested elsewhere.
				grace := drainGrace
				if known && !f.Sidecars[i].reachableThrough(notified, a.At) {
					grace += notifiedLatest
				}
				if a.Node == n.ID && known && a.At.After(notified.Add(grace)) &&
					f.Sidecars[i].stableThrough(notified, a.At) {
					broken = append(broken,
						fmt.Sprintf("%s of sidecar %d went to the draining %s %v after that was announced", id,
							i, n.ID, a.At.Sub(notified)))
				}
			}
		}
	}
	return broken
}
