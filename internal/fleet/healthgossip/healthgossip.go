// Package healthgossip keeps what sidecars tell each other of servers that don't answer. It is free of I/O; time is passed in.
//
// A hint only adds caution, and only to what the one who hears it finds itself: where enough others say lately that a server is silent, one failure of one's own counts
// as two in a row do else, so that a quiet sidecar does not need a second request to pay for it. Nothing that is heard makes a server more loved, adds one, or takes
// its turns away by itself. So the greatest harm of any number of liars is that a server rests for 20 ms, at most 0.64 s, after a single failure of its own.
package healthgossip

import (
	"slices"
	"time"
)

const (
	quorum       = 3               // others that have to say the same,
	reportTTL    = 5 * time.Second // within this
	minFailures  = 2               // in a row, of one's own attempts, before one says it of a server,
	announceTime = 5 * time.Second // for this long behind the last of them
	maxAnnounced = 4               // servers at a time
	maxOwn       = 1024            // servers whose ends are kept: bounds memory where lists change for ever
	maxReported  = 256             // and ones that are told of
	maxReporters = 2 * quorum      // of those who tell of one
)

// Quorum is how many others of a fleet have to say the same: three, or all but oneself where there are fewer.
func Quorum(size int) int { return max(1, min(quorum, size-1)) }

// Server names one; it is the same at every sidecar.
type Server uint64

type ownFailures struct {
	count int
	at    time.Duration // of the last
}

type report struct {
	reporter int
	at       time.Duration
}

// Hints is one sidecar's. It is not safe for concurrent use.
type Hints struct {
	quorum   int
	failures map[Server]ownFailures
	reports  map[Server][]report
}

// New makes the book of a sidecar in a fleet of some size.
func New(size int) *Hints {
	return &Hints{quorum: Quorum(size), failures: make(map[Server]ownFailures), reports: make(map[Server][]report)}
}

// RecordAttempt takes how an attempt of one's own ended: in an answer of the server, whatever it was, or in silence.
func (b *Hints) RecordAttempt(now time.Duration, s Server, answered bool) {
	if answered {
		delete(b.failures, s)
		return
	}
	o, known := b.failures[s]
	if !known && len(b.failures) >= maxOwn {
		return
	}
	b.failures[s] = ownFailures{o.count + 1, now}
}

// Unresponsive is what this one has to say: the servers that have not answered it, the latest first.
func (b *Hints) Unresponsive(now time.Duration) (all []Server) {
	for s, o := range b.failures {
		switch {
		case now-o.at > announceTime:
			delete(b.failures, s)
		case o.count >= minFailures:
			all = append(all, s)
		}
	}
	slices.SortFunc(all, func(x, y Server) int {
		if d := b.failures[y].at - b.failures[x].at; d != 0 {
			return int(d)
		}
		return int(x>>1) - int(y>>1)
	})
	return all[:min(len(all), maxAnnounced)]
}

// Receive takes what another says.
func (b *Hints) Receive(now time.Duration, by int, silent []Server) {
	for _, s := range silent[:min(len(silent), maxAnnounced)] {
		all, known := b.reports[s]
		if !known && len(b.reports) >= maxReported && !b.expire(now) {
			return
		}
		all = slices.DeleteFunc(all, func(x report) bool { return x.reporter == by || now-x.at > reportTTL })
		if len(all) < maxReporters {
			all = append(all, report{by, now})
		}
		b.reports[s] = all
	}
}

// expire lets go of what has faded; false: nothing has.
func (b *Hints) expire(now time.Duration) bool {
	before := len(b.reports)
	for s, all := range b.reports {
		if !slices.ContainsFunc(all, func(x report) bool { return now-x.at <= reportTTL }) {
			delete(b.reports, s)
		}
	}
	return len(b.reports) < before
}

// DoubtedCount is how many servers are doubted now.
func (b *Hints) DoubtedCount(now time.Duration) (n int) {
	for s := range b.reports {
		if b.Doubted(now, s) {
			n++
		}
	}
	return n
}

// Doubted says whether enough others say lately that a server does not answer them.
func (b *Hints) Doubted(now time.Duration, s Server) bool {
	n := 0
	for _, x := range b.reports[s] {
		if now-x.at <= reportTTL {
			n++
		}
	}
	return n >= b.quorum
}
