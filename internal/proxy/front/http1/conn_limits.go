package http1

import "time"

// connState is what a connection is doing or, while it is idle, what it has been used for so far. The order matters:
// where there is no room, connections are closed in this order.
type connState int

const (
	stateLingering   connState = iota // it has its last response; what its client still sends is discarded
	stateNew                          // nothing was requested yet
	stateReading                      // a part of its request is here, the rest is still to come
	stateHealthCheck                  // idle; nothing but GET /up was requested
	stateUsedOnce                     // idle after one request
	stateReused                       // idle after more than one: its client comes back to it
	stateCount
)

// minIdleTime is how long a connection with no open request is left alone where room is short. Were it longer, clients
// that open a connection for each request and keep the old ones would hold up all others.
const minIdleTime = 100 * time.Millisecond

// newConnGrace is how long a drain leaves a connection alone on which nothing was requested: its request, or its
// client's look at /up, is on its way.
const newConnGrace = 500 * time.Millisecond

// maxIdleOverShare is how long a connection is left idle at most where a limit is met and its owner has more than its
// share.
const maxIdleOverShare = 50 * time.Millisecond

var (
	// minIdleOverLimit is how long a connection has to be in a state before it may be closed because too many are in
	// that state. One that is being read is given longer: what comes late may be late for our own lack of CPU.
	minIdleOverLimit = [stateCount]time.Duration{
		stateLingering:   minIdleTime,
		stateNew:         minIdleTime,
		stateReading:     500 * time.Millisecond,
		stateHealthCheck: minIdleTime,
		stateUsedOnce:    minIdleTime,
		stateReused:      time.Second,
	}
	// minIdleWhenFull is the same where there is no room for a new connection.
	minIdleWhenFull = [stateCount]time.Duration{
		stateLingering:   20 * time.Millisecond,
		stateNew:         minIdleTime,
		stateReading:     500 * time.Millisecond,
		stateHealthCheck: minIdleTime,
		stateUsedOnce:    minIdleTime,
		stateReused:      minIdleTime,
	}
	// defaultMaxIdle is how long a connection is left in a state where there is room. (Reading and lingering have
	// deadlines of their own.)
	defaultMaxIdle = [stateCount]time.Duration{
		stateLingering:   time.Minute,
		stateNew:         2200 * time.Millisecond,
		stateReading:     time.Minute,
		stateHealthCheck: 2 * time.Minute,
		stateUsedOnce:    2 * time.Minute,
		stateReused:      2 * time.Minute,
	}
)

// ConnLimits bound the number of clients' connections.
type ConnLimits struct {
	Max         int             // in all; a further one waits
	MaxIdle     [stateCount]int // with no complete request open, by state; beyond that those longest so are closed
	maxUpstream int             // connections that the application may open on its side; 0: unknown
}

// NewConnLimits are the limits for maxConns connections in all, of which the application may open so many on its own
// side. Idle ones are left no more than half of the application's, so that half is always free for what it opens.
func NewConnLimits(maxConns, application int) ConnLimits {
	fraction := func(divisor int) int { return max(2, application/divisor) }
	return ConnLimits{Max: maxConns, maxUpstream: application, MaxIdle: [stateCount]int{
		stateLingering:   fraction(4),
		stateNew:         fraction(8),
		stateReading:     fraction(3),
		stateHealthCheck: fraction(16),
		stateUsedOnce:    fraction(8),
		stateReused:      2 * fraction(10),
	}}
}

// KeepAliveConnLimits are the limits for maxConns connections in all whose clients are free to keep them idle as long
// as RequestLimits say: an idle one is closed sooner only where a new one needs its place. Reading and lingering have
// limits all the same: bodies that come a byte at a time must not occupy all connections.
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

// perProcess are the limits of one of several processes that serve the same clients. There is one application, whatever
// process it connects to: each process must have room for all that the application may open, and idle connections are
// limited as ever. With only half of all, what an application in need opens to the new process beyond that would stand
// unaccepted until the old process has sent its last responses.
func (l ConnLimits) perProcess(processes int) ConnLimits {
	l.Max = max(1, l.Max/max(1, processes), min(l.Max, l.maxUpstream))
	return l
}

// Counters count the clients' connections, for the log: the fields' names are keys there. Rest and Closed count by
// state, in the order of connState.
type Counters struct {
	Open, Most int                // open now, and at once so far
	Rest       [stateCount]int    // with no complete request open
	Closed     [stateCount]uint64 // closed to make room
}
