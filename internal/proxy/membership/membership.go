// Package membership follows discovery's list of servers.
package membership

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"caperarch/internal/proxy/call"
	"caperarch/policy"
)

const (
	watchWait        = 20 * time.Second // how long discovery may hold a watch
	responseSlack    = 2 * time.Second  // and how long its answer may take besides
	fullListTimeout  = 6 * time.Second  // how long it may take over the whole list
	minBackoff       = 200 * time.Millisecond
	maxBackoff       = 2 * time.Second // with jitter, well under the 6 s after which a drain counts as told
	maxResponseBytes = 8 << 20         // bytes of one answer; far above any real list

	noVersion = -1 // no version
)

var errMalformed = errors.New("unusable list")

// Parse reads an answer; a zone that zones does not name is -1. One malformed entry makes the whole answer unusable.
func Parse(raw []byte, zones map[string]int) (call.ServerList, error) {
	var answer struct {
		Generation *int64
		Reset      bool
		Instances  []struct {
			InstanceID  string
			HostPort    string
			Zone        string
			Cell        int
			Lifecycle   string
			Weight      float64
			StartedAtMs float64
		}
	}
	if err := json.Unmarshal(raw, &answer); err != nil {
		return call.ServerList{}, err
	}
	if answer.Generation == nil {
		return call.ServerList{}, errors.New("no generation")
	}
	l := call.ServerList{Version: *answer.Generation, Full: answer.Reset, Addresses: make(map[policy.ServerID]string), Names: make(map[policy.ServerID]string)}
	for i, e := range answer.Instances {
		if e.InstanceID == "" {
			return call.ServerList{}, fmt.Errorf("instance %d has no instanceId", i)
		}
		s := policy.Server{ID: call.ServerID(e.InstanceID), Zone: -1, Cell: e.Cell, Weight: e.Weight}
		if zone, ok := zones[e.Zone]; ok {
			s.Zone = zone
		}
		if e.StartedAtMs > math.MaxInt64/float64(time.Millisecond)/2 { // no time of this clock
			return call.ServerList{}, fmt.Errorf("instance %s: startedAtMs is %v", e.InstanceID, e.StartedAtMs)
		}
		s.Started = time.Duration(max(0, e.StartedAtMs) * float64(time.Millisecond))
		switch e.Lifecycle {
		case "ready":
			s.State = policy.Ready
		case "gone":
			s.State = policy.Deregistered
		default:
			s.State = policy.Draining // nothing new, whatever it is
		}
		if _, _, err := net.SplitHostPort(e.HostPort); err == nil {
			l.Addresses[s.ID] = e.HostPort
		} else if s.State != policy.Deregistered {
			return call.ServerList{}, fmt.Errorf("instance %s: hostPort: %w", e.InstanceID, err)
		}
		l.Names[s.ID] = e.InstanceID
		l.Servers = append(l.Servers, s)
	}
	return l, nil
}

// Config says what to follow.
type Config struct {
	Address  string                // of discovery, host and port
	Zones    map[string]int        // zone by name
	OnDemand bool                  // the list must be asked for, call after call: see Follower.Ask
	Known    call.ServerList       // where it is asked for: the list that is known already, to go on from; without servers: none
	OnUpdate func(call.ServerList) // takes what is learnt, from Run's goroutine
	OnError  func(error)           // takes that a call failed, and why
}

// Follower follows the list of servers and hands on what it learns.
type Follower struct {
	Config
	trigger chan struct{} // where the list must be asked for: the module did
	client  http.Client
	version int64 // the version to go on from after a failure; none: begin with the whole list

	mu            sync.Mutex
	cancelCurrent context.CancelFunc // ends what is under way with the address before
}

// New makes a follower. Nothing is called until Run.
func New(cfg Config) *Follower {
	d := &Follower{Config: cfg, version: noVersion}
	if cfg.OnDemand {
		d.trigger = make(chan struct{}, 1)
		if len(cfg.Known.Servers) > 0 {
			d.version = cfg.Known.Version
		}
	}
	// Calls to discovery change nothing there, so the standard client may repeat one on a new connection.
	d.client.Transport = &http.Transport{MaxIdleConns: 1, DisableCompression: true}
	return d
}

// Trigger takes that the module wants to be subscribed to the list.
func (d *Follower) Trigger() {
	select {
	case d.trigger <- struct{}{}:
	default: // already asked, or the list is pushed
	}
}

// SetAddress has it follow discovery at another address, from now on.
func (d *Follower) SetAddress(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if address != d.Address {
		d.Address = address
		if d.cancelCurrent != nil {
			d.cancelCurrent()
		}
	}
}

// currentAddress returns the address to follow, and a context that ends once that is another.
func (d *Follower) currentAddress(ctx context.Context) (context.Context, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cancelCurrent != nil {
		d.cancelCurrent()
	}
	ctx, d.cancelCurrent = context.WithCancel(ctx)
	return ctx, d.Address
}

// Run follows the list until ctx ends: the whole list, then watch after watch, and all over again
// after a failure. Where lists are pushed it comes back by itself after a pause; where they are
// asked for, the module says when. At a new address it begins anew at once, with the whole list: the
// versions of the old one mean nothing there.
func (d *Follower) Run(ctx context.Context) {
	defer d.client.CloseIdleConnections()
	pause, moved := minBackoff, false
	for ctx.Err() == nil {
		if d.trigger != nil && !moved {
			select {
			case <-d.trigger:
			case <-ctx.Done():
				return
			}
		}
		following, address := d.currentAddress(ctx)
		heard, err := d.follow(following, address)
		if ctx.Err() != nil {
			return
		}
		if moved = following.Err() != nil; moved {
			d.version = noVersion
			d.client.CloseIdleConnections()
			pause = minBackoff
			continue
		}
		d.OnError(err)
		if d.trigger != nil {
			continue
		}
		if heard {
			pause = minBackoff
		}
		// Jitter: all sidecars lose discovery at the same moment and must not come back as one.
		select {
		case <-time.After(time.Duration(float64(pause) * (0.5 + rand.Float64()))):
		case <-following.Done(): // at its new address nothing has failed yet
		}
		pause = min(2*pause, maxBackoff)
	}
}

// follow calls discovery until a call fails. It tells whether any call went well. Where the list must be asked for it goes on
// from the version that it has, after a failure and at the start: discovery is one service for a whole fleet, and a fleet that
// has lost it would ask for as many whole lists at the moment when it can least bear them.
func (d *Follower) follow(ctx context.Context, address string) (heard bool, err error) {
	if d.trigger == nil {
		d.version = noVersion
	}
	for {
		query, limit, whole := "", fullListTimeout, d.version == noVersion
		if !whole {
			query = fmt.Sprintf("?index=%d&wait=%d", d.version, watchWait.Milliseconds())
			limit = watchWait + responseSlack
		}
		l, err := d.fetch(ctx, address, query, limit)
		if err != nil {
			if errors.Is(err, errMalformed) { // what it told is lost
				d.version = noVersion
			}
			return heard, err
		}
		l.Full = l.Full || whole
		if !l.Full && l.Version < d.version { // another discovery, or one that began anew: its changes build on something else
			err = fmt.Errorf("version %d after %d", l.Version, d.version)
			d.version = noVersion
			return heard, err
		}
		heard, d.version = true, l.Version
		d.OnUpdate(l)
	}
}

func (d *Follower) fetch(ctx context.Context, address, query string, limit time.Duration) (call.ServerList, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/discovery/hosts"+query, nil)
	if err != nil {
		return call.ServerList{}, err
	}
	res, err := d.client.Do(req)
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
	l, err := Parse(body, d.Zones)
	if err != nil {
		return call.ServerList{}, fmt.Errorf("%w: %w", errMalformed, err)
	}
	return l, nil
}
