package http1

import (
	"math/bits"
	"time"
)

const (
	firstBucketAge = 4 * time.Millisecond // width of the first buckets; each further one reaches about half as far again
	ageBuckets     = 20                   // up to some 3 s; the last has all that is older
	newConnBucket  = ageBuckets           // of connections that are new

	priorWeight       = 20.0  // uses that the whole transport's rate counts as, beside a server's own
	maxUses           = 512.0 // uses after which all counts are halved: what was learnt loses its weight
	minBroken         = 3.0   // so many broken connections are chance,
	minBrokenFraction = 0.02  // and so is such a fraction of all uses
	acceptedExcess    = 0.06  // how much likelier a kept connection may break than a new one, which costs a handshake
	betterBy          = 0.005 // how much less likely a connection has to break to be used before one idle for longer
)

// reuseStats counts, by how long a connection had been idle, how often it was usable then and how often it broke.
// Servers close some time after a response, by an idle limit or a limit of age, and a machine between may forget
// connections; what is written to a connection that is being closed may have run, and nothing proves the opposite.
// So, for each server, the idle time is preferred after which fewest broke, and a new connection where all that are
// kept are worse than new ones. Where none breaks it changes nothing. The transport's lock guards it.
type reuseStats struct {
	uses        float64
	survived    [ageBuckets + 1]float64 // by bucket
	broken      [ageBuckets + 1]float64
	totalBroken float64
}

// ageBucket is the bucket of an idle time: there are two for each doubling.
func ageBucket(idle time.Duration) int {
	n := uint64(idle / firstBucketAge)
	if n < 2 {
		return int(n)
	}
	power := bits.Len64(n) - 1
	return min(ageBuckets-1, 2*power+int(n>>(power-1))&1)
}

// record records whether a connection broke when it was used.
func (s *reuseStats) record(bucket int, broke bool) {
	if broke {
		s.broken[bucket]++
		s.totalBroken++
	} else {
		s.survived[bucket]++
	}
	if s.uses++; s.uses >= maxUses {
		s.uses /= 2
		s.totalBroken /= 2
		for i := range s.broken {
			s.broken[i] /= 2
			s.survived[i] /= 2
		}
	}
}

// connsBreak returns whether so many connections break under requests that it is worth time to find out before a
// request can have run.
func (s *reuseStats) connsBreak() bool {
	return s.totalBroken > minBroken && s.totalBroken > minBrokenFraction*s.uses
}

// breakRate is how likely a use breaks: the server's own rate, weighed against the whole transport's.
func breakRate(own, all *reuseStats, bucket int) float64 {
	prior := all.broken[bucket] / max(1, all.broken[bucket]+all.survived[bucket])
	return (own.broken[bucket] + priorWeight*prior) / (own.broken[bucket] + own.survived[bucket] + priorWeight)
}

// chooseByBreakRate is the index of the connection to be used, by how long each has been idle, the longest first; -1:
// a new one.
func chooseByBreakRate(own, all *reuseStats, idle []time.Duration) int {
	chosen, lowest := -1, breakRate(own, all, newConnBucket)+acceptedExcess
	last := -1
	for i, age := range idle {
		bucket := ageBucket(age)
		if bucket == last { // as likely to break as the one that has been idle for longer
			continue
		}
		last = bucket
		rate := breakRate(own, all, bucket)
		if chosen < 0 && rate <= lowest || rate < lowest-betterBy { // the longest idle one, but for a reason
			chosen, lowest = i, rate
		}
	}
	return chosen
}
