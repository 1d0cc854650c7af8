package fleet

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"caperarch/internal/lab/loadspread"
)

// Streams sends each running sidecar a stream of requests at random moments, until stop is called. The function rate
// returns the present rate of a sidecar in requests per second. The function stop returns when all requests have ended.
func (f *Fleet) Streams(seed uint64, rate func(sidecar int, since time.Duration) float64) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32, IdleConnTimeout: time.Second}}
	var streams, out sync.WaitGroup
	var number atomic.Int64
	started := time.Now()
	for i, s := range f.Sidecars {
		streams.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			timer := time.NewTimer(0)
			defer timer.Stop()
			// The next request is due relative to the last due time, so that a late timer loses no requests.
			due := started
			for {
				perSecond := max(1e-3, rate(i, time.Since(started)))
				due = due.Add(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
				timer.Reset(time.Until(due))
				select {
				case <-timer.C:
				case <-ctx.Done():
					return
				}
				if s.Running() {
					out.Go(func() { f.request(client, s, int(number.Add(1))) })
				}
			}
		})
	}
	return func() {
		cancel()
		streams.Wait()
		out.Wait()
		client.CloseIdleConnections()
	}
}

// Arrivals returns the clients' requests that arrived at upstreams after a moment. Upstreams are numbered by their IDs
// s-0, s-1 and so on. Arrivals must be called when no load is running.
func (f *Fleet) Arrivals(since time.Time) (all []loadspread.Arrival) {
	from := make(map[string]int)
	for _, x := range f.Answers.all() {
		from[x.id] = x.sidecar
	}
	for _, a := range f.ArrivalLog.All() {
		node, err := strconv.Atoi(strings.TrimPrefix(a.Node, "s-"))
		if sidecar, known := from[a.ID]; known && err == nil && a.At.After(since) {
			all = append(all, loadspread.Arrival{At: a.At.Sub(since), To: node, From: sidecar})
		}
	}
	return all
}
