package http1

import (
	"math/bits"
	"time"
)

const (
	ageStep = 4 * time.Millisecond // the first ages; each further bucket reaches half as far again, about
	buckets = 20                   // up to some 3 s; the last has all that is older
	sure    = 20.0                 // uses of the whole transport's that a server's own count is weighed against
	fadeAt  = 512.0                // uses, after which all counts are halved: what was learnt goes by
	few     = 3.0                  // broken ones are chance,
	often   = 0.02                 // and so is such a share
	worse   = 0.06                 // by so much more may a kept one break than a new one, which costs a handshake
)

// ages counts, by how long a connection had rested, how often it then stood and how often it broke. Servers close some time after an
// answer, by an idle limit, a limit of age or a machine between that forgets; what is written to a connection that is being closed may have
// run, and nothing proves the opposite. So the age at which fewest broke is taken, by server, and where all that are
// kept are worse than new ones a new one is. Where none breaks it changes nothing. One lock's owner uses it.
type ages struct {
	used  float64
	stood [buckets + 1]float64 // by bucket; the last one is for new connections
	broke [buckets + 1]float64
	lost  float64 // all that broke
}

const brandNew = buckets

// bucket is the one of an age: two for each doubling.
func bucket(age time.Duration) int {
	n := uint64(age / ageStep)
	if n < 2 {
		return int(n)
	}
	power := bits.Len64(n) - 1
	return min(buckets-1, 2*power+int(n>>(power-1))&1)
}

// count takes how a use went.
func (a *ages) count(b int, broke bool) {
	if broke {
		a.broke[b]++
		a.lost++
	} else {
		a.stood[b]++
	}
	if a.used++; a.used >= fadeAt {
		a.used /= 2
		a.lost /= 2
		for i := range a.broke {
			a.broke[i] /= 2
			a.stood[i] /= 2
		}
	}
}

// breaking says that so many connections break under requests that it is worth time to find out before one can have run.
func (a *ages) breaking() bool { return a.lost > few && a.lost > often*a.used }

// rate is how likely a use breaks: the server's own count, weighed against the whole transport's.
func rate(own, all *ages, b int) float64 {
	prior := all.broke[b] / max(1, all.broke[b]+all.stood[b])
	return (own.broke[b] + sure*prior) / (own.broke[b] + own.stood[b] + sure)
}

// best is which of some idle connections is to be used, the longest rested first; -1: a new one.
func best(own, all *ages, rested []time.Duration) int {
	fresh := rate(own, all, brandNew)
	at, least := -1, fresh+worse
	last := -1
	for i, age := range rested {
		b := bucket(age)
		if b == last { // as likely as the one that has rested longer
			continue
		}
		last = b
		if r := rate(own, all, b); at < 0 && r <= least || r < least-0.005 { // the longest rested one, but for a reason
			at, least = i, r
		}
	}
	return at
}
