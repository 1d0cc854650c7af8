package http1

import "time"

// connState is what a connection is doing or, while it is idle, what it was used for so far. The order matters: when
// a new connection needs room, connections are closed in this order.
type connState int

const (
	stateLingering   connState = iota // the last response was sent; further input of the client is discarded
	stateNew                          // no request was received yet
	stateReading                      // a request was received in part, the rest is still to come
	stateHealthCheck                  // idle; only GET /up was requested
	stateUsedOnce                     // idle after one request
	stateReused                       // idle after two or more requests: the client reuses the connection
	stateCount
)

// minIdleTime is how long a connection without an open request stays open when room is short. A longer time would let
// clients that open a connection per request and keep the old ones delay all other clients.
const minIdleTime = 100 * time.Millisecond

// newConnGrace is how long a drain keeps a connection on which no request was received: the first request, or a GET
// /up, may be in transit.
const newConnGrace = 500 * time.Millisecond

// maxIdleOverShare is the longest time that a connection may be idle when a limit is reached and the connection's
// owner has more than its share.
const maxIdleOverShare = 50 * time.Millisecond

var (
	// minIdleOverLimit is how long a connection must have been in a state before it may be closed because too many
	// connections are in that state. A connection that is being read gets longer, because late input may be caused by
	// the proxy's own lack of CPU.
	minIdleOverLimit = [stateCount]time.Duration{
		stateLingering:   minIdleTime,
		stateNew:         minIdleTime,
		stateReading:     500 * time.Millisecond,
		stateHealthCheck: minIdleTime,
		stateUsedOnce:    minIdleTime,
		stateReused:      time.Second,
	}
	// minIdleWhenFull is how long a connection must have been in a state before it may be closed because a new
	// connection needs its place.
	minIdleWhenFull = [stateCount]time.Duration{
		stateLingering:   20 * time.Millisecond,
		stateNew:         minIdleTime,
		stateReading:     500 * time.Millisecond,
		stateHealthCheck: minIdleTime,
		stateUsedOnce:    minIdleTime,
		stateReused:      minIdleTime,
	}
	// defaultMaxIdle is how long a connection may stay in a state while there is room. Reading and lingering
	// connections also have read deadlines.
	defaultMaxIdle = [stateCount]time.Duration{
		stateLingering:   time.Minute,
		stateNew:         2200 * time.Millisecond,
		stateReading:     time.Minute,
		stateHealthCheck: 2 * time.Minute,
		stateUsedOnce:    2 * time.Minute,
		stateReused:      2 * time.Minute,
	}
)

// ConnLimits are the limits on the number of client connections.
type ConnLimits struct {
	Max            int             // of all connections; a further connection waits until one closes
	MaxIdle        [stateCount]int // without a complete open request, by state; the longest in a state are closed first
	maxApplication int             // connections that the application may open to the proxy; 0: unknown
}

// NewConnLimits returns limits of maxConns connections in all, for an application that may open applicationConns
// connections to the proxy. Idle connections take about half of the application's connections at most, so that the
// other half is available for new ones.
func NewConnLimits(maxConns, applicationConns int) ConnLimits {
	fraction := func(divisor int) int { return max(2, applicationConns/divisor) }
	return ConnLimits{Max: maxConns, maxApplication: applicationConns, MaxIdle: [stateCount]int{
		stateLingering:   fraction(4),
		stateNew:         fraction(8),
		stateReading:     fraction(3),
		stateHealthCheck: fraction(16),
		stateUsedOnce:    fraction(8),
		stateReused:      2 * fraction(10),
	}}
}

// KeepAliveConnLimits returns limits of maxConns connections in all, for clients that may keep connections idle for
// as long as RequestLimits allow: an idle connection is closed sooner only if a new connection needs its place.
// Reading and lingering connections are limited as well, so that bodies sent one byte at a time can't occupy all
// connections.
func KeepAliveConnLimits(maxConns int) ConnLimits {
	return ConnLimits{Max: maxConns, MaxIdle: [stateCount]int{
		stateLingering:   max(2, maxConns/8),
		stateNew:         maxConns,
		stateReading:     max(2, maxConns/3),
		stateHealthCheck: maxConns,
		stateUsedOnce:    maxConns,
		stateReused:      maxConns,
	}}
}

// perProcess returns the limits for one of several processes that serve the same clients. All processes serve the
// same application, which may open all of its connections to any of them, so each process must have room for all of
// these; the limits on idle connections don't change. With an equal part of Max only, connections that the
// application opens to a new process beyond that part would stay unaccepted until the old process has sent its last
// responses.
func (l ConnLimits) perProcess(processes int) ConnLimits {
	l.Max = max(1, l.Max/max(1, processes), min(l.Max, l.maxApplication))
	return l
}

// Counters are counts of client connections for the log. The field names are log keys. Rest and Closed are indexed by
// connState.
type Counters struct {
	Open, Most int                // connections open now, and the most open at once so far
	Rest       [stateCount]int    // connections without a complete open request
	Closed     [stateCount]uint64 // connections closed to make room
}
