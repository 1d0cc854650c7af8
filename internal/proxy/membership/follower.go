// Package membership follows the server list of the discovery service. A Follower has its own watch, and a Subscription
// uses a watch that subscriptions to the same discovery service in a process share.
package membership

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"caperarch/internal/proxy/call"
)

const (
	watchWait        = 20 * time.Second // how long discovery may hold a watch request open
	responseSlack    = 2 * time.Second  // additional limit for the response to a watch request
	fullListTimeout  = 6 * time.Second  // limit for the response to a request for the full list
	minBackoff       = 200 * time.Millisecond
	maxBackoff       = 2 * time.Second // with jitter, well below the 6 s after which a drain is assumed to be received
	maxResponseBytes = 8 << 20         // far above the size of any real list

	noVersion = -1 // no version is known, so the full list is fetched
)

var errMalformed = errors.New("malformed server list")

// Config configures a Follower or a Subscription.
type Config struct {
	Address string         // address of discovery, host:port
	Zones   map[string]int // zone number by name
	// OnDemand makes a Follower call discovery only after Follower.Trigger, and not retry after a failure.
	OnDemand bool
	// Known is a list from an earlier run. With OnDemand, a Follower watches from its version instead of fetching the full
	// list first. A list without servers is ignored.
	Known    call.ServerList
	OnUpdate func(call.ServerList) // called with each response, from Run's goroutine
	OnError  func(error)           // called after each failed call, from Run's goroutine
}

// Follower follows the server list and passes each update to Config.OnUpdate. Run must be called at most once. The
// methods are safe for concurrent use.
type Follower struct {
	Config
	trigger chan struct{} // with OnDemand, has an item if discovery is to be called; otherwise nil
	client  http.Client
	version int64 // version to watch from, or noVersion; used only by Run's goroutine

	mu            sync.Mutex         // guards Address and cancelCurrent
	cancelCurrent context.CancelFunc // cancels the calls to the current address
}

// New returns a follower. It does not call discovery before Run is called.
func New(cfg Config) *Follower {
	f := &Follower{Config: cfg, version: noVersion}
	if cfg.OnDemand {
		f.trigger = make(chan struct{}, 1)
		if len(cfg.Known.Servers) > 0 {
			f.version = cfg.Known.Version
		}
	}
	// Calls to discovery are idempotent, so the standard client may retry a call on a new connection.
	f.client.Transport = &http.Transport{MaxIdleConns: 1, DisableCompression: true}
	return f
}

// Trigger makes a follower with OnDemand call discovery, unless a call is already in progress. It never blocks.
func (f *Follower) Trigger() {
	select {
	case f.trigger <- struct{}{}:
	default: // already triggered, or OnDemand is not set
	}
}

// SetAddress makes the follower switch to discovery at another address immediately.
func (f *Follower) SetAddress(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if address == f.Address {
		return
	}
	f.Address = address
	if f.cancelCurrent != nil {
		f.cancelCurrent()
	}
}

// currentAddress returns the address to follow, and a context that is cancelled when SetAddress sets another address.
func (f *Follower) currentAddress(ctx context.Context) (context.Context, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancelCurrent != nil {
		f.cancelCurrent()
	}
	ctx, f.cancelCurrent = context.WithCancel(ctx)
	return ctx, f.Address
}

// Run follows the list until ctx ends. It fetches the full list and then watches for changes. After a failure it starts
// again after a backoff or, with OnDemand, at the next Trigger. When the address changes, it fetches the full list from
// the new address immediately, because list versions are not comparable between addresses.
func (f *Follower) Run(ctx context.Context) {
	defer f.client.CloseIdleConnections()
	backoff, addressChanged := minBackoff, false
	for ctx.Err() == nil {
		if f.trigger != nil && !addressChanged {
			select {
			case <-f.trigger:
			case <-ctx.Done():
				return
			}
		}
		addressCtx, address := f.currentAddress(ctx)
		succeeded, err := f.follow(addressCtx, address)
		if ctx.Err() != nil {
			return
		}
		addressChanged = addressCtx.Err() != nil
		if addressChanged {
			f.version = noVersion
			f.client.CloseIdleConnections()
			backoff = minBackoff
			continue
		}
		f.OnError(err)
		if f.trigger != nil {
			continue
		}
		if succeeded {
			backoff = minBackoff
		}
		// Jitter: all sidecars lose discovery at the same time and must not reconnect at the same time.
		select {
		case <-time.After(time.Duration(float64(backoff) * (0.5 + rand.Float64()))):
		case <-addressCtx.Done(): // a new address needs no backoff
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// follow calls discovery until a call fails, and returns whether any call succeeded. With OnDemand it watches from the
// last known version, even at the start and after a failure. Otherwise all sidecars would request the full list at the
// same time after an outage of discovery, when discovery is under most load.
func (f *Follower) follow(ctx context.Context, address string) (succeeded bool, err error) {
	if f.trigger == nil {
		f.version = noVersion
	}
	for {
		query, timeout, full := "", fullListTimeout, f.version == noVersion
		if !full {
			query = fmt.Sprintf("?index=%d&wait=%d", f.version, watchWait.Milliseconds())
			timeout = watchWait + responseSlack
		}
		list, err := f.fetch(ctx, address, query, timeout)
		if err != nil {
			if errors.Is(err, errMalformed) { // the changes in the response are lost
				f.version = noVersion
			}
			return succeeded, err
		}
		list.Full = list.Full || full
		if !list.Full && list.Version < f.version { // discovery restarted, so the changes do not apply to the known list
			err = fmt.Errorf("discovery returned version %d after version %d, want no lower version", list.Version, f.version)
			f.version = noVersion
			return succeeded, err
		}
		succeeded, f.version = true, list.Version
		f.OnUpdate(list)
	}
}

// fetch makes one call to discovery and returns the list in the response.
func (f *Follower) fetch(
	ctx context.Context, address, query string, timeout time.Duration,
) (call.ServerList, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	url := "http://" + address + "/discovery/hosts" + query
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return call.ServerList{}, err
	}
	res, err := f.client.Do(req)
	if err != nil {
		return call.ServerList{}, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes+1))
	switch {
	case err != nil:
		return call.ServerList{}, err
	case res.StatusCode != http.StatusOK:
		return call.ServerList{}, fmt.Errorf("discovery responded with status %s, want 200", res.Status)
	case len(body) > maxResponseBytes:
		return call.ServerList{}, fmt.Errorf("%w: response is longer than 8 MiB", errMalformed)
	}
	list, err := Parse(body, f.Zones)
	if err != nil {
		return call.ServerList{}, fmt.Errorf("%w: %w", errMalformed, err)
	}
	return list, nil
}
