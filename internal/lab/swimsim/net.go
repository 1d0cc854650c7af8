// Package swimsim simulates a fleet of swim nodes in virtual time: messages that are lost, delayed, duplicated or cut
// off by a partition, processes that pause, crash and restart, and clocks that drift. The same seed gives the same
// history. The package is for tests and measurements; production code doesn't import it.
package swimsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"caperarch/internal/fleet/swim"
	"caperarch/internal/lab/virtualtime"
)

// Config configures a simulated fleet.
type Config struct {
	Size      int
	Seed      uint64
	Lease     time.Duration           // 0 for the default of swim
	Rate      float64                 // largest relative error of a clock
	Start     time.Duration           // all processes start within this time
	MinDelay  time.Duration           // lower bound of the delay of a message
	MaxDelay  time.Duration           // upper bound of the delay of a message
	Loss      float64                 // probability that a message is lost
	Duplicate float64                 // probability that a message is received twice, the second time up to 4 s later
	Bytes     func(*swim.Message) int // returns the size of a message; nil if sizes are not counted
	// BytesPerSecond limits the bytes that each node sends per second, with a burst of two seconds' worth; 0 for no
	// limit.
	BytesPerSecond float64
	// Alter wraps the host of a node, for instance to alter its messages; nil for the unchanged host.
	Alter func(swim.Config, swim.Host) swim.Host
}

// Net is a simulated fleet and its network. Its time begins at one hour, so that clock errors have an effect from the
// start.
type Net struct {
	Config
	Rng *rand.Rand
	virtualtime.Clock
	Nodes       []*Node
	Partitioned func(from, to int) bool       // reports whether a link is cut; nil if none is
	HoldUntil   time.Duration                 // messages that are sent before this moment arrive after it
	OnChange    func(node int, c swim.Change) // called for each membership change at a node; may be nil

	Sent, Lost, Duplicated, Delayed, RateLimited int // numbers of messages
	violations                                   []string
	accusations                                  map[accusation]bool // suspicions and declarations of death that were sent
}

// Node is a simulated sidecar.
type Node struct {
	*swim.Node
	net         *Net
	number      int
	rate        float64
	incarnation uint64
	Down        bool          // its process is not running
	PausedUntil time.Duration // end of the present pause; 0 if the process is not paused
	queued      []envelope
	Bytes       int
	Sends       int
	tokens      float64 // of the token bucket of BytesPerSecond, in bytes
	tokensAt    time.Duration
	observations
}

// New returns a fleet whose processes start within cfg.Start.
func New(cfg Config) *Net {
	if cfg.MaxDelay == 0 {
		cfg.MinDelay, cfg.MaxDelay = time.Millisecond, 10*time.Millisecond
	}
	if cfg.Start == 0 {
		cfg.Start = swim.Period
	}
	n := &Net{Config: cfg, Rng: rand.New(rand.NewPCG(cfg.Seed, 1)),
		Clock: virtualtime.Clock{Now: time.Hour}, accusations: make(map[accusation]bool)}
	for i := range cfg.Size {
		n.Nodes = append(n.Nodes, &Node{net: n, number: i, rate: 1 + cfg.Rate*(2*n.Rng.Float64()-1), Down: true})
	}
	for i := range cfg.Size {
		n.After(n.within(0, cfg.Start), func() { n.Boot(i) })
	}
	return n
}

func (n *Net) within(least, most time.Duration) time.Duration {
	return least + time.Duration(n.Rng.Int64N(int64(max(1, most-least))))
}

// Time returns the present time by the node's own clock.
func (m *Node) Time() time.Duration { return time.Duration(m.rate * float64(m.net.Now)) }

// Boot starts the process of node i without memory.
func (n *Net) Boot(i int) {
	m := n.Nodes[i]
	if !m.Down {
		return
	}
	m.Down, m.PausedUntil, m.queued = false, 0, nil
	m.observations = observations{received: make([]time.Duration, n.Size), confirmed: make([]time.Duration, n.Size)}
	m.incarnation = max(m.incarnation+1, uint64(n.Now/time.Millisecond)<<16|n.Rng.Uint64N(1<<16))
	cfg := swim.Config{
		Size: n.Size, Self: i, Incarnation: m.incarnation, Lease: n.Lease,
		MaxClockError: max(n.Rate, swim.DefaultClockError),
		Rand:          rand.New(rand.NewPCG(n.Seed, m.incarnation)), Host: m,
	}
	if n.Alter != nil {
		cfg.Host = n.Alter(cfg, m)
	}
	node, err := swim.New(cfg)
	if err != nil {
		panic(err) // an invalid configuration is a mistake of the test
	}
	m.Node = node
	node.Start(m.Time())
	n.tick(m, node)
}

// tick calls Tick of a process at each period until the process ends.
func (n *Net) tick(m *Node, node *swim.Node) {
	n.After(swim.Period, func() {
		switch {
		case m.Node != node || m.Down:
			return
		case m.PausedUntil == 0:
			node.Tick(m.Time())
		}
		n.tick(m, node)
	})
}

// Crash ends the process of node i without notice.
func (n *Net) Crash(i int) { n.Nodes[i].Down = true }

// Stop pauses the process of node i for d. Up to 200 messages that arrive during the pause wait in its socket.
func (n *Net) Stop(i int, d time.Duration) {
	m := n.Nodes[i]
	if m.Down {
		return
	}
	m.PausedUntil = n.Now + d
	n.After(d, func() {
		if m.Down || m.PausedUntil > n.Now || m.PausedUntil == 0 {
			return
		}
		if m.PausedUntil = 0; d >= time.Second { // shorter pauses are normal on a busy machine
			m.resumedAt = n.Now
		}
		queued := m.queued
		m.queued = nil
		for i := range queued {
			m.deliver(queued[i])
		}
	})
}

// Send implements the host interface of swim: it sends a message to another node, unless the rate limit forbids it.
func (m *Node) Send(to int, msg *swim.Message) {
	n := m.net
	n.Sent++
	m.Sends++
	if n.Bytes != nil {
		bytes := n.Bytes(msg)
		m.tokens = min(2*n.BytesPerSecond, m.tokens+n.BytesPerSecond*(n.Now-m.tokensAt).Seconds())
		m.tokensAt = n.Now
		if n.BytesPerSecond > 0 && m.tokens < float64(bytes) {
			n.RateLimited++
			return
		}
		m.tokens -= float64(bytes)
		m.Bytes += bytes
	}
	if n.Rng.Float64() < n.Loss || n.Partitioned != nil && n.Partitioned(m.number, to) {
		n.Lost++
		return
	}
	c := m.wrap(to, msg)
	delay := n.within(n.MinDelay, n.MaxDelay)
	if n.Now < n.HoldUntil {
		n.Delayed++
		delay += n.HoldUntil - n.Now
	}
	n.After(delay, func() { n.arrive(to, c) })
	if n.Duplicate > 0 && n.Rng.Float64() < n.Duplicate {
		n.Duplicated++
		n.After(delay+n.within(0, 4*time.Second), func() { n.arrive(to, c) })
	}
}

func (n *Net) arrive(to int, c envelope) {
	m := n.Nodes[to]
	switch {
	case m.Down || n.Partitioned != nil && n.Partitioned(c.From, to):
	case m.PausedUntil > 0:
		if len(m.queued) < 200 {
			m.queued = append(m.queued, c)
		}
	default:
		m.deliver(c)
	}
}

// Changed implements the host interface of swim.
func (m *Node) Changed(c swim.Change) {
	m.checkChange(c)
	if m.net.OnChange != nil {
		m.net.OnChange(m.number, c)
	}
}

// Running reports whether the process is neither down nor paused.
func (m *Node) Running() bool { return !m.Down && m.PausedUntil == 0 }

// Converged reports whether all running processes see each other as alive, with the present sessions, and all processes
// that are down as dead or left.
func (n *Net) Converged() bool {
	for _, a := range n.Nodes {
		if !a.Running() {
			continue
		}
		for j, b := range n.Nodes {
			state, session := a.State(j)
			if b.Running() && (state != swim.Alive || session != b.Session()) || b.Down && state < swim.Dead {
				return false
			}
		}
	}
	return true
}

// InContact returns the number of running processes that report themselves in contact.
func (n *Net) InContact() (in int) {
	for _, m := range n.Nodes {
		if m.Running() && m.Node.InContact(m.Time()) {
			in++
		}
	}
	return in
}

func (m *Node) name() string { return fmt.Sprintf("n%d", m.number) }
