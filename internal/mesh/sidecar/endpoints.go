package sidecar

import (
	"slices"
	"sync"
	"time"

	"caperarch/internal/mesh/registry"
	"caperarch/internal/proxy/call"
	"caperarch/policy"
)

// endpoints are the upstreams as this sidecar knows them: the catalogue, as it was pushed here, and the one beside it, of which it knows at first hand. They number services, as
// the modules know them by number.
type endpoints struct {
	mu              sync.Mutex
	upstreams       map[string]registry.Upstream // by instance
	local           *registry.Upstream           // beside us; nil: it has not told yet
	deregistered    []string                     // instances that were beside us, the last mostEnded
	serviceNumbers  map[string]int
	serviceNames    []string       // of services, by number
	readySlots      map[string]int // of the ready upstreams of a service
	totalReadySlots int
	zones           map[string]int
	inboundAddress  string    // of this sidecar
	warmAt          time.Time // when the one beside us is warm
}

// mostEnded bounds the instances that are remembered to have ended.
const maxDeregistered = 64

func newEndpoints(zones []string, inbound string) *endpoints {
	s := &endpoints{upstreams: make(map[string]registry.Upstream), serviceNumbers: make(map[string]int), readySlots: make(map[string]int), zones: make(map[string]int), inboundAddress: inbound}
	for i, z := range zones {
		s.zones[z] = i
	}
	return s
}

// number is a service's number, the same for this process's life.
func (e *endpoints) serviceNumber(service string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.serviceNumberLocked(service)
}

func (e *endpoints) serviceNumberLocked(service string) int {
	n, known := e.serviceNumbers[service]
	if !known {
		n = len(e.serviceNumbers)
		e.serviceNumbers[service] = n
		e.serviceNames = append(e.serviceNames, service)
	}
	return n
}

// name is the service of a number.
func (e *endpoints) serviceName(number int) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.serviceNames[number]
}

// share is a service's part of all slots.
func (e *endpoints) slotShare(service string) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.totalReadySlots == 0 {
		return 1
	}
	return max(1, float64(e.readySlots[service])) / float64(e.totalReadySlots)
}

// take takes what was pushed. It says whether that tells more of the one beside us than we know: that it drains, told to a core machine while we were not there.
func (e *endpoints) apply(full bool, upserts []registry.Upstream, removals []string) (more bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if full {
		clear(e.upstreams)
	}
	for _, u := range upserts {
		e.upstreams[u.Instance] = u
		if e.local != nil && e.local.Instance == u.Instance && u.Sequence > e.local.Sequence && u.State > e.local.State {
			local := *e.local
			local.State, local.Sequence, more = u.State, u.Sequence, true
			e.local = &local
		}
	}
	for _, instance := range removals {
		delete(e.upstreams, instance)
	}
	e.countSlots()
	return more
}

// meet takes who is beside us by its own answer to a question; false: it has told by itself meanwhile.
func (e *endpoints) adoptDiscovered(u registry.Upstream) bool {
	e.mu.Lock()
	known := e.local != nil
	e.mu.Unlock()
	return !known && e.recordHeartbeat(u)
}

// tell takes what the upstream beside us says; false: it has said something later before.
func (e *endpoints) recordHeartbeat(u registry.Upstream) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if slices.Contains(e.deregistered, u.Instance) || e.local != nil && e.local.Instance == u.Instance && (u.Sequence < e.local.Sequence || e.local.State > u.State) {
		return false
	}
	if e.local != nil && e.local.Instance != u.Instance {
		if e.local.State == registry.Ready && u.State != registry.Ready {
			e.rememberDeregistered(u.Instance) // the last word of a life before this one, of which nothing else was heard
			return false
		}
		e.rememberDeregistered(e.local.Instance)
	}
	u.Inbound = e.inboundAddress
	e.local = &u
	e.warmAt = time.Now().Add(time.Duration(u.WarmupRemaining * float64(time.Second)))
	e.countSlots()
	return true
}

// slotsBeside is how many requests the upstream beside us works on at once.
func (e *endpoints) localSlots() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.local == nil {
		return 1
	}
	return max(1, e.local.Slots)
}

// end remembers that an instance beside us has ended: a late word of it brings it back to nobody. The caller holds the lock.
func (e *endpoints) rememberDeregistered(instance string) {
	if slices.Contains(e.deregistered, instance) {
		return
	}
	if e.deregistered = append(e.deregistered, instance); len(e.deregistered) > maxDeregistered {
		e.deregistered = slices.Delete(e.deregistered, 0, 1)
	}
}

// gone takes that an instance has ended.
func (e *endpoints) deregister(instance string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rememberDeregistered(instance)
	if e.local != nil && e.local.Instance == instance {
		local := *e.local
		local.State = registry.Deregistered
		e.local = &local
	}
	if u, known := e.upstreams[instance]; known {
		u.State = registry.Deregistered
		e.upstreams[instance] = u
	}
	e.countSlots()
}

// beside is the upstream beside us as a lease tells of it.
func (e *endpoints) localUpstream() *registry.Upstream {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.local == nil {
		return nil
	}
	u := *e.local
	u.WarmupRemaining = max(0, time.Until(e.warmAt).Seconds())
	return &u
}

func (e *endpoints) countSlots() {
	clear(e.readySlots)
	e.totalReadySlots = 0
	e.forEach(func(u registry.Upstream) {
		if u.State == registry.Ready {
			e.readySlots[u.Service] += u.Slots
			e.totalReadySlots += u.Slots
		}
	})
}

// each has told called with every upstream; of those beside us only with the one that told us itself, if one has. The caller holds the lock.
func (e *endpoints) forEach(visit func(registry.Upstream)) {
	for _, u := range e.upstreams {
		if e.local == nil || u.Inbound != e.inboundAddress {
			visit(u)
		}
	}
	if e.local != nil {
		visit(*e.local)
	}
}

// listing is the list that requests are sent by. Of the one beside us our own knowledge goes first.
func (e *endpoints) balancerListing() call.Listing {
	e.mu.Lock()
	defer e.mu.Unlock()
	listing := call.Listing{Whole: true, Address: make(map[policy.ServerID]string), Name: make(map[policy.ServerID]string)}
	e.forEach(func(u registry.Upstream) {
		if u.State == registry.Deregistered || u.Inbound == "" {
			return
		}
		id := call.ServerID(u.Instance)
		listing.Servers = append(listing.Servers, policy.Server{ID: id, Zone: e.zones[u.Zone], Cell: e.serviceNumberLocked(u.Service), State: policyState(u.State), Weight: float64(u.Slots)})
		listing.Address[id], listing.Name[id] = u.Inbound+" "+u.Instance, u.Instance
	})
	slices.SortFunc(listing.Servers, func(a, b policy.Server) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return listing
}

// besideListing is the list that the gate goes by: the one upstream.
func (e *endpoints) gateListing(address string) call.Listing {
	e.mu.Lock()
	defer e.mu.Unlock()
	listing := call.Listing{Whole: true, Address: make(map[policy.ServerID]string)}
	if e.local != nil {
		id := call.ServerID(e.local.Instance)
		listing.Servers = []policy.Server{{ID: id, State: policyState(e.local.State), Weight: float64(max(1, e.local.Slots))}}
		listing.Address[id] = address
	}
	return listing
}

// known says whether there is an upstream that a request can go to.
func (e *endpoints) hasReady() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.totalReadySlots > 0
}

func policyState(s registry.State) policy.State {
	switch s {
	case registry.Ready:
		return policy.Ready
	case registry.Draining:
		return policy.Draining
	}
	return policy.Gone
}
