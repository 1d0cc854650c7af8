// Package raftlogsim plays the sidecars that share an agreed log in virtual time: messages lost,
// late, doubled and cut off, processes that stop, crash and come back having forgotten. One seed
// plays one history. It is for tests and measurements; nothing that ships imports it.
package raftlogsim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"caperarch/internal/fleet/raftlog"
	"caperarch/internal/lab/virtualtime"
)

// outAfter is when a process that has ended is known to be gone for good: what internal/fleet/swim
// tells takes about so long.
const outAfter = 6 * time.Second

// Net is a fleet.
type Net struct {
	Size int
	virtualtime.Clock
	virtualtime.Faults
	Nodes []*Node
	Disks []*Disk // by number, where machines have some that last; nil: none has

	Broken          []string
	Sent            int
	Longest         int                  // bytes of a message, about
	agreed          map[[2]uint64]string // by epoch and index: what somebody has
	ended           map[raftlog.Voter]time.Duration
	lastIncarnation uint64
}

// Node is one sidecar.
type Node struct {
	*raftlog.Node
	virtualtime.Process
	net   *Net
	voter raftlog.Voter
	last  uint64
	term  uint64                // that it leads, or led last
	led   time.Duration         // since when
	Heard func(e raftlog.Entry) // what it applies; nil: nobody looks
}

// New makes a fleet whose processes all run.
func New(size int, seed uint64) *Net {
	n := &Net{
		Size: size, Clock: virtualtime.Clock{Now: time.Hour},
		Faults: virtualtime.Faults{Rng: rand.New(rand.NewPCG(seed, 5)), MaxDelay: 10 * time.Millisecond},
		agreed: make(map[[2]uint64]string),
		ended:  make(map[raftlog.Voter]time.Duration),
	}
	for range size {
		n.Nodes = append(n.Nodes, &Node{net: n, Process: virtualtime.Process{Down: true}})
	}
	for i := range size {
		n.Boot(i)
	}
	return n
}

// Boot starts the process of a number, as one that remembers nothing.
func (n *Net) Boot(i int) {
	m := n.Nodes[i]
	if !m.Down {
		return
	}
	n.lastIncarnation++
	m.Restart()
	m.voter, m.last = raftlog.Voter{Number: i, Incarnation: n.lastIncarnation}, 0
	cfg := raftlog.Config{Size: n.Size, Self: m.voter, ProcessIncarnation: n.lastIncarnation,
		Rand: rand.New(rand.NewPCG(n.lastIncarnation, n.Rng.Uint64())), Host: m}
	if n.Disks != nil {
		d := n.Disks[i]
		if d.Incarnation == 0 {
			d.Incarnation = n.lastIncarnation
		}
		m.voter.Incarnation, cfg.Self.Incarnation, cfg.Storage = d.Incarnation, d.Incarnation, d
		delete(n.ended, m.voter)
	}
	node, err := raftlog.New(cfg)
	if err != nil {
		panic(err) // the test's own mistake
	}
	m.Node = node
	if n.Disks != nil {
		if err := node.Restore(n.Now, n.Disks[i].Saved()); err != nil {
			panic(err)
		}
	}
	var tick func()
	tick = func() {
		if m.Node != node || m.Down {
			return
		}
		if m.PausedUntil == 0 {
			node.Tick(n.Now)
			node.UpdateVoters(n.Now, n.out, n.there())
			m.lead()
		}
		n.After(raftlog.Period, tick)
	}
	n.After(time.Duration(n.Rng.Int64N(int64(raftlog.Period))), tick)
}

// Crash ends a process without a word.
func (n *Net) Crash(i int) {
	if m := n.Nodes[i]; !m.Down {
		m.Down = true
		n.ended[m.voter] = n.Now
	}
}

// Stop has a process stand still. What comes meanwhile waits in its socket.
func (n *Net) Stop(i int, d time.Duration) { n.Nodes[i].Pause(&n.Clock, d, nil) }

func (n *Net) out(s raftlog.Voter) bool {
	at, ended := n.ended[s]
	return ended && n.Now-at >= outAfter
}

func (n *Net) there() (all []raftlog.Voter) {
	for _, m := range n.Nodes {
		if !m.Down && m.PausedUntil == 0 {
			all = append(all, m.voter)
		}
	}
	slices.SortFunc(all, func(a, b raftlog.Voter) int {
		if a.ID() < b.ID() {
			return -1
		}
		return 1
	})
	return all
}

// Send is called by a node.
func (m *Node) Send(to int, msg *raftlog.Message) {
	n, from := m.net, m.voter.Number
	n.Sent++
	raw, err := msg.Encode()
	if err != nil {
		n.Broken = append(n.Broken, err.Error())
		return
	}
	n.Longest = max(n.Longest, len(raw))
	take := func() {
		c, err := raftlog.Decode(raw)
		if err != nil {
			n.Broken = append(n.Broken, err.Error())
			return
		}
		n.Nodes[to].Receive(n.Now, from, c)
	}
	n.Deliver(&n.Clock, from, to, func() { n.Nodes[to].Arrive(100, take) })
}

// lead checks that what a leader takes for confirmed is of its own term.
func (m *Node) lead() {
	if !m.IsLeader() {
		return
	}
	if term := m.Term(); term != m.term {
		m.term, m.led = term, m.net.Now
	}
	if at, _ := m.LastQuorumAck(); at > 0 && at < m.led {
		m.net.Broken = append(m.net.Broken,
			fmt.Sprintf("n%d leads since %v and takes a word of %v for a confirmation", m.voter.Number, m.led, at))
	}
}

// Applied is called by a node: what one has, all have.
func (m *Node) Applied(e raftlog.Entry) {
	n := m.net
	key := [2]uint64{m.Epoch(), e.Index}
	switch had, known := n.agreed[key]; {
	case known && had != string(e.Data):
		n.Broken = append(n.Broken, fmt.Sprintf("n%d has %q at %d of epoch %d, another has %q",
			m.voter.Number, e.Data, e.Index, m.Epoch(), had))
	case e.Index <= m.last:
		n.Broken = append(n.Broken, fmt.Sprintf("n%d applies %d behind %d", m.voter.Number, e.Index, m.last))
	}
	n.agreed[key], m.last = string(e.Data), e.Index
	if m.Heard != nil {
		m.Heard(e)
	}
}

// Reset is called by a node.
func (m *Node) Reset(uint64) { m.last = 0 }

// Leader is a node that leads; -1: none does.
func (n *Net) Leader() int {
	for i, m := range n.Nodes {
		if m.Running() && m.IsLeader() {
			return i
		}
	}
	return -1
}

// Lost says whether the log is lost, as it may be where a majority of the voters is: of the seats
// that anybody holds for the voters', most are of processes that have ended.
func (n *Net) Lost() bool {
	for _, m := range n.Nodes {
		if m.Down || m.Epoch() == 0 {
			continue
		}
		alive := 0
		for _, s := range m.Voters() {
			if _, ended := n.ended[s]; !ended {
				alive++
			}
		}
		if 2*alive <= len(m.Voters()) {
			return true
		}
	}
	return false
}

// Agreed is what stands in the log of an epoch, as far as anybody has it.
func (n *Net) Agreed(epoch uint64) (all []string) {
	most := uint64(0)
	for key := range n.agreed {
		if key[0] == epoch {
			most = max(most, key[1])
		}
	}
	for i := uint64(1); i <= most; i++ {
		if e, here := n.agreed[[2]uint64{epoch, i}]; here {
			all = append(all, e)
		}
	}
	return all
}
