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
	watchWait  = 20 * time.Second // how long discovery may hold a watch
	answerTime = 2 * time.Second  // and how long its answer may take besides
	listTime   = 6 * time.Second  // how long it may take over the whole list
	firstRetry = 200 * time.Millisecond
	lastRetry  = 2 * time.Second // with jitter, well under the 6 s after which a drain counts as told
	listLimit  = 8 << 20         // bytes of one answer; far above any real list

	none = -1 // no version
)

var errUnusable = errors.New("unusable list")

// Parse reads an answer; a zone that zones does not name is -1. One malformed entry makes the whole answer unusable.
func Parse(raw []byte, zones map[string]int) (call.Listing, error) {
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
		return call.Listing{}, err
	}
	if answer.Generation == nil {
		return call.Listing{}, errors.New("no generation")
	}
	l := call.Listing{Version: *answer.Generation, Whole: answer.Reset, Address: make(map[policy.ServerID]string), Name: make(map[policy.ServerID]string)}
	for i, e := range answer.Instances {
		if e.InstanceID == "" {
			return call.Listing{}, fmt.Errorf("instance %d has no instanceId", i)
		}
		s := policy.Server{ID: call.ServerID(e.InstanceID), Zone: -1, Cell: e.Cell, Weight: e.Weight}
		if zone, ok := zones[e.Zone]; ok {
			s.Zone = zone
		}
		if e.StartedAtMs > math.MaxInt64/float64(time.Millisecond)/2 { // no time of this clock
			return call.Listing{}, fmt.Errorf("instance %s: startedAtMs is %v", e.InstanceID, e.StartedAtMs)
		}
		s.Started = time.Duration(max(0, e.StartedAtMs) * float64(time.Millisecond))
		switch e.Lifecycle {
		case "ready":
			s.State = policy.Ready
		case "gone":
			s.State = policy.Gone
		default:
			s.State = policy.Draining // nothing new, whatever it is
		}
		if _, _, err := net.SplitHostPort(e.HostPort); err == nil {
			l.Address[s.ID] = e.HostPort
		} else if s.State != policy.Gone {
			return call.Listing{}, fmt.Errorf("instance %s: hostPort: %w", e.InstanceID, err)
		}
		l.Name[s.ID] = e.InstanceID
		l.Servers = append(l.Servers, s)
	}
	return l, nil
}

// Config says what to follow.
type Config struct {
	Address string             // of discovery, host and port
	Zones   map[string]int     // zone by name
	Asked   bool               // the list must be asked for, call after call: see Follower.Ask
	Known   call.Listing       // where it is asked for: the list that is known already, to go on from; without servers: none
	Heard   func(call.Listing) // takes what is learnt, from Run's goroutine
	Failed  func(error)        // takes that a call failed, and why
}

// Follower follows the list of servers and hands on what it learns.
type Follower struct {
	Config
	asked  chan struct{} // where the list must be asked for: the module did
	client http.Client
	have   int64 // the version to go on from after a failure; none: begin with the whole list

	mu    sync.Mutex
	moved context.CancelFunc // ends what is under way with the address before
}

// New makes a follower. Nothing is called until Run.
func New(cfg Config) *Follower {
	d := &Follower{Config: cfg, have: none}
	if cfg.Asked {
		d.asked = make(chan struct{}, 1)
		if len(cfg.Known.Servers) > 0 {
			d.have = cfg.Known.Version
		}
	}
	// Calls to discovery change nothing there, so the standard client may repeat one on a new connection.
	d.client.Transport = &http.Transport{MaxIdleConns: 1, DisableCompression: true}
	return d
}

// Ask takes that the module wants to be subscribed to the list.
func (d *Follower) Ask() {
	select {
	case d.asked <- struct{}{}:
	default: // already asked, or the list is pushed
	}
}

// Move has it follow discovery at another address, from now on.
func (d *Follower) Move(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if address != d.Address {
		d.Address = address
		if d.moved != nil {
			d.moved()
		}
	}
}

// follower returns the address to follow, and a context that ends once that is another.
func (d *Follower) follower(ctx context.Context) (context.Context, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.moved != nil {
		d.moved()
	}
	ctx, d.moved = context.WithCancel(ctx)
	return ctx, d.Address
}

// Run follows the list until ctx ends: the whole list, then watch after watch, and all over again
// after a failure. Where lists are pushed it comes back by itself after a pause; where they are
// asked for, the module says when. At a new address it begins anew at once, with the whole list: the
// versions of the old one mean nothing there.
func (d *Follower) Run(ctx context.Context) {
	defer d.client.CloseIdleConnections()
	pause, moved := firstRetry, false
	for ctx.Err() == nil {
		if d.asked != nil && !moved {
			select {
			case <-d.asked:
			case <-ctx.Done():
				return
			}
		}
		following, address := d.follower(ctx)
		heard, err := d.follow(following, address)
		if ctx.Err() != nil {
			return
		}
		if moved = following.Err() != nil; moved {
			d.have = none
			d.client.CloseIdleConnections()
			pause = firstRetry
			continue
		}
		d.Failed(err)
		if d.asked != nil {
			continue
		}
		if heard {
			pause = firstRetry
		}
		// Jitter: all sidecars lose discovery at the same moment and must not come back as one.
		select {
		case <-time.After(time.Duration(float64(pause) * (0.5 + rand.Float64()))):
		case <-following.Done(): // at its new address nothing has failed yet
		}
		pause = min(2*pause, lastRetry)
	}
}

// follow calls discovery until a call fails. It tells whether any call went well. Where the list must be asked for it goes on
// from the version that it has, after a failure and at the start: discovery is one service for a whole fleet, and a fleet that
// has lost it would ask for as many whole lists at the moment when it can least bear them.
func (d *Follower) follow(ctx context.Context, address string) (heard bool, err error) {
	if d.asked == nil {
		d.have = none
	}
	for {
		query, limit, whole := "", listTime, d.have == none
		if !whole {
			query = fmt.Sprintf("?index=%d&wait=%d", d.have, watchWait.Milliseconds())
			limit = watchWait + answerTime
		}
		l, err := d.call(ctx, address, query, limit)
		if err != nil {
			if errors.Is(err, errUnusable) { // what it told is lost
				d.have = none
			}
			return heard, err
		}
		l.Whole = l.Whole || whole
		if !l.Whole && l.Version < d.have { // another discovery, or one that began anew: its changes build on something else
			err = fmt.Errorf("version %d after %d", l.Version, d.have)
			d.have = none
			return heard, err
		}
		heard, d.have = true, l.Version
		d.Heard(l)
	}
}

func (d *Follower) call(ctx context.Context, address, query string, limit time.Duration) (call.Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/discovery/hosts"+query, nil)
	if err != nil {
		return call.Listing{}, err
	}
	res, err := d.client.Do(req)
	if err != nil {
		return call.Listing{}, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, listLimit+1))
	switch {
	case err != nil:
		return call.Listing{}, err
	case res.StatusCode != http.StatusOK:
		return call.Listing{}, fmt.Errorf("answered %s", res.Status)
	case len(body) > listLimit:
		return call.Listing{}, fmt.Errorf("%w: the answer is too long", errUnusable)
	}
	l, err := Parse(body, d.Zones)
	if err != nil {
		return call.Listing{}, fmt.Errorf("%w: %w", errUnusable, err)
	}
	return l, nil
}
