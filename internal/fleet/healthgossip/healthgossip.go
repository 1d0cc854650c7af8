// Package healthgossip stores which servers do not answer a sidecar's attempts, and which servers
// the other sidecars of the fleet report as unresponsive. It does no I/O; time is passed in.
//
// A report only makes the receiver more cautious about failures that it observes itself: while
// enough other sidecars report a server, a single failed attempt of this sidecar has the effect
// that otherwise two consecutive failures have. A sidecar with little traffic therefore does not
// lose a second request to the server. No report makes a server preferred, adds a server, or
// removes a server from the rotation by itself. Any number of false reports can therefore at most
// cause a server to be ejected for 20 ms (0.64 s at most) after a single failure of its own.
package healthgossip

import (
	"slices"
	"time"
)

const (
	quorum                = 3               // number of other sidecars that have to report a server
	reportTTL             = 5 * time.Second // how long a report of another sidecar counts
	minFailures           = 2               // consecutive failed attempts after which a server is reported
	failureTTL            = 5 * time.Second // how long after the last failed attempt a server is reported
	maxServersPerMessage  = 4               // number of servers per message
	maxFailedServers      = 1024            // number of servers with failed attempts of this sidecar; bounds memory
	maxReportedServers    = 256             // number of servers with reports of other sidecars; bounds memory
	maxReportersPerServer = 2 * quorum      // number of reports per server
)

// Quorum returns how many other sidecars have to report a server in a fleet of the given size:
// three, or all others if there are fewer.
func Quorum(size int) int { return max(1, min(quorum, size-1)) }

// Server identifies a server. All sidecars use the same number for a server.
type Server uint64

// ownFailures counts the consecutive failed attempts of this sidecar to send requests to a server.
type ownFailures struct {
	count int
	at    time.Duration // time of the last failure
}

// report is the last report of a sidecar about a server.
type report struct {
	reporter int
	at       time.Duration // when the report was received
}

// Hints holds the failed attempts of one sidecar and the reports that it received. It is not safe
// for concurrent use.
type Hints struct {
	quorum   int
	failures map[Server]ownFailures
	reports  map[Server][]report
}

// New returns empty Hints for a sidecar in a fleet of the given size.
func New(size int) *Hints {
	return &Hints{quorum: Quorum(size), failures: make(map[Server]ownFailures), reports: make(map[Server][]report)}
}

// RecordAttempt records how an attempt of this sidecar to send a request to a server ended:
// answered is true if the server sent any answer, even an error.
func (h *Hints) RecordAttempt(now time.Duration, server Server, answered bool) {
	if answered {
		delete(h.failures, server)
		return
	}
	previous, known := h.failures[server]
	if !known && len(h.failures) >= maxFailedServers {
		return
	}
	h.failures[server] = ownFailures{previous.count + 1, now}
}

// Unresponsive returns the servers that this sidecar reports to other sidecars because they do not
// answer its attempts, those with the latest failures first.
func (h *Hints) Unresponsive(now time.Duration) (servers []Server) {
	for server, own := range h.failures {
		switch {
		case now-own.at > failureTTL:
			delete(h.failures, server)
		case own.count >= minFailures:
			servers = append(servers, server)
		}
	}
	slices.SortFunc(servers, func(x, y Server) int {
		if d := h.failures[y].at - h.failures[x].at; d != 0 {
			return int(d)
		}
		return int(x>>1) - int(y>>1)
	})
	return servers[:min(len(servers), maxServersPerMessage)]
}

// Receive records a report of another sidecar about unresponsive servers.
func (h *Hints) Receive(now time.Duration, sender int, unresponsive []Server) {
	for _, server := range unresponsive[:min(len(unresponsive), maxServersPerMessage)] {
		current, known := h.reports[server]
		if !known && len(h.reports) >= maxReportedServers && !h.expire(now) {
			return
		}
		current = slices.DeleteFunc(current, func(old report) bool {
			return old.reporter == sender || now-old.at > reportTTL
		})
		if len(current) < maxReportersPerServer {
			current = append(current, report{sender, now})
		}
		h.reports[server] = current
	}
}

// expire drops the servers whose reports have all expired, and reports whether there were any.
func (h *Hints) expire(now time.Duration) bool {
	before := len(h.reports)
	for server, received := range h.reports {
		if !slices.ContainsFunc(received, func(r report) bool { return now-r.at <= reportTTL }) {
			delete(h.reports, server)
		}
	}
	return len(h.reports) < before
}

// DoubtedCount returns the number of servers that are doubted now.
func (h *Hints) DoubtedCount(now time.Duration) (n int) {
	for server := range h.reports {
		if h.Doubted(now, server) {
			n++
		}
	}
	return n
}

// Doubted reports whether enough other sidecars have reported within reportTTL that a server does
// not answer them.
func (h *Hints) Doubted(now time.Duration, server Server) bool {
	n := 0
	for _, r := range h.reports[server] {
		if now-r.at <= reportTTL {
			n++
		}
	}
	return n >= h.quorum
}
