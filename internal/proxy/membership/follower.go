// Package membership follows discovery's list of servers. A Follower does so for one subscriber, a
// Subscription over a watch that all subscribers of a process share.
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
	watchWait        = 20 * time.Second // how long discovery may hold a watch request
	responseSlack    = 2 * time.Second  // and how long its answer may take beyond that
	fullListTimeout  = 6 * time.Second  // for the answer to a request for the full list
	minBackoff       = 200 * time.Millisecond
	maxBackoff       = 2 * time.Second // with jitter, well below the 6 s after which a drain counts as received
	maxResponseBytes = 8 << 20         // far above any real list

	noVersion = -1
)

var errMalformed = errors.New("unusable list")

// Config says what to follow.
type Config struct {
	Address string         // of discovery, host and port
	Zones   map[string]int // zone number by name
	// OnDemand says that discovery is only called when Follower.Trigger asks for it, not again and again.
	OnDemand bool
	// Known is the list that is known already, from whose version a follower with OnDemand watches; without
	// servers it is ignored.
	Known    call.ServerList
	OnUpdate func(call.ServerList) // called with each answer, from Run's goroutine
	OnError  func(error)           // called when a call failed, from Run's goroutine
}

// Follower follows the list of servers and passes on each update. Run is called once, from any goroutine; the
// other methods may be called from any goroutine.
type Follower struct {
	Config
	trigger chan struct{} // OnDemand: holds an item if discovery is to be called
	client  http.Client
	version int64 // to watch from; noVersion: fetch the full list. Run's goroutine alone uses it.

	mu            sync.Mutex         // guards Address and cancelCurrent
	cancelCurrent context.CancelFunc // ends the calls to the current address
}

// New makes a follower. It calls nothing until Run.
func New(cfg Config) *Follower {
	f := &Follower{Config: cfg, version: noVersion}
	if cfg.OnDemand {
		f.trigger = make(chan struct{}, 1)
		if len(cfg.Known.Servers) > 0 {
			f.version = cfg.Known.Version
		}
	}
	// Calls to discovery change nothing there, so the standard client may repeat one on a new connection.
	f.client.Transport = &http.Transport{MaxIdleConns: 1, DisableCompression: true}
	return f
}

// Trigger has a follower with OnDemand call discovery, unless it does already. It never blocks.
func (f *Follower) Trigger() {
	select {
	case f.trigger <- struct{}{}:
	default: // already triggered, or not OnDemand
	}
}

// SetAddress has the follower go on with discovery at another address at once.
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

// currentAddress returns the address to follow, and a context that ends when SetAddress sets another.
func (f *Follower) currentAddress(ctx context.Context) (context.Context, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancelCurrent != nil {
		f.cancelCurrent()
	}
	ctx, f.cancelCurrent = context.WithCancel(ctx)
	return ctx, f.Address
}

// Run follows the list until ctx ends: it fetches the full list, watches for changes, and begins again after a
// failure, by itself after a backoff or, with OnDemand, at the next Trigger. At a new address it begins at
// once, with the full list: versions of the old address mean nothing there.
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
		// Jitter: all sidecars lose discovery at the same moment and must not come back at the same moment.
		select {
		case <-time.After(time.Duration(float64(backoff) * (0.5 + rand.Float64()))):
		case <-addressCtx.Done(): // nothing has failed yet at the new address
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// follow calls discovery until a call fails, and says whether any succeeded. With OnDemand it watches from the
// last version, after a failure and at the start too: a fleet that has lost discovery would else ask it for as
// many full lists at the moment when it can least serve them.
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
			if errors.Is(err, errMalformed) { // its changes are lost
				f.version = noVersion
			}
			return succeeded, err
		}
		list.Full = list.Full || full
		if !list.Full && list.Version < f.version { // discovery restarted: its changes are to another list
			err = fmt.Errorf("version %d after %d", list.Version, f.version)
			f.version = noVersion
			return succeeded, err
		}
		succeeded, f.version = true, list.Version
		f.OnUpdate(list)
	}
}

// fetch makes one call to discovery.
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
		return call.ServerList{}, fmt.Errorf("answered %s", res.Status)
	case len(body) > maxResponseBytes:
		return call.ServerList{}, fmt.Errorf("%w: the answer is too long", errMalformed)
	}
	list, err := Parse(body, f.Zones)
	if err != nil {
		return call.ServerList{}, fmt.Errorf("%w: %w", errMalformed, err)
	}
	return list, nil
}
