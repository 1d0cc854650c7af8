// Package swimsim plays a fleet of swim nodes in virtual time: messages that are lost, late,
// doubled, cut off or held back, processes that stop, crash and come back, clocks that run at rates
// of their own. One seed plays one history. It is for tests and measurements; nothing that ships
// imports it.
package swimsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"caperarch/internal/fleet/swim"
	"caperarch/internal/lab/virtualtime"
)

// Config is what a fleet is made of.
type Config struct {
	Size      int
	Seed      uint64
	Lease     time.Duration // 0: as swim has it
	Rate      float64       // clocks run by up to so much too fast or too slow
	Start     time.Duration // nodes start within this
	MinDelay  time.Duration // a message takes at least this
	MaxDelay  time.Duration // and at most this
	Loss      float64       // part of the messages that never arrive
	Duplicate float64       // part that arrive twice, the second time up to 4 s late
	Bytes     func(*swim.Message) int
	// bytes a second that each may send, and two seconds' worth at a time; 0: as many as it likes
	BytesPerSecond float64
	Alter          func(swim.Config, swim.Host) swim.Host // stands between a node and the fleet; nil: nothing does
}

// Net is a fleet. Its time begins at one hour, so that a clock's rate shows.
type Net struct {
	Config
	Rng *rand.Rand
	virtualtime.Clock
	Nodes       []*Node
	Partitioned func(from, to int) bool // nil: none
	HoldUntil   time.Duration           // messages that are sent before this moment arrive behind it, all at once
	Seen        func(node int, c swim.Change)

	Sent, Lost, Doubled, Held, Spared int
	broken                            []string
	said                              map[accusation]bool
}

// Node is one sidecar.
type Node struct {
	*swim.Node
	net         *Net
	number      int
	rate        float64
	incarnation uint64
	Down        bool          // its process does not live
	PausedUntil time.Duration // until then; 0: it runs
	held        []carried
	Bytes       int
	Sends       int
	level       float64
	levelAt     time.Duration
	truth
}

// New makes a fleet whose processes start soon.
func New(cfg Config) *Net {
	if cfg.MaxDelay == 0 {
		cfg.MinDelay, cfg.MaxDelay = time.Millisecond, 10*time.Millisecond
	}
	if cfg.Start == 0 {
		cfg.Start = swim.Period
	}
	n := &Net{Config: cfg, Rng: rand.New(rand.NewPCG(cfg.Seed, 1)),
		Clock: virtualtime.Clock{Now: time.Hour}, said: make(map[accusation]bool)}
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

// Time is the moment by a node's own clock.
func (m *Node) Time() time.Duration { return time.Duration(m.rate * float64(m.net.Now)) }

// Boot starts the process of a number, as one that remembers nothing.
func (n *Net) Boot(i int) {
	m := n.Nodes[i]
	if !m.Down {
		return
	}
	m.Down, m.PausedUntil, m.held = false, 0, nil
	m.truth = truth{last: make([]time.Duration, n.Size), proved: make([]time.Duration, n.Size)}
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
		panic(err) // the test's own mistake
	}
	m.Node = node
	node.Start(m.Time())
	n.tick(m, node)
}

// tick calls a process again and again while it lives.
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

// Crash ends a process without a word.
func (n *Net) Crash(i int) { n.Nodes[i].Down = true }

// Stop has a process stand still for a while. What comes meanwhile waits in its socket, up to 200 messages.
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
		if m.PausedUntil = 0; d >= time.Second { // a shorter one is no more than a busy machine
			m.wentOn = n.Now
		}
		held := m.held
		m.held = nil
		for i := range held {
			m.take(held[i])
		}
	})
}

// Send is called by a node.
func (m *Node) Send(to int, msg *swim.Message) {
	n := m.net
	n.Sent++
	m.Sends++
	if n.Bytes != nil {
		bytes := n.Bytes(msg)
		m.level = min(2*n.BytesPerSecond, m.level+n.BytesPerSecond*(n.Now-m.levelAt).Seconds())
		m.levelAt = n.Now
		if n.BytesPerSecond > 0 && m.level < float64(bytes) {
			n.Spared++
			return
		}
		m.level -= float64(bytes)
		m.Bytes += bytes
	}
	if n.Rng.Float64() < n.Loss || n.Partitioned != nil && n.Partitioned(m.number, to) {
		n.Lost++
		return
	}
	c := m.carry(to, msg)
	delay := n.within(n.MinDelay, n.MaxDelay)
	if n.Now < n.HoldUntil {
		n.Held++
		delay += n.HoldUntil - n.Now
	}
	n.After(delay, func() { n.arrive(to, c) })
	if n.Duplicate > 0 && n.Rng.Float64() < n.Duplicate {
		n.Doubled++
		n.After(delay+n.within(0, 4*time.Second), func() { n.arrive(to, c) })
	}
}

func (n *Net) arrive(to int, c carried) {
	m := n.Nodes[to]
	switch {
	case m.Down || n.Partitioned != nil && n.Partitioned(c.From, to):
	case m.PausedUntil > 0:
		if len(m.held) < 200 {
			m.held = append(m.held, c)
		}
	default:
		m.take(c)
	}
}

// Changed is called by a node.
func (m *Node) Changed(c swim.Change) {
	m.judge(c)
	if m.net.Seen != nil {
		m.net.Seen(m.number, c)
	}
}

// Running says whether a process runs now.
func (m *Node) Running() bool { return !m.Down && m.PausedUntil == 0 }

// Agree says whether all processes that run hold each other for alive, and all others for gone or left.
func (n *Net) Agree() bool {
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

// InContact is how many processes that run say that they are in contact.
func (n *Net) InContact() (in int) {
	for _, m := range n.Nodes {
		if m.Running() && m.Node.InContact(m.Time()) {
			in++
		}
	}
	return in
}

func (m *Node) name() string { return fmt.Sprintf("n%d", m.number) }
