// Package metrics is the one set of counters that the log and operators read. Its series stand from the start, by the
// settings' classes: no client can make a new one. Counting waits for nothing.
package metrics

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
)

// Outcome is how a request ended for its client.
type Outcome int

// The outcomes: served, refused, failed.
const (
	Passed Outcome = iota
	Dropped
	BadGateway
	outcomes
)

func (o Outcome) String() string { return [...]string{"passed", "dropped", "bad_gateway"}[o] }

// Upstreams is how many upstreams a list has and how many of them are avoided now.
type Upstreams func() (known, skipped int)

// Peers is what a sidecar knows of the others of its fleet.
type Peers struct {
	Members   map[string]int // by state; this one is left out
	Contact   bool
	Sidecars  int // that there are at least
	SentBytes uint64
	Dropped   uint64  // datagrams that could not be read
	Policy    *Policy // nil: no policy is agreed on
}

// Policy is by what a sidecar goes, of what its fleet agrees on.
type Policy struct {
	Holds    uint32            // the version
	Goes     string            // by: one, both, cut off
	UnderWay uint32            // a version without its outcome, or that not all go by yet; 0: none
	Changes  map[string]uint64 // heard of since the start, by outcome
	Work     Work
}

// Work is what a sidecar knows of machines taken out for work.
type Work struct {
	Plans, Paused int // that have not ended
	Turn          uint32
	Machines      map[string]int // with a turn that is not over, by how far it is
}

// String is for the log, which has the figures as a whole.
func (p *Peers) String() string {
	if p == nil {
		return "none"
	}
	return fmt.Sprintf("%+v", *p)
}

// Set is all figures of a process. The zero value is ready. A nil Set counts nothing.
type Set struct {
	tries    atomic.Uint64
	progress atomic.Int64

	mu      sync.Mutex
	classes []*Class
	lists   map[*Upstreams]struct{}
	peers   func() Peers // nil: there is no fleet
}

// Class is the series of one class. A nil Class counts nothing.
type Class struct {
	set     *Set
	name    string
	handled [outcomes]atomic.Uint64
}

// Classes are the series of some classes, in the order of their names' numbers. Pools that have a class of one name share its series.
func (s *Set) Classes(byName map[string]int) []*Class {
	all := make([]*Class, len(byName))
	if s == nil {
		return all
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, i := range byName {
		at := slices.IndexFunc(s.classes, func(c *Class) bool { return c.name == name })
		if at < 0 {
			at = len(s.classes)
			s.classes = append(s.classes, &Class{set: s, name: name})
		}
		if i >= 0 && i < len(all) {
			all[i] = s.classes[at]
		}
	}
	return all
}

// Follow has the upstreams of one more list counted, until the function that it returns is called.
func (s *Set) Follow(u Upstreams) (leave func()) {
	if s == nil {
		return func() {}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lists == nil {
		s.lists = make(map[*Upstreams]struct{})
	}
	s.lists[&u] = struct{}{}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.lists, &u)
	}
}

// FollowPeers has the figures of a fleet read too.
func (s *Set) FollowPeers(p func() Peers) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers = p
}

// Tried takes that an attempt was written whole to an upstream.
func (s *Set) Tried() {
	if s != nil {
		s.tries.Add(1)
	}
}

// Began takes that a request was taken: its last byte is here.
func (c *Class) Began() {
	if c != nil {
		c.set.progress.Add(1)
	}
}

// Ended takes that one that Began has its end.
func (c *Class) Ended() {
	if c != nil {
		c.set.progress.Add(-1)
	}
}

// Handled takes the outcome that a client was told.
func (c *Class) Handled(o Outcome) {
	if c != nil {
		c.handled[o].Add(1)
	}
}

// Snapshot is what the figures stand at.
type Snapshot struct {
	Handled        map[string][3]uint64 // by class: passed, dropped, bad_gateway
	Tries          uint64
	InProgress     int64
	Known, Skipped int
	Peers          *Peers `json:",omitempty"` // nil: there is no fleet
}

// Handled is how many clients were told what, by class.
func (s *Set) Handled() map[string][3]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string][3]uint64, len(s.classes))
	for _, c := range s.classes {
		var by [outcomes]uint64
		for o := range by {
			by[o] = c.handled[o].Load()
		}
		all[c.name] = by
	}
	return all
}

// Snapshot reads the figures.
func (s *Set) Snapshot() Snapshot {
	s.mu.Lock()
	lists := make([]Upstreams, 0, len(s.lists))
	for u := range s.lists {
		lists = append(lists, *u)
	}
	peers := s.peers
	s.mu.Unlock()
	out := Snapshot{Handled: s.Handled(), Tries: s.tries.Load(), InProgress: max(0, s.progress.Load())}
	if peers != nil {
		p := peers()
		out.Peers = &p
	}
	for _, u := range lists {
		known, skipped := u()
		out.Known += known
		out.Skipped += skipped
	}
	return out
}
