// Package replicatedstatesim plays the sidecars that settle a policy in virtual time: messages
// lost, late, doubled, cut off and held back, processes that stop, crash and come back having
// forgotten, clocks that run at rates of their own. One seed plays one history. It is for tests and
// measurements; nothing that ships imports it.
package replicatedstatesim

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"caperarch/internal/fleet/maintenance"
	"caperarch/internal/fleet/policyrollout"
	"caperarch/internal/fleet/raftlog"
	"caperarch/internal/fleet/replicatedstate"
	"caperarch/internal/lab/raftlogsim"
	"caperarch/internal/lab/virtualtime"
)

// Config is what a fleet is made of.
type Config struct {
	Size  int
	Seed  uint64
	Lease time.Duration
	Rate  float64 // clocks are off by up to so much
	Disks bool    // machines have disks that last
	Site  *Site   // what they send to; nil: nothing
	// bytes a second that each may send, and two seconds' worth at a time; 0: as many as it likes
	BytesPerSecond float64
}

// Net is a fleet.
type Net struct {
	Config
	virtualtime.Clock
	virtualtime.Faults
	Nodes  []*Node
	Drop   func(to int, raw []byte) bool // lost by what it says; nil: none
	Cannot map[[2]int]bool               // by sidecar and text: it can't apply it

	Broken          []string
	Longest         int
	Spared          int
	Counts          map[string]int // events at the sidecar that has the most of the log
	life            uint64
	most            map[uint64]uint64 // entries that were counted, by epoch
	Both, CutOff    int               // looks at one that goes by both, or is cut off
	Messages, Bytes int
}

// Node is one sidecar.
type Node struct {
	*replicatedstate.Node
	virtualtime.Process
	net         *Net
	number      int
	Incarnation uint64
	voter       raftlog.Voter
	Disk        disk
	rate        float64
	Bytes       int
	level       float64
	levelAt     time.Duration
	own         maintenance.LocalClearance
	born        time.Duration // of the process, by its clock
}

// disk is a machine's.
type disk struct {
	raftlogsim.Disk
	texts [][]byte
}

// SaveText keeps a text.
func (d *disk) SaveText(_ [32]byte, text []byte) error {
	if d.Full {
		return errors.New("no space left on device")
	}
	d.texts = append(d.texts, text)
	return nil
}

// Overhead is what stands round a message on the way, in bytes.
const Overhead = 28

// New makes a fleet whose processes all run. Nobody knows of a log yet.
func New(cfg Config) *Net {
	n := &Net{
		Config: cfg, Clock: virtualtime.Clock{Now: time.Hour},
		Faults: virtualtime.Faults{Rng: rand.New(rand.NewPCG(cfg.Seed, 9)), MaxDelay: 10 * time.Millisecond},
		Cannot: make(map[[2]int]bool), Counts: make(map[string]int), most: make(map[uint64]uint64),
	}
	for i := range cfg.Size {
		n.Nodes = append(n.Nodes, &Node{net: n, number: i, rate: 1 + cfg.Rate*(2*n.Rng.Float64()-1),
			Process: virtualtime.Process{Down: true}})
	}
	if n.Site != nil {
		n.open()
	}
	for i := range cfg.Size {
		n.Boot(i)
	}
	return n
}

// Time is the moment by a node's own clock.
func (m *Node) Time() time.Duration { return time.Duration(m.rate * float64(m.net.Now)) }

// Text is a policy's text that no other number has.
func Text(number int) []byte {
	return fmt.Appendf(nil, "# policy %d\n[limits]\nopen = %d\n", number, 100+number)
}

func number(text []byte) (k int) {
	_, _ = fmt.Sscanf(string(text), "# policy %d", &k)
	return k
}

// Boot starts the process of a number, as one that remembers nothing.
func (n *Net) Boot(i int) {
	m := n.Nodes[i]
	if !m.Down {
		return
	}
	n.life++
	m.Restart()
	m.Incarnation, m.voter, m.own, m.born = n.life, raftlog.Voter{Number: i, Incarnation: n.life},
		maintenance.LocalClearance{}, m.Time()
	cfg := replicatedstate.Config{
		Size: n.Size, ProcessIncarnation: n.life, Lease: n.Lease, MaxClockError: n.Rate,
		Rand: rand.New(rand.NewPCG(n.life, n.Rng.Uint64())), Host: m,
		CheckPolicy: func(text []byte) error {
			if n.Cannot[[2]int{i, number(text)}] {
				return errors.New("tenants.x: no such tenant")
			}
			return nil
		},
	}
	if n.Site != nil {
		cfg.MachineSource, cfg.Deadline = m, n.Site.Deadline
	}
	if n.Disks {
		if m.Disk.Incarnation == 0 {
			m.Disk.Incarnation = n.life
		}
		m.voter.Incarnation, cfg.Storage = m.Disk.Incarnation, &m.Disk
	}
	cfg.Self = m.voter
	node, err := replicatedstate.New(cfg)
	if err != nil {
		panic(err) // the test's own mistake
	}
	m.Node = node
	if n.Disks {
		if err := node.Restore(m.Time(), m.Disk.Saved(), m.Disk.texts); err != nil {
			panic(err)
		}
	}
	var tick func()
	tick = func() {
		if m.Node != node || m.Down {
			return
		}
		if m.PausedUntil == 0 {
			node.Tick(m.Time())
		}
		n.After(replicatedstate.Period, tick)
	}
	n.After(time.Duration(n.Rng.Int64N(int64(replicatedstate.Period))), tick)
}

// Crash ends a process without a word.
func (n *Net) Crash(i int) { n.Nodes[i].Down = true }

// Stop has a process stand still. What comes meanwhile waits in its socket.
func (n *Net) Stop(i int, d time.Duration) { n.Nodes[i].Pause(&n.Clock, d, nil) }

// Send is called by a node.
func (m *Node) Send(to int, raw []byte, urgent bool) {
	n, from, life := m.net, m.number, m.Incarnation
	bytes := len(raw) + Overhead
	n.Longest = max(n.Longest, len(raw))
	if n.BytesPerSecond > 0 {
		m.level = min(2*n.BytesPerSecond, m.level+n.BytesPerSecond*(n.Now-m.levelAt).Seconds())
		m.levelAt = n.Now
		kept := n.BytesPerSecond / 2 // a quarter, for what is urgent
		if urgent {
			kept = 0
		}
		if m.level < float64(bytes)+kept {
			n.Spared++
			return
		}
		m.level -= float64(bytes)
	}
	m.Bytes += bytes
	n.Messages++
	n.Bytes += bytes
	if n.Drop != nil && n.Drop(to, raw) {
		return
	}
	raw = append([]byte(nil), raw...)
	take := func() {
		if o := n.Nodes[to]; o.Receive(o.Time(), from, raw) != nil {
			n.Broken = append(n.Broken, fmt.Sprintf("n%d can't read what n%d of life %d sent", to, from, life))
		}
	}
	n.Deliver(&n.Clock, from, to, func() { n.Nodes[to].Arrive(100, take) })
}

// HandleEvent is called by a node. What stands in the log is counted once.
func (m *Node) HandleEvent(e replicatedstate.Event) {
	n := m.net
	if m.Node == nil {
		return
	}
	switch e.Kind {
	case "log":
		m.own = maintenance.LocalClearance{}
		return
	case "goes by", "leads":
		return
	case "entry":
		n.Broken = append(n.Broken, e.Reason)
	}
	// Within an entry the view is of before it.
	if v := m.View(m.Time()); v.LastIndex > n.most[v.Epoch] {
		n.most[v.Epoch] = v.LastIndex
		n.Counts[string(e.Kind)]++
	}
}

// Watch looks every so often at what all go by: no two alone by different policies, and at most two in all.
func (n *Net) Watch(every time.Duration) {
	if n.look(); n.Broken == nil {
		n.After(every, func() { n.Watch(every) })
	}
}

func (n *Net) look() {
	type name = [32]byte
	alone, live := make(map[name]bool), make(map[name]bool)
	for _, m := range n.Nodes {
		if !m.Running() {
			continue
		}
		switch goes := m.Node.Active(m.Time()); goes.Mode {
		case policyrollout.OneVersion:
			alone[goes.New.Hash], live[goes.New.Hash] = true, true
		case policyrollout.BothVersions:
			live[goes.Old.Hash], live[goes.New.Hash] = true, true
			n.Both++
		default:
			n.CutOff++
		}
	}
	if len(alone) > 1 || len(live) > 2 {
		n.Broken = append(n.Broken, fmt.Sprintf("%.3fs: alone by %d policies, %d live:%s",
			(n.Now-time.Hour).Seconds(), len(alone), len(live), n.Text()))
	}
}

// Text is what all go by, for a failure.
func (n *Net) Text() (text string) {
	for _, m := range n.Nodes {
		if m.Down {
			text += fmt.Sprintf("\nn%d down", m.number)
			continue
		}
		v := m.View(m.Time())
		text += fmt.Sprintf("\nn%d leader %d epoch %d have %d goes by %s %d %d; holds %d, pending %d, "+
			"open %d, voters %v", m.number, v.Leader, v.Epoch, v.LastIndex, v.Active.Mode, v.Active.Old.Version,
			v.Active.New.Version, v.State.Current.Version, v.State.Pending.Version, v.State.Completing, v.Voters)
	}
	return text
}

// Converged says whether all that run go by the one version that holds, and nothing is under way.
func (n *Net) Converged() bool {
	holds, first := policyrollout.Ref{}, true
	for _, m := range n.Nodes {
		if !m.Running() {
			continue
		}
		v := m.View(m.Time())
		if first {
			holds, first = v.State.Current, false
		}
		if v.Active != (policyrollout.Active{Mode: policyrollout.OneVersion, New: holds}) || v.State.InProgress() != 0 {
			return false
		}
	}
	return !first
}

// Lost says whether the log is lost: of the voters that whoever has the most of the newest log
// holds for the present ones, most are of processes that have ended.
func (n *Net) Lost() bool {
	var best replicatedstate.View
	for _, m := range n.Nodes {
		if m.Down {
			continue
		}
		if v := m.View(m.Time()); v.Epoch > best.Epoch || v.Epoch == best.Epoch && v.LastIndex > best.LastIndex {
			best = v
		}
	}
	alive := 0
	for _, s := range best.Voters {
		if o := n.Nodes[s.Number]; !o.Down && o.voter == s {
			alive++
		}
	}
	return 2*alive <= len(best.Voters)
}
