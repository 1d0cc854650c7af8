// Package replicatedstate implements one sidecar's replica of the state that a fleet of sidecars replicates.
// A Node combines the replicated log (internal/fleet/raftlog), the policy that this sidecar applies
// (policyrollout.Participant), the leader's decisions while this sidecar leads the log, the exchange of
// reports and grants between sidecars and leader, the texts of policies and maintenance plans, and the
// machines that are out for maintenance (internal/fleet/maintenance).
//
// A Node does no I/O, starts no goroutines and reads no clock. The random source is passed in, so one seed
// gives one history. A Node must be used by one goroutine at a time. All times are readings of one clock that
// keeps counting while the process is stopped.
//
// A sidecar applies an agreed policy only while it holds a grant of the log's leader; a grant lasts for a
// lease. In a fleet of three hundred sidecars, direct reports and grants would exceed the leader's bandwidth,
// so they are sent by way of relays, whose number is about the square root of the fleet's size. Each relay
// batches the reports of its share of the fleet into one datagram, and the leader answers a batch with one
// bit per report.
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
	// Period is the interval at which Tick must be called.
	Period = raftlog.Period

	// The following delays are in percent of a lease.

	reportPercent = 40 // interval between reports while the reported state does not change
	// retryPercent is the delay before a report that was not granted is repeated by way of another relay. A
	// grant may take up to batchPercent + grantPercent.
	retryPercent       = 30
	batchPercent       = 13 // how long a relay collects reports, unless a datagram is full
	grantPercent       = 13 // how long the leader collects grants for a relay
	urgentRetryPercent = 7  // replaces retryPercent when less than half of the lease remains

	cutOffRetry      = 500 * time.Millisecond // first retry delay of a sidecar without a grant; doubles per attempt
	changeRetry      = time.Second            // the same during a change, which waits for all reports
	changeBatchDelay = 250 * time.Millisecond // how long a relay collects reports during a change
	pollInterval     = 500 * time.Millisecond // interval between polls of sidecars that a change waits for
	maxPolled        = 4                      // sidecars polled per interval
	// quorumAckHeartbeats is the number of heartbeat intervals without confirmation by a majority of the
	// voters after which a leader grants nothing.
	quorumAckHeartbeats = 3
	// MaxMessageBytes is the maximum length of a message in bytes: a datagram has 256 bytes, of which the
	// envelope takes up to 40.
	MaxMessageBytes = 216
)

// Host sends a Node's messages and handles its events. Its methods must not call back into the Node, except
// that HandleEvent may call Active, ActiveUntil and Text.
type Host interface {
	// Send sends a message to a sidecar. Urgent messages take precedence when the bandwidth budget is short.
	Send(to int, raw []byte, urgent bool)
	// HandleEvent is called for each event that the host has to log or act on.
	HandleEvent(e Event)
	// MaintenanceApplied is called for each log entry that changed the maintenance state.
	MaintenanceApplied(s maintenance.Step)
}

// Config configures a Node.
type Config struct {
	Size          int
	Self          raftlog.Voter
	Lease         time.Duration
	MaxClockError float64 // largest relative error of a clock's rate, in either direction
	Rand          *rand.Rand
	Host          Host
	CheckPolicy   func(text []byte) error // returns why this sidecar can't apply a policy; nil: it can
	// ProcessIncarnation is the incarnation of this process if Self is the voter of an earlier process that
	// saved its vote; 0: Self.Incarnation.
	ProcessIncarnation uint64
	Storage            Storage // nil: no state is persisted

	MachineSource Machines      // nil: this process knows of no machines
	Deadline      time.Duration // longest time that a request may be in flight
}

// Storage persists the state that must survive a restart of the process.
type Storage interface {
	raftlog.Storage
	// SaveText persists the text of a version.
	SaveText(hash [32]byte, text []byte) error
}

// LeaseExpiry returns the time after which a lease has expired on the clock of every sidecar. It adds the
// rate errors of both clocks, rate each, and 2 ms for rounding.
func LeaseExpiry(lease time.Duration, rate float64) time.Duration {
	return lease + time.Duration(2.5*rate*float64(lease)) + 2*time.Millisecond
}

// Node is one sidecar's replica of the fleet's state. It is not safe for concurrent use.
type Node struct {
	Config
	log         *raftlog.Node
	participant *policyrollout.Participant
	texts       textStore
	incarnation uint64
	now         time.Duration // time of the current event

	leader *policyrollout.Leader // nil: this sidecar is not the leader
	epoch  uint64                // epoch of the log that this sidecar leads
	term   uint64                // raft term in which this sidecar leads

	reports
	relay
	proposals   []Proposal
	announced   policyrollout.Active // value of Active that was last reported to the host
	laggards    reportedLaggards
	maintenance maintenanceState
}

// New returns a node that knows of no log yet and applies policyrollout.CutOff.
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
		return nil, fmt.Errorf("replicatedstate: lease is %v, want a positive duration", cfg.Lease)
	}
	n.texts.init(cfg.CheckPolicy)
	if cfg.Storage != nil {
		n.texts.persist = cfg.Storage.SaveText
	}
	n.participant = policyrollout.NewParticipant(cfg.Lease, n.rejectionReason)
	n.pendingGrants = make(map[int][]*accordpb.Granted)
	n.relay.pendingBatches = make(map[uint32]sentBatch)
	return n, nil
}

// Restore loads into a new node the state that an earlier process of its voter saved. The node stays in
// policyrollout.CutOff until a leader grants one of its reports.
func (n *Node) Restore(now time.Duration, s *raftlog.SavedState, texts [][]byte) error {
	n.now = now
	for _, raw := range texts {
		n.texts.add(raw)
	}
	return n.log.Restore(now, s)
}

// StorageError returns the storage failure that permanently stopped this process from voting; nil if there
// was none.
func (n *Node) StorageError() error { return n.log.StorageError() }

// rejectionReason returns why this sidecar can't apply a version; "": it can.
func (n *Node) rejectionReason(r policyrollout.Ref) string {
	if r.Version == 0 {
		return "" // version 0 is the sidecar's own settings
	}
	return n.texts.rejectionReason(r.Hash)
}

// Active returns the policy that this sidecar applies at the time now. Callers must not cache the result: it
// changes when the lease expires.
func (n *Node) Active(now time.Duration) policyrollout.Active {
	n.participant.AdvanceIndex(n.log.LastIndex())
	return n.participant.Active(now)
}

// ActiveUntil returns when Active changes to CutOff if no further message is received.
func (n *Node) ActiveUntil() time.Duration { return n.participant.GrantedUntil() }

// Text returns the text of a version, and false if this sidecar does not have the text.
func (n *Node) Text(r policyrollout.Ref) ([]byte, bool) { return n.texts.get(r.Hash) }

// Tick runs the time-driven work of the node. It must be called every Period.
func (n *Node) Tick(now time.Duration) {
	n.now = now
	n.log.Tick(now)
	n.actAsLeader(now)
	n.updateVoters(now)
	n.leadMaintenance(now)
	n.announceActive(now) // before sendReport: the leader relies on the policy that a report states
	n.sendReport(now)
	n.flushBatch(now)
	n.sendGrants(now)
	n.pollLaggards(now)
	n.fetchTexts(now)
}

// Receive handles a message that the sidecar with the number from has sent. It returns an error for a
// malformed message, and does not apply it.
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
	if m.Epoch != 0 && m.Epoch == n.log.Epoch() { // otherwise the message refers to another log
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

// announceActive reports a change of the applied policy to the host.
func (n *Node) announceActive(now time.Duration) {
	if active := n.Active(now); active != n.announced {
		n.announced = active
		n.Host.HandleEvent(Event{Kind: ActiveChanged, Ref: active.New, Active: active, Sidecar: n.Self.Number})
	}
}
