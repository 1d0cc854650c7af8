package sidecar

import (
	"slices"
	"sync"
	"time"

	"caperarch/internal/mesh/registry"
)

// maxDeregistered bounds the number of remembered local instances that have been deregistered or replaced.
const maxDeregistered = 64

// endpoints stores the upstreams that this sidecar knows of: the registry's entries, which core machines push,
// and the local upstream, which reports to this sidecar directly. If both have an entry for the local upstream,
// the direct report takes precedence.
type endpoints struct {
	inboundAddress string         // of this sidecar's inbound listener
	zones          map[string]int // zone numbers by name

	mu              sync.Mutex                   // guards the fields below
	upstreams       map[string]registry.Upstream // entries that core machines pushed, by instance
	local           *registry.Upstream           // nil until it is known; replaced on each change, never modified in place
	warmedUpAt      time.Time                    // end of the local upstream's warm-up
	deregistered    []string                     // former local instances, newest last
	services        serviceNumbers
	readySlots      map[string]int // of ready upstreams, by service
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

// serviceNumber returns a service's number, which is constant for the lifetime of the process.
func (e *endpoints) serviceNumber(service string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.services.number(service)
}

// serviceName returns the service that serviceNumber has assigned a number to.
func (e *endpoints) serviceName(number int) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.services.names[number]
}

// slotShare returns a service's share of all ready slots, counting at least one slot for the service. It is 1 if
// no slot is ready.
func (e *endpoints) slotShare(service string) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.totalReadySlots == 0 {
		return 1
	}
	return max(1, float64(e.readySlots[service])) / float64(e.totalReadySlots)
}

// hasReady reports whether any known upstream is ready to receive requests.
func (e *endpoints) hasReady() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.totalReadySlots > 0
}

// localSlots returns the number of requests that the local upstream runs concurrently, and 1 while that is
// unknown.
func (e *endpoints) localSlots() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.local == nil {
		return 1
	}
	return max(1, e.local.Slots)
}

// localUpstream returns a copy of the local upstream with its current remaining warm-up time, or nil while the
// upstream is unknown.
func (e *endpoints) localUpstream() *registry.Upstream {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.local == nil {
		return nil
	}
	u := *e.local
	u.WarmupRemaining = max(0, time.Until(e.warmedUpAt).Seconds())
	return &u
}

// apply applies registry entries that a core machine pushed. If full is true, they replace all earlier ones. It
// reports whether the local upstream's state has advanced: the upstream reported to a core machine, while this
// sidecar was not running, that it drains or has ended.
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

// adoptDiscovered records the local upstream that a health response has identified. It returns false if a
// heartbeat has been recorded in the meantime.
func (e *endpoints) adoptDiscovered(u registry.Upstream) bool {
	e.mu.Lock()
	found := e.local != nil
	e.mu.Unlock()
	return !found && e.recordHeartbeat(u)
}

// recordHeartbeat records a report of the local upstream. It returns false if the report is out of date: a later
// heartbeat of the same instance or of its successor has been recorded already.
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
			e.rememberDeregistered(u.Instance) // late heartbeat of the current instance's predecessor
			return false
		}
		e.rememberDeregistered(e.local.Instance)
	}
	u.Inbound = e.inboundAddress
	e.local = &u
	e.warmedUpAt = time.Now().Add(time.Duration(u.WarmupRemaining * float64(time.Second)))
	e.countSlots()
	return true
}

// deregister records that an instance has ended. It returns false if that changes nothing: another instance is the
// local upstream, or the instance has been recorded as ended before.
func (e *endpoints) deregister(instance string) (changed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.deregisterLocked(instance)
}

// recordDeregistration records that an instance has deregistered at this sidecar. If the sidecar has just started and
// knows no upstream yet, the instance becomes its local upstream, so that the next lease reports the deregistration.
func (e *endpoints) recordDeregistration(instance string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.local == nil && !e.listsOtherLocal(instance) {
		e.local = &registry.Upstream{Instance: instance, State: registry.Deregistered}
	}
	e.deregisterLocked(instance)
}

// deregisterLocked implements deregister. The caller holds mu.
func (e *endpoints) deregisterLocked(instance string) (changed bool) {
	e.rememberDeregistered(instance)
	if e.local != nil && e.local.Instance == instance && e.local.State != registry.Deregistered {
		local := *e.local
		local.State = registry.Deregistered
		e.local, changed = &local, true
	}
	if u, found := e.upstreams[instance]; found {
		u.State = registry.Deregistered
		e.upstreams[instance] = u
	}
	e.countSlots()
	return changed
}

// listsOtherLocal reports whether a core machine lists another instance than the given one behind this sidecar's gate.
// The caller holds mu.
func (e *endpoints) listsOtherLocal(instance string) bool {
	for _, u := range e.upstreams {
		if u.Inbound == e.inboundAddress && u.Instance != instance {
			return true
		}
	}
	return false
}

// rememberDeregistered records a former local instance, so that recordHeartbeat ignores its late heartbeats. The
// caller holds mu.
func (e *endpoints) rememberDeregistered(instance string) {
	if slices.Contains(e.deregistered, instance) {
		return
	}
	e.deregistered = append(e.deregistered, instance)
	if len(e.deregistered) > maxDeregistered {
		e.deregistered = slices.Delete(e.deregistered, 0, 1)
	}
}

// countSlots recomputes the numbers of ready slots. The caller holds mu.
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

// forEach calls visit for each upstream. Once the local upstream is known, it replaces all registry entries with
// this sidecar's inbound address. The caller holds mu.
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
