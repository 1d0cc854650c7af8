// Package replicatedstate is one sidecar's part in the state that a fleet replicates: the log
// (internal/fleet/raftlog), the policy in force here (policyrollout.Participant), the leader's
// decisions while this sidecar leads, the reports and grants between the two, the texts of policies
// and plans, and the machines that are out for maintenance (internal/fleet/maintenance).
//
// A Node does no I/O, starts no goroutines and reads no clock; a random source is passed in, so one
// seed gives one history. It must be used by one goroutine at a time. All times are of one clock
// that counts on while the process is stopped.
//
// A sidecar that applies an agreed policy has a grant of the log's leader, for a lease. At three
// hundred sidecars, reports and grants are more than a leader may send. They go by way of relays,
// about as many as the square root of the fleet's size: each batches the reports of its share of
// the fleet into one datagram, and the leader's grants come back as a bit for each report.
package replicatedstate

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"caperarch/internal/fleet/maintenance"
	"caperarch/internal/fleet/policyrollout"
	"caperarch/internal/fleet/raftlog"
	"caperarch/internal/fleet/replicatedstate/accordpb"
)

const (
	// Period is how often Tick is due.
	Period = raftlog.Period

	// Times in percent of a lease:
	reportPercent = 40 // between reports while nothing changes
	// retryPercent is when a report that was not granted is repeated, by way of another relay; a
	// grant takes up to batchPercent and grantPercent.
	retryPercent       = 30
	batchPercent       = 13 // that a relay waits for more reports, unless a datagram is full
	grantPercent       = 13 // that the leader's grants to a relay wait for more
	urgentRetryPercent = 7  // as retryPercent, with less than half of the lease remaining

	cutOffRetry      = 500 * time.Millisecond // first retry of a sidecar that is cut off; it doubles
	changeRetry      = time.Second            // the same during a change, which waits for all reports
	changeBatchDelay = 250 * time.Millisecond // that a relay waits for more reports during a change
	pollInterval     = 500 * time.Millisecond // between polls of sidecars that a change waits for,
	maxPolled        = 4                      // so many at a time
	// quorumAckHeartbeats: a leader that no majority has confirmed for so many heartbeats grants
	// nothing.
	quorumAckHeartbeats = 3
	// MaxMessageBytes is the longest message, in bytes: the envelope in a datagram of 256 takes up
	// to 40.
	MaxMessageBytes = 216
)

// Host carries out what a Node decides. Its methods must not call back into the Node, except that
// Changed may call Active, ActiveUntil and Text.
type Host interface {
	// Send sends a message; if the budget is short, urgent ones go first.
	Send(to int, raw []byte, urgent bool)
	Changed(e Event)
	// Worked is called for each entry about maintenance that changed something.
	Worked(s maintenance.Step)
}

// Config configures a Node.
type Config struct {
	Size          int
	Self          raftlog.Voter
	Lease         time.Duration
	MaxClockError float64 // greatest error of a clock's rate, to either side
	Rand          *rand.Rand
	Host          Host
	Check         func(text []byte) error // returns why a policy can't be applied here
	// where Self is the voter of an earlier process that saved its vote; 0: Self.Incarnation
	ProcessIncarnation uint64
	Storage            Storage // nil: nothing outlives the process

	Work     Machines      // nil: no machines are known here
	Deadline time.Duration // the longest that a request may be in flight
}

// Storage persists what must outlive the process.
type Storage interface {
	raftlog.Storage
	// Text persists the text of a version.
	Text(hash [32]byte, text []byte) error
}

// LeaseExpiry returns after what time a lease has expired by anybody's clock: it adds the errors of
// both clocks, rate each, and what rounding may add.
func LeaseExpiry(lease time.Duration, rate float64) time.Duration {
	return lease + time.Duration(2.5*rate*float64(lease)) + 2*time.Millisecond
}

// Node is one sidecar's part. It is not safe for concurrent use.
type Node struct {
	Config
	log         *raftlog.Node
	participant *policyrollout.Participant
	texts       textStore
	incarnation uint64
	now         time.Duration // time of the current event

	leader *policyrollout.Leader // nil: this sidecar does not lead
	epoch  uint64                // of the log that it leads
	term   uint64

	reports
	relay
	proposals   []Proposal
	announced   policyrollout.Active // last reported to the host
	laggards    reportedLaggards
	maintenance maintenanceState
}

// New returns a node that knows of no log yet, and applies CutOff.
func New(cfg Config) (*Node, error) {
	n := &Node{Config: cfg, incarnation: cmp.Or(cfg.ProcessIncarnation, cfg.Self.Incarnation)}
	log := raftlog.Config{
		Size: cfg.Size, Self: cfg.Self, ProcessIncarnation: n.incarnation, Rand: cfg.Rand,
		Host: logHost{n},
	}
	if cfg.Storage != nil {
		log.Storage = cfg.Storage
	}
	var err error
	if n.log, err = raftlog.New(log); err != nil {
		return nil, err
	}
	if cfg.Lease <= 0 {
		return nil, fmt.Errorf("accord: a lease of %v", cfg.Lease)
	}
	n.texts.init(cfg.Check)
	if cfg.Storage != nil {
		n.texts.persist = cfg.Storage.Text
	}
	n.participant = policyrollout.NewParticipant(cfg.Lease, n.whyNotApplicable)
	n.pendingGrants = make(map[int][]*accordpb.Granted)
	n.relay.pendingBatches = make(map[uint32]sentBatch)
	return n, nil
}

// Restore makes a new node continue with the state that an earlier process of its voter saved. It
// stays cut off until a leader grants it more.
func (n *Node) Restore(now time.Duration, s *raftlog.SavedState, texts [][]byte) error {
	n.now = now
	for _, raw := range texts {
		n.texts.add(raw)
	}
	return n.log.Restore(now, s)
}

// StorageError returns why this process, which was a voter, votes no more; nil if nothing failed.
func (n *Node) StorageError() error { return n.log.StorageError() }

// whyNotApplicable returns why a version can't be applied here; "": it can.
func (n *Node) whyNotApplicable(r policyrollout.Ref) string {
	if r.Version == 0 {
		return "" // the settings
	}
	return n.texts.whyNotApplicable(r.Hash)
}

// Active returns the policy that this sidecar applies. Ask it wherever something depends on it, at
// that moment.
func (n *Node) Active(now time.Duration) policyrollout.Active {
	n.participant.AdvanceIndex(n.log.LastIndex())
	return n.participant.Active(now)
}

// ActiveUntil returns when Active changes to CutOff if nothing more is received.
func (n *Node) ActiveUntil() time.Duration { return n.participant.GrantedUntil() }

// Text returns the text of a version; false: it is not here.
func (n *Node) Text(r policyrollout.Ref) ([]byte, bool) { return n.texts.get(r.Hash) }

// Tick advances time. It is due every Period.
func (n *Node) Tick(now time.Duration) {
	n.now = now
	n.log.Tick(now)
	n.actAsLeader(now)
	n.updateVoters(now)
	n.leadMaintenance(now)
	n.announceActive(now) // before the report: its receivers rely on the policy that it states
	n.sendReport(now)
	n.flushBatch(now)
	n.sendGrants(now)
	n.pollLaggards(now)
	n.fetchTexts(now)
}

// Receive handles a message of the sidecar from. A malformed one is an error, and changes nothing.
func (n *Node) Receive(now time.Duration, from int, raw []byte) error {
	if from < 0 || from >= n.Size || from == n.Self.Number {
		return errMalformed
	}
	m := new(accordpb.Message)
	if proto.Unmarshal(raw, m) != nil {
		return errMalformed
	}
	n.now = now
	if len(m.Log) > 0 {
		l, err := raftlog.Decode(m.Log)
		if err != nil {
			return err
		}
		n.log.Receive(now, from, l)
	}
	if m.Epoch != 0 && m.Epoch == n.log.Epoch() { // else it is about another log
		n.handleReports(now, from, m)
		n.handleGrants(now, from, m)
		n.handleLaggards(now, from, m)
		n.handleMaintenanceStatus(now, from, m)
	}
	n.handleText(now, from, m)
	n.actAsLeader(now)
	n.announceActive(now)
	n.sendReport(now)
	return nil
}

// announceActive reports a change of Active to the host.
func (n *Node) announceActive(now time.Duration) {
	if goes := n.Active(now); goes != n.announced {
		n.announced = goes
		n.Host.Changed(Event{Kind: ActiveChanged, Ref: goes.New, Active: goes, By: n.Self.Number})
	}
}
