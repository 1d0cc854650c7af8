package sidecar

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"caperarch/policy"
)

const (
	watchWait  = 20 * time.Second // how long discovery may hold a watch
	answerTime = 2 * time.Second  // and how long its answer may take besides
	listTime   = 6 * time.Second  // how long it may take over the whole list
	firstRetry = 200 * time.Millisecond
	lastRetry  = 2 * time.Second // with jitter, well under the 6 s after which a drain counts as told
	listLimit  = 8 << 20         // bytes of one answer; far above any real list
)

// listing is one answer of discovery.
type listing struct {
	version int64
	whole   bool
	servers []policy.Server
	address map[policy.ServerID]string
}

// serverID names a server by a hash of its instanceId: the same at every sidecar and after a
// restart, as the module spreads the sidecars over the servers by the order of their ids.
func serverID(instance string) policy.ServerID {
	h := fnv.New64a()
	_, _ = io.WriteString(h, instance) // a hash takes everything
	return policy.ServerID(h.Sum64())
}

// parseListing reads an answer. One malformed entry makes the whole answer unusable.
func parseListing(raw []byte, zones map[string]int) (listing, error) {
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
		return listing{}, err
	}
	if answer.Generation == nil {
		return listing{}, errors.New("no generation")
	}
	l := listing{version: *answer.Generation, whole: answer.Reset, address: make(map[policy.ServerID]string)}
	for i, e := range answer.Instances {
		if e.InstanceID == "" {
			return listing{}, fmt.Errorf("instance %d has no instanceId", i)
		}
		s := policy.Server{ID: serverID(e.InstanceID), Zone: -1, Cell: e.Cell, Weight: e.Weight}
		if zone, ok := zones[e.Zone]; ok {
			s.Zone = zone
		}
		if e.StartedAtMs > math.MaxInt64/float64(time.Millisecond)/2 { // no time of this clock
			return listing{}, fmt.Errorf("instance %s: startedAtMs is %v", e.InstanceID, e.StartedAtMs)
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
			l.address[s.ID] = e.HostPort
		} else if s.State != policy.Gone {
			return listing{}, fmt.Errorf("instance %s: hostPort: %w", e.InstanceID, err)
		}
		l.servers = append(l.servers, s)
	}
	return l, nil
}

// discovery follows the list of servers and hands what it learns to the loop.
type discovery struct {
	zones  map[string]int
	asked  chan struct{} // where the list must be asked for: the module did
	heard  func(listing)
	failed func()
	client http.Client

	mu      sync.Mutex
	address string
	moved   context.CancelFunc // ends what is under way with the address before
}

func newDiscovery(cfg *Config, heard func(listing), failed func()) *discovery {
	d := &discovery{address: cfg.Discovery, zones: cfg.Zones, heard: heard, failed: failed}
	if cfg.Policy.AskList {
		d.asked = make(chan struct{}, 1)
	}
	// Calls to discovery change nothing there, so the standard client may repeat one on a new connection.
	d.client.Transport = &http.Transport{MaxIdleConns: 1, DisableCompression: true}
	return d
}

// ask takes that the module wants to be subscribed to the list.
func (d *discovery) ask() {
	select {
	case d.asked <- struct{}{}:
	default: // already asked, or the list is pushed
	}
}

// reload takes discovery's address from the configuration as it is now. The rest of it holds until
// the next start. A file that can't be used changes nothing.
func (d *discovery) reload(path string) {
	cfg, err := ReadConfig(path)
	if err != nil {
		slog.Error("the new configuration can't be used, the old one stays", "error", err)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	slog.Info("configuration read again", "discovery", cfg.Discovery, "before", d.address)
	if cfg.Discovery != d.address {
		d.address = cfg.Discovery
		if d.moved != nil {
			d.moved()
		}
	}
}

// follower returns the address to follow, and a context that ends once that is another.
func (d *discovery) follower(ctx context.Context) (context.Context, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.moved != nil {
		d.moved()
	}
	ctx, d.moved = context.WithCancel(ctx)
	return ctx, d.address
}

// run follows the list until ctx ends: the whole list, then watch after watch, and all over again
// after a failure. Where lists are pushed it comes back by itself after a pause; where they are
// asked for, the module says when. At a new address it begins anew at once, with the whole list: the
// versions of the old one mean nothing there.
func (d *discovery) run(ctx context.Context) {
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
			d.client.CloseIdleConnections()
			pause = firstRetry
			continue
		}
		slog.Warn("discovery", "error", err)
		d.failed()
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

// follow calls discovery until a call fails. It tells whether any call went well.
func (d *discovery) follow(ctx context.Context, address string) (heard bool, err error) {
	version := int64(-1)
	for {
		query, limit := "", listTime
		if heard {
			query = fmt.Sprintf("?index=%d&wait=%d", version, watchWait.Milliseconds())
			limit = watchWait + answerTime
		}
		l, err := d.call(ctx, address, query, limit)
		if err != nil {
			return heard, err
		}
		l.whole = l.whole || !heard // the first call asked for the whole list
		heard, version = true, l.version
		d.heard(l)
	}
}

func (d *discovery) call(ctx context.Context, address, query string, limit time.Duration) (listing, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/discovery/hosts"+query, nil)
	if err != nil {
		return listing{}, err
	}
	res, err := d.client.Do(req)
	if err != nil {
		return listing{}, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, listLimit+1))
	switch {
	case err != nil:
		return listing{}, err
	case res.StatusCode != http.StatusOK:
		return listing{}, fmt.Errorf("answered %s", res.Status)
	case len(body) > listLimit:
		return listing{}, errors.New("the answer is too long")
	}
	return parseListing(body, d.zones)
}
