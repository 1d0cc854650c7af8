// Package metrics has the counters of a process, which its log and its metrics endpoint report. The series are created
// at the start for the configured classes, so clients cannot create series. Counting takes no lock, and the package is
// safe for concurrent use.
package metrics

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
)

// Outcome is the result of a request from the client's point of view.
type Outcome int

// Outcomes of a request.
const (
	Passed     Outcome = iota // an upstream responded
	Dropped                   // the sidecar rejected the request
	BadGateway                // the request failed
	outcomeCount
)

// String returns the value of the metric label "outcome".
func (o Outcome) String() string { return [...]string{"passed", "dropped", "bad_gateway"}[o] }

// UpstreamCounts returns how many upstreams a list has and how many of them are currently avoided.
type UpstreamCounts func() (known, skipped int)

// Peers is the state of the other sidecars of a fleet as one sidecar knows it. The log contains the names of its fields
// and of the fields of Policy, Work and Snapshot.
type Peers struct {
	Members   map[string]int // number of other sidecars, by state
	Contact   bool           // a majority of the fleet responds
	Sidecars  int            // lower bound of the number of sidecars in the fleet
	SentBytes uint64         // bytes sent to other sidecars
	Dropped   uint64         // datagrams that could not be decoded
	Policy    *Policy        // nil: the fleet has no common policy
}

// Policy is the state of the fleet's common policy as one sidecar knows it.
type Policy struct {
	Holds    uint32            // the current version
	Goes     string            // what the sidecar applies: "one" version, the stricter of "both", or "cut off"
	UnderWay uint32            // version that is not yet decided, or that not all sidecars apply yet; 0: none
	Changes  map[string]uint64 // changes received since the start, by outcome
	Work     Work
}

// Work is the state of the maintenance of machines as one sidecar knows it.
type Work struct {
	Plans, Paused int            // maintenance plans that have not ended, and how many of them are paused
	Turn          uint32         // number of the last turn, in which one machine is maintained
	Machines      map[string]int // machines in maintenance, by phase
}

// String formats the state for the log.
func (p *Peers) String() string {
	if p == nil {
		return "none"
	}
	return fmt.Sprintf("%+v", *p)
}

// Set has all counters of a process. The zero value is ready to use. A nil Set does not count.
type Set struct {
	attempts   atomic.Uint64
	inProgress atomic.Int64

	mu        sync.Mutex
	classes   []*Class
	upstreams map[*UpstreamCounts]struct{}
	peers     func() Peers // nil: the sidecar has no fleet
}

// Class has the counters of one request class. A nil Class does not count.
type Class struct {
	set       *Set
	name      string
	byOutcome [outcomeCount]atomic.Uint64
}

// Classes returns the counters of classes. byName has the index of each class in the result. Pools with a class of the
// same name share its counters.
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

// AddUpstreams includes the upstreams of a list in snapshots until the returned function is called.
func (s *Set) AddUpstreams(u UpstreamCounts) (remove func()) {
	if s == nil {
		return func() {}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.upstreams == nil {
		s.upstreams = make(map[*UpstreamCounts]struct{})
	}
	s.upstreams[&u] = struct{}{}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.upstreams, &u)
	}
}

// SetPeers sets the function that returns the state of the fleet for snapshots. nil removes the function.
func (s *Set) SetPeers(p func() Peers) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers = p
}

// CountAttempt counts an attempt whose request was written completely to an upstream.
func (s *Set) CountAttempt() {
	if s != nil {
		s.attempts.Add(1)
	}
}

// RequestStarted counts a request as in progress. The request was accepted and received completely.
func (c *Class) RequestStarted() {
	if c != nil {
		c.set.inProgress.Add(1)
	}
}

// RequestFinished counts a request as no longer in progress. It follows RequestStarted.
func (c *Class) RequestFinished() {
	if c != nil {
		c.set.inProgress.Add(-1)
	}
}

// CountOutcome counts the outcome of a request.
func (c *Class) CountOutcome(o Outcome) {
	if c != nil {
		c.byOutcome[o].Add(1)
	}
}

// Snapshot has the values of the counters at one time. The names of its fields are keys in its JSON form.
type Snapshot struct {
	Handled        map[string][3]uint64 // requests by class and outcome: passed, dropped, bad_gateway
	Tries          uint64               // attempts whose request was written to an upstream
	InProgress     int64                // requests in progress
	Known, Skipped int                  // upstreams in the lists, and how many of them are avoided
	Peers          *Peers               `json:",omitempty"` // nil: the sidecar has no fleet
}

// Handled returns the number of requests by class and outcome.
func (s *Set) Handled() map[string][3]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string][3]uint64, len(s.classes))
	for _, c := range s.classes {
		var counts [outcomeCount]uint64
		for o := range counts {
			counts[o] = c.byOutcome[o].Load()
		}
		all[c.name] = counts
	}
	return all
}

// Snapshot returns the current values of the counters.
func (s *Set) Snapshot() Snapshot {
	s.mu.Lock()
	lists := make([]UpstreamCounts, 0, len(s.upstreams))
	for u := range s.upstreams {
		lists = append(lists, *u)
	}
	peers := s.peers
	s.mu.Unlock()
	out := Snapshot{Handled: s.Handled(), Tries: s.attempts.Load(), InProgress: max(0, s.inProgress.Load())}
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
