package emulator

import (
	"math"
	"slices"
	"time"

	"caperarch/internal/lab/virtualtime"
	"caperarch/policy"
)

// Server is the specification of a server.
type Server struct {
	Cores      int
	Speed      float64 // seconds of work per second on each core
	QueueSlots int     // requests that may wait; the server rejects further requests
	Cell       int
	Weight     float64   // in the server list; 0 for 1
	Overload   *Overload // nil for a server that can't become overloaded
}

// Overload configures when a server becomes overloaded and when it recovers.
type Overload struct {
	Over   time.Duration // time constant of the mean number of requests in flight
	Most   float64       // the server becomes overloaded when the mean exceeds this number
	Slower float64       // factor by which an overloaded server is slower
	Below  float64       // utilization of the cores below which the server rests
	Rest   time.Duration // the server recovers when the mean utilization over this time is below Below
	Until  time.Duration // the server recovers after this time at the latest
}

// State is the present behaviour of a server. The zero value is a healthy server.
type State struct {
	Silent      bool    // accepts requests and never answers
	Refuses     bool    // refuses connections
	Slower      float64 // factor of the service time; 0 for 1
	RejectShare float64 // share of the requests that it rejects without running them
	Idle        bool    // reports no requests in flight
	BreakShare  float64 // share of the requests whose connection breaks, whether they ran or not
	// RateLimit is the number of requests per second that the server accepts; it rejects others after throttleTime. 0
	// means no limit.
	RateLimit float64
}

// node is a running server.
type node struct {
	f               *Fleet
	id              policy.ServerID
	spec            Server
	state           State
	started         time.Duration // when it was started cold; 0 for a warm server
	gone            bool
	running         []*job
	waiting         []*job
	meanServiceTime float64       // exponential mean, in seconds
	served          float64       // decaying rate per second
	errors          float64       // decaying rate per second
	at              time.Duration // when the rates were updated
	tokens          float64       // of the token bucket of State.RateLimit
	tokenAt         time.Duration
	overloadState
}

// job is an attempt at a server.
type job struct {
	node *node
	work float64 // seconds on a core of speed 1
	done func(policy.Ending)
	ends *virtualtime.Timer
	from time.Duration // when it began to run
	over bool
}

// rejectTime is the time in which a server rejects a request, including the network.
const rejectTime = time.Millisecond

// throttleTime is the time in which a server with a rate limit rejects a request.
const throttleTime = 40 * time.Millisecond

// takeToken takes a token for a request and reports whether there was one.
func (n *node) takeToken() bool {
	now := n.f.clock.Now
	n.tokens = min(n.state.RateLimit/10+1, n.tokens+(now-n.tokenAt).Seconds()*n.state.RateLimit)
	if n.tokenAt = now; n.tokens < 1 {
		return false
	}
	n.tokens--
	return true
}

// accept handles an attempt. It calls done once, unless the attempt is cancelled or never answered.
func (n *node) accept(work float64, done func(policy.Ending)) *job {
	j := &job{node: n, work: work, done: done}
	n.updateOverload()
	switch {
	case n.gone || n.state.Refuses:
		j.end(rejectTime, policy.NoConnection)
	case n.state.Silent:
	case n.state.RejectShare > 0 && n.f.rng.Float64() < n.state.RejectShare:
		n.decayRates()
		n.errors++
		j.end(rejectTime, policy.NotProcessed)
	case n.state.RateLimit > 0 && !n.takeToken():
		n.decayRates()
		n.errors++
		j.end(throttleTime, policy.NotProcessed)
	case n.state.BreakShare > 0 && n.f.rng.Float64() < n.state.BreakShare:
		j.end(rejectTime, policy.ConnectionLost)
	case len(n.running) < n.spec.Cores:
		n.begin(j)
	case len(n.waiting) < n.spec.QueueSlots:
		n.waiting = append(n.waiting, j)
	default:
		n.decayRates()
		n.errors++
		j.end(rejectTime, policy.NotProcessed)
	}
	return j
}

func (j *job) end(after time.Duration, e policy.Ending) {
	j.ends = j.node.f.clock.After(after, func() {
		j.over = true
		j.done(e)
	})
}

// begin starts a job on a core.
func (n *node) begin(j *job) {
	n.running = append(n.running, j)
	j.from = n.f.clock.Now
	seconds := j.work / n.speed()
	j.ends = n.f.clock.After(time.Duration(seconds*float64(time.Second)), func() {
		j.over = true
		n.decayRates()
		n.served++
		n.meanServiceTime += (seconds - n.meanServiceTime) / 16
		n.leave(j)
		j.done(policy.Served)
	})
}

// speed returns the present speed of a core.
func (n *node) speed() float64 {
	s := n.spec.Speed * n.warmth()
	if n.state.Slower > 0 {
		s /= n.state.Slower
	}
	if n.overloaded {
		s /= n.spec.Overload.Slower
	}
	return s
}

func (n *node) warmth() float64 {
	c := &n.f.cfg.Module
	if n.started == 0 || c.SlowStartTime <= 0 {
		return 1
	}
	share := float64(n.f.clock.Now-n.started) / float64(c.SlowStartTime)
	return min(1, c.SlowStartShare+(1-c.SlowStartShare)*share)
}

// leave removes a job and starts the next waiting ones.
func (n *node) leave(j *job) {
	n.updateOverload()
	if i := slices.Index(n.running, j); i >= 0 {
		n.running = slices.Delete(n.running, i, i+1)
	}
	if i := slices.Index(n.waiting, j); i >= 0 {
		n.waiting = slices.Delete(n.waiting, i, i+1)
	}
	for len(n.waiting) > 0 && len(n.running) < n.spec.Cores && !n.state.Silent {
		next := n.waiting[0]
		n.waiting = slices.Delete(n.waiting, 0, 1)
		n.begin(next)
	}
}

// cancel ends a job whose sidecar has closed the connection.
func (j *job) cancel() {
	if j.over {
		return
	}
	j.over = true
	if j.ends != nil {
		j.ends.Stop()
	}
	j.node.leave(j)
}

// set changes the behaviour of a server. A server that becomes silent doesn't answer the requests in progress either.
func (n *node) set(s State) {
	if s.Silent && !n.state.Silent {
		for _, j := range n.running {
			j.ends.Stop()
		}
	}
	resumed := n.state.Silent && !s.Silent
	n.state = s
	if resumed { // continue with the remaining requests
		queued := n.running
		n.running = nil
		for _, j := range queued {
			n.begin(j)
		}
		n.leave(nil)
	}
}

func (n *node) decayRates() {
	f := math.Exp(-(n.f.clock.Now - n.at).Seconds())
	n.served, n.errors, n.at = n.served*f, n.errors*f, n.f.clock.Now
}

// report returns the result of a probe.
func (n *node) report() (bool, policy.Load) {
	if n.gone || n.state.Silent || n.state.Refuses {
		return false, policy.Load{}
	}
	n.decayRates()
	l := policy.Load{
		Has: n.f.cfg.Module.Reports, InFlight: float64(len(n.running) + len(n.waiting)),
		Service: time.Duration(n.meanServiceTime * float64(time.Second)), Served: n.served, Errors: n.errors,
	}
	if n.state.Idle {
		l.InFlight = 0
	}
	return true, l
}

// capacity returns the present capacity in seconds of work per second.
func (n *node) capacity() float64 {
	if n.gone || n.state.Silent || n.state.Refuses {
		return 0
	}
	c := n.speed() * float64(n.spec.Cores) * (1 - n.state.RejectShare)
	if n.state.RateLimit > 0 {
		c = min(c, n.state.RateLimit*n.f.meanWork)
	}
	return c
}
