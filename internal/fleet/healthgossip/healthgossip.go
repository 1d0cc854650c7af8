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
	quorum    = 3               // others that have to say the same,
	fadeTime  = 5 * time.Second // within this
	failures  = 2               // in a row, of one's own attempts, before one says it of a server,
	sayTime   = 5 * time.Second // for this long behind the last of them
	sayMost   = 4               // servers at a time
	ownMost   = 1024            // servers whose ends are kept: bounds memory where lists change for ever
	heardMost = 256             // and ones that are told of
	byMost    = 2 * quorum      // of those who tell of one
)

// Quorum is how many others of a fleet have to say the same: three, or all but oneself where there are fewer.
func Quorum(size int) int { return max(1, min(quorum, size-1)) }

// Server names one; it is the same at every sidecar.
type Server uint64

type own struct {
	fails int
	at    time.Duration // of the last
}

type said struct {
	by int
	at time.Duration
}

// Book is one sidecar's. It is not safe for concurrent use.
type Book struct {
	quorum int
	own    map[Server]own
	heard  map[Server][]said
}

// New makes the book of a sidecar in a fleet of some size.
func New(size int) *Book {
	return &Book{quorum: Quorum(size), own: make(map[Server]own), heard: make(map[Server][]said)}
}

// Ended takes how an attempt of one's own ended: in an answer of the server, whatever it was, or in silence.
func (b *Book) Ended(now time.Duration, s Server, answered bool) {
	if answered {
		delete(b.own, s)
		return
	}
	o, known := b.own[s]
	if !known && len(b.own) >= ownMost {
		return
	}
	b.own[s] = own{o.fails + 1, now}
}

// Silent is what this one has to say: the servers that have not answered it, the latest first.
func (b *Book) Silent(now time.Duration) (all []Server) {
	for s, o := range b.own {
		switch {
		case now-o.at > sayTime:
			delete(b.own, s)
		case o.fails >= failures:
			all = append(all, s)
		}
	}
	slices.SortFunc(all, func(x, y Server) int {
		if d := b.own[y].at - b.own[x].at; d != 0 {
			return int(d)
		}
		return int(x>>1) - int(y>>1)
	})
	return all[:min(len(all), sayMost)]
}

// Heard takes what another says.
func (b *Book) Heard(now time.Duration, by int, silent []Server) {
	for _, s := range silent[:min(len(silent), sayMost)] {
		all, known := b.heard[s]
		if !known && len(b.heard) >= heardMost && !b.forget(now) {
			return
		}
		all = slices.DeleteFunc(all, func(x said) bool { return x.by == by || now-x.at > fadeTime })
		if len(all) < byMost {
			all = append(all, said{by, now})
		}
		b.heard[s] = all
	}
}

// forget lets go of what has faded; false: nothing has.
func (b *Book) forget(now time.Duration) bool {
	before := len(b.heard)
	for s, all := range b.heard {
		if !slices.ContainsFunc(all, func(x said) bool { return now-x.at <= fadeTime }) {
			delete(b.heard, s)
		}
	}
	return len(b.heard) < before
}

// Count is how many servers are doubted now.
func (b *Book) Count(now time.Duration) (n int) {
	for s := range b.heard {
		if b.Doubted(now, s) {
			n++
		}
	}
	return n
}

// Doubted says whether enough others say lately that a server does not answer them.
func (b *Book) Doubted(now time.Duration, s Server) bool {
	n := 0
	for _, x := range b.heard[s] {
		if now-x.at <= fadeTime {
			n++
		}
	}
	return n >= b.quorum
}
