// Package healthgossip keeps what the sidecars of a fleet tell each other of servers that don't
// answer. It does no I/O; time is passed in.
//
// A hint only adds caution, and only to what the receiver finds itself: while enough others report
// a server, a single own failure counts like two in a row otherwise, so that a sidecar with little
// traffic does not lose a second request to it. No report makes a server preferred, adds one, or
// takes it out of the rotation by itself. So the most that any number of false reports can do is
// that a server rests for 20 ms, at most 0.64 s, after a single failure of its own.
package healthgossip

import (
	"slices"
	"time"
)

const (
	quorum       = 3               // other sidecars that have to report a server
	reportTTL    = 5 * time.Second // of other sidecars' reports
	minFailures  = 2               // consecutive failures of own attempts before a server is reported,
	announceTime = 5 * time.Second // for this long after the last of them
	maxAnnounced = 4               // servers per message
	maxOwn       = 1024            // servers with own failures: bounds memory
	maxReported  = 256             // servers reported by others
	maxReporters = 2 * quorum      // of one server
)

// Quorum returns how many others of a fleet have to report a server: three, or all others if there
// are fewer.
func Quorum(size int) int { return max(1, min(quorum, size-1)) }

// Server identifies a server; it is the same number at every sidecar.
type Server uint64

// ownFailures is a server's consecutive failures of this sidecar's attempts.
type ownFailures struct {
	count int
	at    time.Duration // of the last failure
}

// report is when a sidecar reported a server last.
type report struct {
	reporter int
	at       time.Duration
}

// Hints is one sidecar's knowledge. It is not safe for concurrent use.
type Hints struct {
	quorum   int
	failures map[Server]ownFailures
	reports  map[Server][]report
}

// New returns the knowledge of a sidecar in a fleet of size.
func New(size int) *Hints {
	return &Hints{quorum: Quorum(size), failures: make(map[Server]ownFailures), reports: make(map[Server][]report)}
}

// RecordAttempt records how an own attempt ended: with an answer of the server, whatever it was, or
// without.
func (h *Hints) RecordAttempt(now time.Duration, s Server, answered bool) {
	if answered {
		delete(h.failures, s)
		return
	}
	o, known := h.failures[s]
	if !known && len(h.failures) >= maxOwn {
		return
	}
	h.failures[s] = ownFailures{o.count + 1, now}
}

// Unresponsive returns what this sidecar reports: the servers that have not answered it, the latest
// first.
func (h *Hints) Unresponsive(now time.Duration) (all []Server) {
	for s, o := range h.failures {
		switch {
		case now-o.at > announceTime:
			delete(h.failures, s)
		case o.count >= minFailures:
			all = append(all, s)
		}
	}
	slices.SortFunc(all, func(x, y Server) int {
		if d := h.failures[y].at - h.failures[x].at; d != 0 {
			return int(d)
		}
		return int(x>>1) - int(y>>1)
	})
	return all[:min(len(all), maxAnnounced)]
}

// Receive records what another sidecar reports.
func (h *Hints) Receive(now time.Duration, by int, silent []Server) {
	for _, s := range silent[:min(len(silent), maxAnnounced)] {
		all, known := h.reports[s]
		if !known && len(h.reports) >= maxReported && !h.expire(now) {
			return
		}
		all = slices.DeleteFunc(all, func(x report) bool { return x.reporter == by || now-x.at > reportTTL })
		if len(all) < maxReporters {
			all = append(all, report{by, now})
		}
		h.reports[s] = all
	}
}

// expire drops servers whose reports have expired; false: there are none.
func (h *Hints) expire(now time.Duration) bool {
	before := len(h.reports)
	for s, all := range h.reports {
		if !slices.ContainsFunc(all, func(x report) bool { return now-x.at <= reportTTL }) {
			delete(h.reports, s)
		}
	}
	return len(h.reports) < before
}

// DoubtedCount returns how many servers are doubted now.
func (h *Hints) DoubtedCount(now time.Duration) (n int) {
	for s := range h.reports {
		if h.Doubted(now, s) {
			n++
		}
	}
	return n
}

// Doubted reports whether enough others have reported recently that a server does not answer them.
func (h *Hints) Doubted(now time.Duration, s Server) bool {
	n := 0
	for _, x := range h.reports[s] {
		if now-x.at <= reportTTL {
			n++
		}
	}
	return n >= h.quorum
}
