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

// Streams has each sidecar that runs sent a stream of its own, at random moments, of rate requests
// a second as that is now, until stop is called. It returns once all have ended.
func (f *Fleet) Streams(seed uint64, rate func(sidecar int, since time.Duration) float64) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32, IdleConnTimeout: time.Second}}
	var streams, out sync.WaitGroup
	var number atomic.Int64
	begun := time.Now()
	for i, s := range f.Sidecars {
		streams.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			timer := time.NewTimer(0)
			defer timer.Stop()
			due := begun // a late timer loses no request
			for {
				perSecond := max(1e-3, rate(i, time.Since(begun)))
				due = due.Add(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
				timer.Reset(time.Until(due))
				select {
				case <-timer.C:
				case <-ctx.Done():
					return
				}
				if s.Runs() {
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

// Arrivals are the clients' requests as upstreams saw them, since a moment; upstreams are numbered
// by their ids, s-0 and so on. It is to be called when no load is under way.
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
