package sidecar

import (
	"slices"
	"sync"
	"time"

	"caperarch/internal/mesh/registry"
)

// maxDeregistered bounds the ended local instances that are remembered.
const maxDeregistered = 64

// endpoints are the upstreams as this sidecar knows them: the registry, as core machines push it,
// and the local upstream, which reports to it directly. Where the two differ about the local
// upstream, the direct report has precedence.
type endpoints struct {
	inboundAddress string         // of this sidecar
	zones          map[string]int // numbers of the zones

	mu              sync.Mutex                   // guards all below
	upstreams       map[string]registry.Upstream // as pushed, by instance
	local           *registry.Upstream           // nil: it is not known yet; never changed in place
	warmAt          time.Time                    // when the local upstream has warmed up
	deregistered    []string                     // local instances that have ended, newest last
	services        serviceNumbers
	readySlots      map[string]int // of the ready upstreams, by service
	totalReadySlots int
}

func newEndpoints(zones []string, inboundAddress string) *endpoints {
	e := &endpoints{
		inboundAddress: inboundAddress, zones: make(map[string]int),
		upstreams: make(map[string]registry.Upstream), services: newServiceNumbers(),
		readySlots: make(map[string]int),
	}
	for number, name := range zones {
		e.zones[name] = number
	}
	return e
}

// serviceNumber is a service's number, the same for the life of the process.
func (e *endpoints) serviceNumber(service string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.services.number(service)
}

// serviceName is the service of a number that serviceNumber gave.
func (e *endpoints) serviceName(number int) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.services.names[number]
}

// slotShare is a service's share of all ready slots.
func (e *endpoints) slotShare(service string) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.totalReadySlots == 0 {
		return 1
	}
	return max(1, float64(e.readySlots[service])) / float64(e.totalReadySlots)
}

// hasReady reports whether there is an upstream that a request can go to.
func (e *endpoints) hasReady() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.totalReadySlots > 0
}

// localSlots is how many requests the local upstream runs at once; 1 where that is not known.
func (e *endpoints) localSlots() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.local == nil {
		return 1
	}
	return max(1, e.local.Slots)
}

// localUpstream is a copy of the local upstream as a lease reports it; nil: it is not known yet.
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

// apply applies upstreams that the core pushed. It reports whether the local upstream has changed by
// that: it drains or has ended, and sent that to a core machine while this sidecar did not run.
func (e *endpoints) apply(full bool, upserts []registry.Upstream, removals []string) (localChanged bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if full {
		clear(e.upstreams)
	}
	for _, u := range upserts {
		e.upstreams[u.Instance] = u
		if e.local != nil && e.local.Instance == u.Instance &&
			u.Sequence > e.local.Sequence && u.State > e.local.State {
			local := *e.local
			local.State, local.Sequence = u.State, u.Sequence
			e.local, localChanged = &local, true
		}
	}
	for _, instance := range removals {
		delete(e.upstreams, instance)
	}
	e.countSlots()
	return localChanged
}

// adoptDiscovered records the local upstream by its answer to a health request; false: a heartbeat
// has arrived meanwhile.
func (e *endpoints) adoptDiscovered(u registry.Upstream) bool {
	e.mu.Lock()
	known := e.local != nil
	e.mu.Unlock()
	return !known && e.recordHeartbeat(u)
}

// recordHeartbeat records what the local upstream reports; false: it is out of date, as a later
// heartbeat of it or of its successor was recorded before.
func (e *endpoints) recordHeartbeat(u registry.Upstream) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if slices.Contains(e.deregistered, u.Instance) {
		return false
	}
	if e.local != nil && e.local.Instance == u.Instance {
		if u.Sequence < e.local.Sequence || e.local.State > u.State {
			return false
		}
	}
	if e.local != nil && e.local.Instance != u.Instance {
		if e.local.State == registry.Ready && u.State != registry.Ready {
			e.rememberDeregistered(u.Instance) // a late heartbeat of the predecessor
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

// deregister records that an instance has ended.
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

// rememberDeregistered keeps late heartbeats of an ended local instance from reviving it. The caller
// holds mu.
func (e *endpoints) rememberDeregistered(instance string) {
	if slices.Contains(e.deregistered, instance) {
		return
	}
	e.deregistered = append(e.deregistered, instance)
	if len(e.deregistered) > maxDeregistered {
		e.deregistered = slices.Delete(e.deregistered, 0, 1)
	}
}

// countSlots adds up the ready slots. The caller holds mu.
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

// forEach visits every upstream; of those beside this sidecar only the local one, if it is known.
// The caller holds mu.
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
