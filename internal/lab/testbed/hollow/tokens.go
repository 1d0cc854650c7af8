package hollow

import (
	"context"
	"math/rand/v2"
	"time"

	"caperarch/internal/mesh/quota"
	"caperarch/internal/mesh/rpc"
	"caperarch/internal/mesh/sidecar"
)

const (
	// requestTimeout is the time-out of a token request, as in real sidecars.
	requestTimeout = 500 * time.Millisecond
	// maxRequestTimes bounds the memory that the measurement of request times uses.
	maxRequestTimes = 200_000
)

// RequestTokens makes every sidecar request tokens once per interval, as a real sidecar does for tenants with a limit.
// An interval of 0 stops the requests. It cancels requests in flight.
func (f *Fleet) RequestTokens(interval time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopRequests != nil {
		f.stopRequests()
		f.stopRequests = nil
	}
	f.requestTimes = nil
	if interval <= 0 {
		return
	}
	var ctx context.Context
	ctx, f.stopRequests = context.WithCancel(context.Background())
	for _, s := range f.sidecars {
		go s.requestTokens(ctx, interval)
	}
}

// requestTokens requests tokens until ctx ends. The first request is sent after a random part of the interval.
func (s *hollowSidecar) requestTokens(ctx context.Context, interval time.Duration) {
	demands := make([]quota.Demand, 0, len(s.fleet.cfg.Tenants))
	for _, tenant := range s.fleet.cfg.Tenants {
		demands = append(demands, quota.Demand{Tenant: tenant, Requested: 1.5})
	}
	timer := time.NewTimer(rand.N(interval))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		begin := time.Now()
		err := s.requestOnce(ctx, demands)
		took := time.Since(begin)
		if ctx.Err() != nil {
			return
		}
		s.fleet.recordRequest(took, err)
		timer.Reset(max(0, interval-took))
	}
}

func (s *hollowSidecar) requestOnce(ctx context.Context, demands []quota.Demand) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	peers := s.watch.Peers()
	if len(peers) == 0 {
		return context.DeadlineExceeded
	}
	url := "http://" + peers[0] + sidecar.AllocatePath
	request := &sidecar.AllocateRequest{Node: s.node, Request: quota.Request{Demands: demands}}
	_, err := rpc.Call[sidecar.AllocateRequest, sidecar.AllocateResponse](ctx, s.client, url, request)
	return err
}

func (f *Fleet) recordRequest(took time.Duration, err error) {
	if err != nil {
		f.failedRequests.Add(1)
	} else {
		f.requests.Add(1)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.requestError = err.Error()
	}
	if len(f.requestTimes) < maxRequestTimes {
		f.requestTimes = append(f.requestTimes, took)
	}
}
