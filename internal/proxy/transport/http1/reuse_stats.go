package http1

import (
	"math/bits"
	"time"
)

const (
	firstBucketAge = 4 * time.Millisecond // width of the first two buckets; after them, two buckets per doubling
	ageBuckets     = 20                   // up to about 3 s; the last bucket has all longer idle times
	newConnBucket  = ageBuckets           // bucket of new connections

	priorWeight       = 20.0  // weight, in uses, of the whole transport's rate against a server's own rate
	maxUses           = 512.0 // uses after which all counts are halved, so that old uses lose weight
	minBroken         = 3.0   // up to this number of broken connections is treated as chance
	minBrokenFraction = 0.02  // up to this fraction of all uses is treated as chance
	maxExcessRate     = 0.06  // tolerated excess over the break rate of new connections, which cost a handshake
	minRateGain       = 0.005 // difference in break rate that justifies a shorter idle time
)

// reuseStats counts how often connections survived or broke during an exchange, in buckets of their idle time before
// the exchange. Servers close connections some time after a response, because of an idle limit or an age limit, and a
// middlebox may drop the state of a connection. A request that is written to a connection that is being closed may have
// been processed, and nothing proves the opposite. So the transport prefers, for each server, the idle time after which
// connections break least often, and a new connection if all idle connections are worse. While no connection breaks,
// the statistics have no effect. Transport.mu guards them.
type reuseStats struct {
	uses        float64
	survived    [ageBuckets + 1]float64 // uses without a break, by bucket
	broken      [ageBuckets + 1]float64 // uses with a break, by bucket
	totalBroken float64
}

// ageBucket returns the bucket of an idle time. There are two buckets for each doubling of the idle time.
func ageBucket(idle time.Duration) int {
	n := uint64(idle / firstBucketAge)
	if n < 2 {
		return int(n)
	}
	power := bits.Len64(n) - 1
	return min(ageBuckets-1, 2*power+int(n>>(power-1))&1)
}

// record counts one use of a connection from the given bucket, and whether the connection broke.
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

// connsBreakOften reports whether connections break so often that delaying requests is worthwhile: see
// requestWriter.delay.
func (s *reuseStats) connsBreakOften() bool {
	return s.totalBroken > minBroken && s.totalBroken > minBrokenFraction*s.uses
}

// breakRate estimates the probability that a use of a connection breaks. It combines the server's own rate with the
// rate of the whole transport, which has the weight of priorWeight uses.
func breakRate(own, all *reuseStats, bucket int) float64 {
	prior := all.broken[bucket] / max(1, all.broken[bucket]+all.survived[bucket])
	return (own.broken[bucket] + priorWeight*prior) / (own.broken[bucket] + own.survived[bucket] + priorWeight)
}

// chooseByBreakRate returns the index of the connection to reuse, or -1 for a new connection. The idle times are in
// descending order.
func chooseByBreakRate(own, all *reuseStats, idle []time.Duration) int {
	chosen, lowest := -1, breakRate(own, all, newConnBucket)+maxExcessRate
	last := -1
	for i, age := range idle {
		bucket := ageBucket(age)
		if bucket == last { // same break rate as the connection before it, which was idle for longer
			continue
		}
		last = bucket
		rate := breakRate(own, all, bucket)
		if chosen < 0 && rate <= lowest || rate < lowest-minRateGain { // prefers longer idle times
			chosen, lowest = i, rate
		}
	}
	return chosen
}
