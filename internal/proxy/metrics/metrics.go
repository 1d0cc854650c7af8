// Package metrics has the counters of a process that its log and the metrics endpoint report. The series exist from
// the start, by the configured classes: no client can create a new one. Counting takes no lock; everything in the
// package is safe for concurrent use.
package metrics

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
)

// Outcome is how a request ended for its client.
type Outcome int

// The outcomes: answered by an upstream, rejected, failed.
const (
	Passed Outcome = iota
	Dropped
	BadGateway
	outcomeCount
)

// String is the value of the label outcome.
func (o Outcome) String() string { return [...]string{"passed", "dropped", "bad_gateway"}[o] }

// UpstreamCounts is how many upstreams a list has and how many of them are avoided now.
type UpstreamCounts func() (known, skipped int)

// Peers is what a sidecar knows of the others of its fleet. The fields' names are in the log, as those of Policy,
// Work and Snapshot.
type Peers struct {
	Members   map[string]int // by state; without this one
	Contact   bool           // a majority of the fleet responds
	Sidecars  int            // that there are at least
	SentBytes uint64
	Dropped   uint64  // datagrams that could not be read
	Policy    *Policy // nil: no policy is agreed on
}

// Policy is the version of the policy that a sidecar applies, of those that its fleet agrees on.
type Policy struct {
	Holds    uint32            // the current version
	Goes     string            // what it applies: one, both, cut off
	UnderWay uint32            // a version without an outcome, or that not all apply yet; 0: none
	Changes  map[string]uint64 // received since the start, by outcome
	Work     Work
}

// Work is what a sidecar knows of the maintenance of machines.
type Work struct {
	Plans, Paused int            // that have not ended
	Turn          uint32         // number of the last machine's turn
	Machines      map[string]int // in maintenance, by phase
}

// String is for the log.
func (p *Peers) String() string {
	if p == nil {
		return "none"
	}
	return fmt.Sprintf("%+v", *p)
}

// Set has all counters of a process. The zero value is ready. A nil Set counts nothing.
type Set struct {
	attempts   atomic.Uint64
	inProgress atomic.Int64

	mu        sync.Mutex
	classes   []*Class
	upstreams map[*UpstreamCounts]struct{}
	peers     func() Peers // nil: there is no fleet
}

// Class is the series of one class. A nil Class counts nothing.
type Class struct {
	set       *Set
	name      string
	byOutcome [outcomeCount]atomic.Uint64
}

// Classes are the series of classes, by the index that each name has. Pools that have a class of the same name share
// its series.
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

// FollowUpstreams has the upstreams of one more list counted, until the function that it returns is called.
func (s *Set) FollowUpstreams(u UpstreamCounts) (leave func()) {
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

// FollowPeers has a snapshot include the counters of a fleet; nil: no longer.
func (s *Set) FollowPeers(p func() Peers) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers = p
}

// CountAttempt counts an attempt that was written completely to an upstream.
func (s *Set) CountAttempt() {
	if s != nil {
		s.attempts.Add(1)
	}
}

// RequestStarted counts a request as in progress: it was accepted, with its last byte here.
func (c *Class) RequestStarted() {
	if c != nil {
		c.set.inProgress.Add(1)
	}
}

// RequestFinished ends what RequestStarted has begun.
func (c *Class) RequestFinished() {
	if c != nil {
		c.set.inProgress.Add(-1)
	}
}

// CountOutcome counts a request's outcome for its client.
func (c *Class) CountOutcome(o Outcome) {
	if c != nil {
		c.byOutcome[o].Add(1)
	}
}

// Snapshot has the values of the counters. The fields' names are keys of its JSON form.
type Snapshot struct {
	Handled        map[string][3]uint64 // by class: passed, dropped, bad_gateway
	Tries          uint64               // attempts written to upstreams
	InProgress     int64
	Known, Skipped int
	Peers          *Peers `json:",omitempty"` // nil: there is no fleet
}

// Handled is how many requests had which outcome, by class.
func (s *Set) Handled() map[string][3]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string][3]uint64, len(s.classes))
	for _, c := range s.classes {
		var by [outcomeCount]uint64
		for o := range by {
			by[o] = c.byOutcome[o].Load()
		}
		all[c.name] = by
	}
	return all
}

// Snapshot reads the counters.
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
