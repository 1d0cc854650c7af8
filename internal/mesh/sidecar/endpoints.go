package sidecar

import (
	"slices"
	"sync"
	"time"

	"caperarch/internal/call"
	"caperarch/internal/mesh/registry"
	"caperarch/policy"
)

// endpoints are the upstreams as this sidecar knows them: the catalogue, as it was pushed here, and the one beside it, of which it knows at first hand. They number services, as
// the modules know them by number.
type endpoints struct {
	mu       sync.Mutex
	all      map[string]registry.Upstream // by instance
	own      *registry.Upstream           // beside us; nil: it has not told yet
	ended    []string                     // instances that were beside us, the last mostEnded
	numbers  map[string]int
	names    []string       // of services, by number
	slots    map[string]int // of the ready upstreams of a service
	total    int
	zones    map[string]int
	inbound  string    // of this sidecar
	warmedAt time.Time // when the one beside us is warm
}

// mostEnded bounds the instances that are remembered to have ended.
const mostEnded = 64

func newEndpoints(zones []string, inbound string) *endpoints {
	s := &endpoints{all: make(map[string]registry.Upstream), numbers: make(map[string]int), slots: make(map[string]int), zones: make(map[string]int), inbound: inbound}
	for i, z := range zones {
		s.zones[z] = i
	}
	return s
}

// number is a service's number, the same for this process's life.
func (s *endpoints) number(service string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.numberOf(service)
}

func (s *endpoints) numberOf(service string) int {
	n, known := s.numbers[service]
	if !known {
		n = len(s.numbers)
		s.numbers[service] = n
		s.names = append(s.names, service)
	}
	return n
}

// name is the service of a number.
func (s *endpoints) name(number int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.names[number]
}

// share is a service's part of all slots.
func (s *endpoints) share(service string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.total == 0 {
		return 1
	}
	return max(1, float64(s.slots[service])) / float64(s.total)
}

// take takes what was pushed. It says whether that tells more of the one beside us than we know: that it drains, told to a core machine while we were not there.
func (s *endpoints) take(full bool, upserts []registry.Upstream, removals []string) (more bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if full {
		clear(s.all)
	}
	for _, u := range upserts {
		s.all[u.Instance] = u
		if s.own != nil && s.own.Instance == u.Instance && u.Sequence > s.own.Sequence && u.State > s.own.State {
			own := *s.own
			own.State, own.Sequence, more = u.State, u.Sequence, true
			s.own = &own
		}
	}
	for _, instance := range removals {
		delete(s.all, instance)
	}
	s.count()
	return more
}

// meet takes who is beside us by its own answer to a question; false: it has told by itself meanwhile.
func (s *endpoints) meet(u registry.Upstream) bool {
	s.mu.Lock()
	known := s.own != nil
	s.mu.Unlock()
	return !known && s.tell(u)
}

// tell takes what the upstream beside us says; false: it has said something later before.
func (s *endpoints) tell(u registry.Upstream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Contains(s.ended, u.Instance) || s.own != nil && s.own.Instance == u.Instance && (u.Sequence < s.own.Sequence || s.own.State > u.State) {
		return false
	}
	if s.own != nil && s.own.Instance != u.Instance {
		if s.own.State == registry.Ready && u.State != registry.Ready {
			s.end(u.Instance) // the last word of a life before this one, of which nothing else was heard
			return false
		}
		s.end(s.own.Instance)
	}
	u.Inbound = s.inbound
	s.own = &u
	s.warmedAt = time.Now().Add(time.Duration(u.WarmupRemaining * float64(time.Second)))
	s.count()
	return true
}

// slotsBeside is how many requests the upstream beside us works on at once.
func (s *endpoints) slotsBeside() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.own == nil {
		return 1
	}
	return max(1, s.own.Slots)
}

// end remembers that an instance beside us has ended: a late word of it brings it back to nobody. The caller holds the lock.
func (s *endpoints) end(instance string) {
	if slices.Contains(s.ended, instance) {
		return
	}
	if s.ended = append(s.ended, instance); len(s.ended) > mostEnded {
		s.ended = slices.Delete(s.ended, 0, 1)
	}
}

// gone takes that an instance has ended.
func (s *endpoints) gone(instance string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end(instance)
	if s.own != nil && s.own.Instance == instance {
		own := *s.own
		own.State = registry.Deregistered
		s.own = &own
	}
	if u, known := s.all[instance]; known {
		u.State = registry.Deregistered
		s.all[instance] = u
	}
	s.count()
}

// beside is the upstream beside us as a lease tells of it.
func (s *endpoints) beside() *registry.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.own == nil {
		return nil
	}
	u := *s.own
	u.WarmupRemaining = max(0, time.Until(s.warmedAt).Seconds())
	return &u
}

func (s *endpoints) count() {
	clear(s.slots)
	s.total = 0
	s.each(func(u registry.Upstream) {
		if u.State == registry.Ready {
			s.slots[u.Service] += u.Slots
			s.total += u.Slots
		}
	})
}

// each has told called with every upstream; of those beside us only with the one that told us itself, if one has. The caller holds the lock.
func (s *endpoints) each(told func(registry.Upstream)) {
	for _, u := range s.all {
		if s.own == nil || u.Inbound != s.inbound {
			told(u)
		}
	}
	if s.own != nil {
		told(*s.own)
	}
}

// listing is the list that requests are sent by. Of the one beside us our own knowledge goes first.
func (s *endpoints) listing() call.Listing {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := call.Listing{Whole: true, Address: make(map[policy.ServerID]string), Name: make(map[policy.ServerID]string)}
	s.each(func(u registry.Upstream) {
		if u.State == registry.Deregistered || u.Inbound == "" {
			return
		}
		id := call.ServerID(u.Instance)
		l.Servers = append(l.Servers, policy.Server{ID: id, Zone: s.zones[u.Zone], Cell: s.numberOf(u.Service), State: stateOf(u.State), Weight: float64(u.Slots)})
		l.Address[id], l.Name[id] = u.Inbound+" "+u.Instance, u.Instance
	})
	slices.SortFunc(l.Servers, func(a, b policy.Server) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return l
}

// besideListing is the list that the gate goes by: the one upstream.
func (s *endpoints) besideListing(address string) call.Listing {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := call.Listing{Whole: true, Address: make(map[policy.ServerID]string)}
	if s.own != nil {
		id := call.ServerID(s.own.Instance)
		l.Servers = []policy.Server{{ID: id, State: stateOf(s.own.State), Weight: float64(max(1, s.own.Slots))}}
		l.Address[id] = address
	}
	return l
}

// known says whether there is an upstream that a request can go to.
func (s *endpoints) known() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total > 0
}

func stateOf(s registry.State) policy.State {
	switch s {
	case registry.Ready:
		return policy.Ready
	case registry.Draining:
		return policy.Draining
	}
	return policy.Gone
}
