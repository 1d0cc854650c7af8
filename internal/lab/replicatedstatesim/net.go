// Package replicatedstatesim simulates sidecars that replicate the policy rollout and maintenance state, in virtual
// time. It simulates messages that are lost, delayed, duplicated or cut off by a partition, processes that pause, crash
// and restart without memory, and clocks that drift. The same seed gives the same history. The package is for tests and
// measurements; production code doesn't import it.
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

// Config configures a simulated fleet.
type Config struct {
	Size  int
	Seed  uint64
	Lease time.Duration
	Rate  float64 // largest relative error of a clock
	Disks bool    // machines have disks that survive crashes
	Site  *Site   // the upstream machines that the sidecars send to; nil for none
	// BytesPerSecond limits the bytes that each sidecar sends per second, with a burst of two seconds' worth; 0 for no
	// limit.
	BytesPerSecond float64
}

// Net is a simulated fleet and its network.
type Net struct {
	Config
	virtualtime.Clock
	virtualtime.Faults
	Nodes            []*Node
	Drop             func(to int, raw []byte) bool // reports whether a message is lost, by its content; nil for never
	RejectedPolicies map[[2]int]bool               // by sidecar and policy number: the sidecar can't apply the policy

	Violations                 []string          // violated guarantees and unexpected errors
	LongestMessage             int               // in bytes
	RateLimited                int               // messages that were not sent because of BytesPerSecond
	Counts                     map[string]int    // events of the log, by kind, counted once per log entry
	lastIncarnation            uint64            // the newest process incarnation
	highestIndex               map[uint64]uint64 // by epoch: the highest log index whose events were counted
	BothSamples, CutOffSamples int               // samples with a sidecar that applies both versions, or that is cut off
	Messages, Bytes            int
}

// Node is a simulated sidecar.
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
	tokens      float64 // of the token bucket of BytesPerSecond, in bytes
	tokensAt    time.Duration
	clearance   maintenance.LocalClearance
	startedAt   time.Duration // start of the process, by its own clock
}

// disk is a machine's disk.
type disk struct {
	raftlogsim.Disk
	texts [][]byte
}

// SaveText stores the text of a policy.
func (d *disk) SaveText(_ [32]byte, text []byte) error {
	if d.Full {
		return errors.New("no space left on device")
	}
	d.texts = append(d.texts, text)
	return nil
}

// Overhead is the number of bytes of a message's envelope.
const Overhead = 28

// New returns a fleet with all processes running. No sidecar has a log yet.
func New(cfg Config) *Net {
	n := &Net{
		Config: cfg, Clock: virtualtime.Clock{Now: time.Hour},
		Faults:           virtualtime.Faults{Rng: rand.New(rand.NewPCG(cfg.Seed, 9)), MaxDelay: 10 * time.Millisecond},
		RejectedPolicies: make(map[[2]int]bool), Counts: make(map[string]int), highestIndex: make(map[uint64]uint64),
	}
	for i := range cfg.Size {
		n.Nodes = append(n.Nodes, &Node{net: n, number: i, rate: 1 + cfg.Rate*(2*n.Rng.Float64()-1),
			Process: virtualtime.Process{Down: true}})
	}
	if n.Site != nil {
		n.startSending()
	}
	for i := range cfg.Size {
		n.Boot(i)
	}
	return n
}

// Time returns the present time by the sidecar's own clock.
func (m *Node) Time() time.Duration { return time.Duration(m.rate * float64(m.net.Now)) }

// Text returns a policy text that is unique for its number.
func Text(number int) []byte {
	return fmt.Appendf(nil, "# policy %d\n[limits]\nopen = %d\n", number, 100+number)
}

func number(text []byte) (k int) {
	_, _ = fmt.Sscanf(string(text), "# policy %d", &k)
	return k
}

// Boot starts the process of sidecar i without memory. On machines with disks, the process restores the stored log.
func (n *Net) Boot(i int) {
	m := n.Nodes[i]
	if !m.Down {
		return
	}
	n.lastIncarnation++
	m.Restart()
	m.Incarnation, m.voter, m.clearance, m.startedAt = n.lastIncarnation,
		raftlog.Voter{Number: i, Incarnation: n.lastIncarnation}, maintenance.LocalClearance{}, m.Time()
	cfg := replicatedstate.Config{
		Size: n.Size, ProcessIncarnation: n.lastIncarnation, Lease: n.Lease, MaxClockError: n.Rate,
		Rand: rand.New(rand.NewPCG(n.lastIncarnation, n.Rng.Uint64())), Host: m,
		CheckPolicy: func(text []byte) error {
			if n.RejectedPolicies[[2]int{i, number(text)}] {
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
			m.Disk.Incarnation = n.lastIncarnation
		}
		m.voter.Incarnation, cfg.Storage = m.Disk.Incarnation, &m.Disk
	}
	cfg.Self = m.voter
	node, err := replicatedstate.New(cfg)
	if err != nil {
		panic(err) // an invalid configuration is a mistake of the test
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

// Crash ends the process of sidecar i without notice.
func (n *Net) Crash(i int) { n.Nodes[i].Down = true }

// Stop pauses the process of sidecar i for d. Messages that arrive during the pause wait in its socket.
func (n *Net) Stop(i int, d time.Duration) { n.Nodes[i].Pause(&n.Clock, d, nil) }

// Send implements the host interface of replicatedstate: it sends a message to another sidecar, unless the rate limit
// forbids it.
func (m *Node) Send(to int, raw []byte, urgent bool) {
	n, from, incarnation := m.net, m.number, m.Incarnation
	bytes := len(raw) + Overhead
	n.LongestMessage = max(n.LongestMessage, len(raw))
	if n.BytesPerSecond > 0 {
		m.tokens = min(2*n.BytesPerSecond, m.tokens+n.BytesPerSecond*(n.Now-m.tokensAt).Seconds())
		m.tokensAt = n.Now
		reserve := n.BytesPerSecond / 2 // a quarter of the burst is reserved for urgent messages
		if urgent {
			reserve = 0
		}
		if m.tokens < float64(bytes)+reserve {
			n.RateLimited++
			return
		}
		m.tokens -= float64(bytes)
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
			n.Violations = append(n.Violations,
				fmt.Sprintf("n%d can't decode a message from n%d (incarnation %d)", to, from, incarnation))
		}
	}
	n.Deliver(&n.Clock, from, to, func() { n.Nodes[to].Arrive(100, take) })
}

// HandleEvent implements the host interface of replicatedstate. It counts the event of each log entry once.
func (m *Node) HandleEvent(e replicatedstate.Event) {
	n := m.net
	if m.Node == nil {
		return
	}
	switch e.Kind {
	case "log":
		m.clearance = maintenance.LocalClearance{}
		return
	case "goes by", "leads":
		return
	case "entry":
		n.Violations = append(n.Violations, e.Reason)
	}
	// While an entry is being applied, the view still shows the state before the entry.
	if v := m.View(m.Time()); v.LastIndex > n.highestIndex[v.Epoch] {
		n.highestIndex[v.Epoch] = v.LastIndex
		n.Counts[string(e.Kind)]++
	}
}

// StartChecks checks the applied policies of all sidecars at the given interval, until there is a violation: all
// sidecars that apply a single policy must apply the same one, and at most two policies may be applied in all.
func (n *Net) StartChecks(every time.Duration) {
	if n.checkActive(); n.Violations == nil {
		n.After(every, func() { n.StartChecks(every) })
	}
}

func (n *Net) checkActive() {
	type hash = [32]byte
	alone, applied := make(map[hash]bool), make(map[hash]bool)
	for _, m := range n.Nodes {
		if !m.Running() {
			continue
		}
		switch active := m.Node.Active(m.Time()); active.Mode {
		case policyrollout.OneVersion:
			alone[active.New.Hash], applied[active.New.Hash] = true, true
		case policyrollout.BothVersions:
			applied[active.Old.Hash], applied[active.New.Hash] = true, true
			n.BothSamples++
		default:
			n.CutOffSamples++
		}
	}
	if len(alone) > 1 || len(applied) > 2 {
		n.Violations = append(n.Violations,
			fmt.Sprintf("%.3fs: %d policies applied alone, %d policies applied in all:%s",
				(n.Now-time.Hour).Seconds(), len(alone), len(applied), n.Text()))
	}
}

// Text describes the state of all sidecars, for the message of a failed test.
func (n *Net) Text() (text string) {
	for _, m := range n.Nodes {
		if m.Down {
			text += fmt.Sprintf("\nn%d down", m.number)
			continue
		}
		v := m.View(m.Time())
		text += fmt.Sprintf("\nn%d leader %d epoch %d last index %d applies %s %d %d; current %d, pending %d, "+
			"completing %d, voters %v", m.number, v.Leader, v.Epoch, v.LastIndex, v.Active.Mode, v.Active.Old.Version,
			v.Active.New.Version, v.State.Current.Version, v.State.Pending.Version, v.State.Completing, v.Voters)
	}
	return text
}

// Converged reports whether all running sidecars apply the same current version only, and no change is in progress.
func (n *Net) Converged() bool {
	current, first := policyrollout.Ref{}, true
	for _, m := range n.Nodes {
		if !m.Running() {
			continue
		}
		v := m.View(m.Time())
		if first {
			current, first = v.State.Current, false
		}
		if v.Active != (policyrollout.Active{Mode: policyrollout.OneVersion, New: current}) ||
			v.State.InProgress() != 0 {
			return false
		}
	}
	return !first
}

// LogLost reports whether the log is lost: the processes of half or more of the present voters have ended. The voters
// are taken from the sidecar with the highest index in the newest epoch.
func (n *Net) LogLost() bool {
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
	for _, member := range best.Voters {
		if o := n.Nodes[member.Number]; !o.Down && o.voter == member {
			alive++
		}
	}
	return 2*alive <= len(best.Voters)
}
