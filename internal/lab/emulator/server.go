package emulator

import (
	"math"
	"slices"
	"time"

	"caperarch/internal/lab/virtualtime"
	"caperarch/policy"
)

// Server is a server's build.
type Server struct {
	Cores      int
	Speed      float64 // work done a second on each core
	QueueSlots int     // requests that may wait; beyond that it turns away
	Cell       int
	Weight     float64   // in the list; 0: 1
	Overload   *Overload // what becomes of it where it holds too many; nil: nothing
}

// Overload is how a server tips where it holds more than it bears, and how it comes back.
type Overload struct {
	Over   time.Duration // the mean over so long
	Most   float64       // of what it holds is above this:
	Slower float64       // so many times slower,
	Below  float64       // until its cores were busy for less than this share
	Rest   time.Duration // of so long,
	Until  time.Duration // or so long has passed
}

// State is how a server behaves for now; the zero value is well.
type State struct {
	Silent      bool    // takes requests and answers none
	Refuses     bool    // refuses connections
	Slower      float64 // its work takes so many times longer; 0: 1
	RejectShare float64 // share of the requests that it turns away unseen
	Idle        bool    // reports that it holds nothing
	BreakShare  float64 // share of the requests after which the connection breaks, run or not
	// requests that it takes a second; it turns away what comes beyond that, after a while; 0: no bound
	RateLimit float64
}

// node is a server at work.
type node struct {
	f       *Fleet
	id      policy.ServerID
	spec    Server
	state   State
	started time.Duration // it was cold then; 0: long ago
	gone    bool
	running []*job
	waiting []*job
	recent  float64 // mean service time lately, in seconds
	served  float64 // a second, fading
	errors  float64
	at      time.Duration // when these were taken
	tokens  float64       // of State.Most
	tokenAt time.Duration
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

// turnAwayTime is how long a server takes to turn a request away, network and all.
const turnAwayTime = time.Millisecond

// throttleTime is how long one takes that bounds what it takes a second.
const throttleTime = 40 * time.Millisecond

// token says whether one more may be taken this second.
func (n *node) token() bool {
	now := n.f.clock.Now
	n.tokens = min(n.state.RateLimit/10+1, n.tokens+(now-n.tokenAt).Seconds()*n.state.RateLimit)
	if n.tokenAt = now; n.tokens < 1 {
		return false
	}
	n.tokens--
	return true
}

// take takes an attempt on. done is called once, but for one that is given up.
func (n *node) take(work float64, done func(policy.Ending)) *job {
	j := &job{node: n, work: work, done: done}
	n.updateOverload()
	switch {
	case n.gone || n.state.Refuses:
		j.end(turnAwayTime, policy.NoConnection)
	case n.state.Silent:
	case n.state.RejectShare > 0 && n.f.rng.Float64() < n.state.RejectShare:
		n.fade()
		n.errors++
		j.end(turnAwayTime, policy.NotProcessed)
	case n.state.RateLimit > 0 && !n.token():
		n.fade()
		n.errors++
		j.end(throttleTime, policy.NotProcessed)
	case n.state.BreakShare > 0 && n.f.rng.Float64() < n.state.BreakShare:
		j.end(turnAwayTime, policy.ConnectionLost)
	case len(n.running) < n.spec.Cores:
		n.begin(j)
	case len(n.waiting) < n.spec.QueueSlots:
		n.waiting = append(n.waiting, j)
	default:
		n.fade()
		n.errors++
		j.end(turnAwayTime, policy.NotProcessed)
	}
	return j
}

func (j *job) end(after time.Duration, e policy.Ending) {
	j.ends = j.node.f.clock.After(after, func() {
		j.over = true
		j.done(e)
	})
}

// begin puts a request on a core.
func (n *node) begin(j *job) {
	n.running = append(n.running, j)
	j.from = n.f.clock.Now
	seconds := j.work / n.speed()
	j.ends = n.f.clock.After(time.Duration(seconds*float64(time.Second)), func() {
		j.over = true
		n.fade()
		n.served++
		n.recent += (seconds - n.recent) / 16
		n.leave(j)
		j.done(policy.Served)
	})
}

// speed is that of a core now.
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

// leave takes a request off and begins the next.
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

// giveUp takes that the sidecar has closed the connection: its work stops.
func (j *job) giveUp() {
	if j.over {
		return
	}
	j.over = true
	if j.ends != nil {
		j.ends.Stop()
	}
	j.node.leave(j)
}

// set changes how a server behaves. One that falls silent answers nothing, not even what it had begun.
func (n *node) set(s State) {
	if s.Silent && !n.state.Silent {
		for _, j := range n.running {
			j.ends.Stop()
		}
	}
	back := n.state.Silent && !s.Silent
	n.state = s
	if back { // it goes on with what is still here
		held := n.running
		n.running = nil
		for _, j := range held {
			n.begin(j)
		}
		n.leave(nil)
	}
}

func (n *node) fade() {
	f := math.Exp(-(n.f.clock.Now - n.at).Seconds())
	n.served, n.errors, n.at = n.served*f, n.errors*f, n.f.clock.Now
}

// report is what a probe brings.
func (n *node) report() (bool, policy.Load) {
	if n.gone || n.state.Silent || n.state.Refuses {
		return false, policy.Load{}
	}
	n.fade()
	l := policy.Load{
		Has: n.f.cfg.Module.Reports, InFlight: float64(len(n.running) + len(n.waiting)),
		Service: time.Duration(n.recent * float64(time.Second)), Served: n.served, Errors: n.errors,
	}
	if n.state.Idle {
		l.InFlight = 0
	}
	return true, l
}

// capacity is the work that it can do a second now.
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
