// Package raftlogsim simulates sidecars that replicate a log, in virtual time: messages that are lost, delayed,
// duplicated or cut off by a partition, and processes that pause, crash and restart without memory. The same seed gives
// the same history. The package is for tests and measurements; production code doesn't import it.
package raftlogsim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"caperarch/internal/fleet/raftlog"
	"caperarch/internal/lab/virtualtime"
)

// removalDelay is the time after which an ended process is known to be gone permanently. internal/fleet/swim takes
// about as long to report it.
const removalDelay = 6 * time.Second

// Net is a simulated fleet and its network.
type Net struct {
	Size int
	virtualtime.Clock
	virtualtime.Faults
	Nodes []*Node
	Disks []*Disk // by node number; nil if the machines have no disks

	Violations      []string // violated guarantees and unexpected errors
	Sent            int
	LongestMessage  int                             // in bytes
	applied         map[[2]uint64]string            // by epoch and index: the data of the entry that a node has applied
	ended           map[raftlog.Voter]time.Duration // when the process of a voter ended
	lastIncarnation uint64
}

// Node is a simulated sidecar.
type Node struct {
	*raftlog.Node
	virtualtime.Process
	net         *Net
	voter       raftlog.Voter
	lastApplied uint64
	term        uint64                // the newest term in which it was the leader
	leaderSince time.Duration         // when it became the leader in that term
	OnApplied   func(e raftlog.Entry) // called for each applied entry; may be nil
}

// New returns a fleet with all processes running.
func New(size int, seed uint64) *Net {
	n := &Net{
		Size: size, Clock: virtualtime.Clock{Now: time.Hour},
		Faults:  virtualtime.Faults{Rng: rand.New(rand.NewPCG(seed, 5)), MaxDelay: 10 * time.Millisecond},
		applied: make(map[[2]uint64]string),
		ended:   make(map[raftlog.Voter]time.Duration),
	}
	for range size {
		n.Nodes = append(n.Nodes, &Node{net: n, Process: virtualtime.Process{Down: true}})
	}
	for i := range size {
		n.Boot(i)
	}
	return n
}

// Boot starts the process of node i without memory. On machines with disks, the process restores the stored log.
func (n *Net) Boot(i int) {
	m := n.Nodes[i]
	if !m.Down {
		return
	}
	n.lastIncarnation++
	m.Restart()
	m.voter, m.lastApplied = raftlog.Voter{Number: i, Incarnation: n.lastIncarnation}, 0
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
		panic(err) // an invalid configuration is a mistake of the test
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
			node.UpdateVoters(n.Now, n.isRemoved, n.runningVoters())
			m.checkLeader()
		}
		n.After(raftlog.Period, tick)
	}
	n.After(time.Duration(n.Rng.Int64N(int64(raftlog.Period))), tick)
}

// Crash ends the process of node i without notice.
func (n *Net) Crash(i int) {
	if m := n.Nodes[i]; !m.Down {
		m.Down = true
		n.ended[m.voter] = n.Now
	}
}

// Stop pauses the process of node i for d. Messages that arrive during the pause wait in its socket.
func (n *Net) Stop(i int, d time.Duration) { n.Nodes[i].Pause(&n.Clock, d, nil) }

// isRemoved reports whether the process of a voter is known to be gone permanently.
func (n *Net) isRemoved(voter raftlog.Voter) bool {
	at, ended := n.ended[voter]
	return ended && n.Now-at >= removalDelay
}

// runningVoters returns the voters of all running processes, ordered by ID.
func (n *Net) runningVoters() (all []raftlog.Voter) {
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

// Send implements the host interface of raftlog.
func (m *Node) Send(to int, msg *raftlog.Message) {
	n, from := m.net, m.voter.Number
	n.Sent++
	raw, err := msg.Encode()
	if err != nil {
		n.Violations = append(n.Violations, err.Error())
		return
	}
	n.LongestMessage = max(n.LongestMessage, len(raw))
	take := func() {
		c, err := raftlog.Decode(raw)
		if err != nil {
			n.Violations = append(n.Violations, err.Error())
			return
		}
		n.Nodes[to].Receive(n.Now, from, c)
	}
	n.Deliver(&n.Clock, from, to, func() { n.Nodes[to].Arrive(100, take) })
}

// checkLeader checks that the last quorum acknowledgement that a leader relies on was given in its own term.
func (m *Node) checkLeader() {
	if !m.IsLeader() {
		return
	}
	if term := m.Term(); term != m.term {
		m.term, m.leaderSince = term, m.net.Now
	}
	if at, _ := m.LastQuorumAck(); at > 0 && at < m.leaderSince {
		m.net.Violations = append(m.net.Violations,
			fmt.Sprintf("n%d leads since %v, but its last quorum acknowledgement is of %v, before its term",
				m.voter.Number, m.leaderSince, at))
	}
}

// Applied implements the host interface of raftlog. It checks that all nodes apply the same entry at the same index,
// and that a node applies entries in order.
func (m *Node) Applied(e raftlog.Entry) {
	n := m.net
	key := [2]uint64{m.Epoch(), e.Index}
	switch other, known := n.applied[key]; {
	case known && other != string(e.Data):
		n.Violations = append(n.Violations, fmt.Sprintf("n%d applied %q at index %d of epoch %d, another node %q",
			m.voter.Number, e.Data, e.Index, m.Epoch(), other))
	case e.Index <= m.lastApplied:
		n.Violations = append(n.Violations, fmt.Sprintf("n%d applied index %d after index %d",
			m.voter.Number, e.Index, m.lastApplied))
	}
	n.applied[key], m.lastApplied = string(e.Data), e.Index
	if m.OnApplied != nil {
		m.OnApplied(e)
	}
}

// Reset implements the host interface of raftlog.
func (m *Node) Reset(uint64) { m.lastApplied = 0 }

// Leader returns the number of a running leader, or -1 if there is none.
func (n *Net) Leader() int {
	for i, m := range n.Nodes {
		if m.Running() && m.IsLeader() {
			return i
		}
	}
	return -1
}

// LogLost reports whether the log is lost: the processes of half or more of the voters that some node knows have ended.
func (n *Net) LogLost() bool {
	for _, m := range n.Nodes {
		if m.Down || m.Epoch() == 0 {
			continue
		}
		alive := 0
		for _, voter := range m.Voters() {
			if _, ended := n.ended[voter]; !ended {
				alive++
			}
		}
		if 2*alive <= len(m.Voters()) {
			return true
		}
	}
	return false
}

// AppliedEntries returns the data of the entries of an epoch that at least one node has applied, in order of their
// index.
func (n *Net) AppliedEntries(epoch uint64) (all []string) {
	most := uint64(0)
	for key := range n.applied {
		if key[0] == epoch {
			most = max(most, key[1])
		}
	}
	for i := uint64(1); i <= most; i++ {
		if e, known := n.applied[[2]uint64{epoch, i}]; known {
			all = append(all, e)
		}
	}
	return all
}
