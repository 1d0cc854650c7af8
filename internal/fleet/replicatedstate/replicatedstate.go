// Package replicatedstate is one sidecar's whole part in what a fleet settles: the agreed log (internal/fleet/raftlog), by what policy it goes (internal/fleet/policyrollout's Holder), the leader's part
// while it leads, the reports and grants between the two, and the policies' texts. It is free of I/O, goroutines and clocks; a random source is passed in, so a seed
// plays one history. All times are of one clock that counts while the process stands still.
//
// Who goes by the log has a grant of its leader, for a lease. At three hundred sidecars that would be more than a leader may send, so reports and grants go by way of
// relays, about as many as the root of the fleet's size: each gathers those of its part of the fleet into one datagram, and the leader's word comes back as a bit for each.
package replicatedstate

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"caperarch/internal/fleet/maintenance"
	"caperarch/internal/fleet/policyrollout"
	"caperarch/internal/fleet/raftlog"
	"caperarch/internal/fleet/replicatedstate/accordpb"

	"google.golang.org/protobuf/proto"
)

const (
	// Period is how often Tick is due.
	Period = raftlog.Period

	reportPercent       = 40                     // % of a lease between reports where nothing changes
	retryPercent        = 30                     // % of it behind which one that has had no answer is sent again, by way of another relay; an answer takes up to the two below
	batchPercent        = 13                     // % of it that a relay waits for others' reports, but where there is a datagram full,
	grantPercent        = 13                     // and that the leader's word to each relay does: it counts from the report
	urgentRetryPercent  = 7                      // % of it behind which one that has less than half of its lease left sends again
	cutOffRetry         = 500 * time.Millisecond // the same of one who is cut off; and ever later, up to the first
	changeRetry         = time.Second            // the same in a change, which waits for all reports
	changeBatchDelay    = 250 * time.Millisecond // what a relay waits in a change
	pollInterval        = 500 * time.Millisecond // whom a change waits for is asked to report, by the leader itself,
	maxPolled           = 4                      // so many at a time
	quorumAckHeartbeats = 3                      // a leader that a majority has not confirmed for so many beats grants nothing
	// MaxMessageBytes is the longest message, in bytes: what stands round it in a datagram of 256 takes up to 40.
	MaxMessageBytes = 216
)

// Host carries out what a Node decides. Its methods must not call back, but for Now, Until and Text in Changed.
type Host interface {
	// Send sends a message; where there is not room for all, the urgent ones go first.
	Send(to int, raw []byte, urgent bool)
	Changed(e Event)
	// Worked takes that the log has an entry about work on machines that changed something.
	Worked(s maintenance.Step)
}

// Event is something that people are told.
type Event struct {
	Kind string // "proposed", "taken", "called off", "settled", "begun", "refused", "entry", "goes by", "leads", "log"
	policyrollout.Ref
	By     int
	Why    string
	Active policyrollout.Active
}

// Config is what a Node is made of.
type Config struct {
	Size               int
	Self               raftlog.Voter
	Lease              time.Duration
	MaxClockError      float64 // greatest error of a clock's rate
	Rand               *rand.Rand
	Host               Host
	Check              func(text []byte) error // why a policy can't be applied here; nil: it can
	ProcessIncarnation uint64                  // of the process, where its seat is an earlier one's that kept its vote; 0: the seat's
	Storage            Storage                 // nil: nothing outlives the process

	Work     Machines      // nil: nothing is known of machines here
	Deadline time.Duration // the longest that a request may be out at one
}

// Storage keeps what must outlive the process, where an operator gives it a place.
type Storage interface {
	raftlog.Storage
	// Text keeps the text of a version.
	Text(hash [32]byte, text []byte) error
}

// LeaseExpiry is when a grant of a lease is over by anybody's clock: the errors of both, and what rounding may add.
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
	now         time.Duration // of the event under way

	leader *policyrollout.Leader // nil: another leads, or nobody does
	epoch  uint64                // that it leads
	term   uint64

	reports
	relay
	proposals   []Proposal
	announced   policyrollout.Active // as last told
	laggards    reportedLaggards
	maintenance maintenanceState
}

// New makes a node that knows of no log yet, and goes by CutOff.
func New(cfg Config) (*Node, error) {
	n := &Node{Config: cfg, incarnation: cmp.Or(cfg.ProcessIncarnation, cfg.Self.Incarnation)}
	log := raftlog.Config{Size: cfg.Size, Self: cfg.Self, ProcessIncarnation: n.incarnation, Rand: cfg.Rand, Host: logHost{n}}
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

// Restore has a node that has just been made go on with what its seat's process before it had kept. It is cut off all the same until a leader grants it more.
func (n *Node) Restore(now time.Duration, s *raftlog.SavedState, texts [][]byte) error {
	n.now = now
	for _, raw := range texts {
		n.texts.add(raw)
	}
	return n.log.Restore(now, s)
}

// StorageError is why this process, which had a vote, has none any more; nil: nothing is wrong.
func (n *Node) StorageError() error { return n.log.StorageError() }

// whyNotApplicable says why a version can't be applied here; "": it can.
func (n *Node) whyNotApplicable(r policyrollout.Ref) string {
	if r.Version == 0 {
		return "" // the settings
	}
	return n.texts.whyNotApplicable(r.Hash)
}

// Active is by what this sidecar goes. It is to be asked wherever something depends on it, at that moment.
func (n *Node) Active(now time.Duration) policyrollout.Active {
	n.participant.AdvanceIndex(n.log.LastIndex())
	return n.participant.Active(now)
}

// ActiveUntil is when that changes to CutOff if nothing more is heard.
func (n *Node) ActiveUntil() time.Duration { return n.participant.GrantedUntil() }

// Text is a version's text; false: it is not here.
func (n *Node) Text(r policyrollout.Ref) ([]byte, bool) { return n.texts.get(r.Hash) }

// Tick is due every Period.
func (n *Node) Tick(now time.Duration) {
	n.now = now
	n.log.Tick(now)
	n.actAsLeader(now)
	if n.leader != nil {
		n.log.UpdateVoters(now, func(s raftlog.Voter) bool { return n.voterLost(now, s) }, n.voterCandidates(now))
	}
	n.leadMaintenance(now)
	n.announceActive(now) // before the report: who is told that this one goes by both may count on it
	n.sendReport(now)
	n.flushBatch(now)
	n.sendGrants(now)
	n.pollLaggards(now)
	n.fetchTexts(now)
}

// Receive takes a message of a sidecar. What can't be read is an error, and changes nothing.
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

// actAsLeader does the leader's part, if it is this one's.
func (n *Node) actAsLeader(now time.Duration) {
	n.participant.AdvanceIndex(n.log.LastIndex())
	switch {
	case !n.log.IsLeader():
		n.leader = nil
		return
	case n.leader == nil || n.term != n.log.Term() || n.epoch != n.log.Epoch():
		n.leader = policyrollout.NewLeader(now, n.Size, LeaseExpiry(n.Lease, n.MaxClockError), quorumAckHeartbeats*raftlog.HeartbeatInterval(n.Size))
		n.term, n.epoch = n.log.Term(), n.log.Epoch()
		n.Host.Changed(Event{Kind: "leads", By: n.Self.Number})
	}
	if step, due := n.leader.Decide(now, n.participant.State(), n.Self.Number); due {
		n.proposeStep(now, step)
	}
}

// proposeStep puts a step of the leader's into the log, once: it is proposed again by the log itself.
func (n *Node) proposeStep(now time.Duration, step policyrollout.Step) {
	if n.lastDecision == step && now < n.decidedAt+decisionRetry {
		return
	}
	n.lastDecision, n.decidedAt = step, now
	if raw, err := step.Encode(); err == nil {
		_ = n.log.Propose(now, raw)
	}
}

// decisionRetry is when a step that has not come back is proposed anew: the log itself does so behind a second, and ever later.
const decisionRetry = 5 * time.Second

// voterLost says that a voter's process can't take part any more, as far as reports tell.
func (n *Node) voterLost(now time.Duration, s raftlog.Voter) bool {
	seat, lately := n.leader.VoterIncarnation(now, s.Number)
	if lately {
		return seat != s.Incarnation // another process of that number reports, that has forgotten this one's vote
	}
	return now >= n.leader.TermStart()+LeaseExpiry(n.Lease, n.MaxClockError)
}

// voterCandidates are those that could vote, in an order that is the same for each leader.
func (n *Node) voterCandidates(now time.Duration) (all []raftlog.Voter) {
	seats := n.log.Voters()
	if len(seats) >= raftlog.VotersFor(n.Size) && !slices.ContainsFunc(seats, func(s raftlog.Voter) bool { return n.voterLost(now, s) }) {
		return nil // nothing is to be filled
	}
	for i := range n.Size {
		if seat, lately := n.leader.VoterIncarnation(now, i); lately && seat != noVote {
			all = append(all, raftlog.Voter{Number: i, Incarnation: seat})
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

// announceActive tells people by what this one goes, where that has changed.
func (n *Node) announceActive(now time.Duration) {
	if goes := n.Active(now); goes != n.announced {
		n.announced = goes
		n.Host.Changed(Event{Kind: "goes by", Ref: goes.New, Active: goes, By: n.Self.Number})
	}
}

// logHost carries out what the log decides.
type logHost struct{ n *Node }

func (h logHost) Send(to int, m *raftlog.Message) {
	raw, err := m.Encode()
	if err != nil {
		return
	}
	h.n.sendUrgent(to, &accordpb.Message{Log: raw}, m.Raft != nil || m.Gossip)
}

func (h logHost) Reset(epoch uint64) {
	n := h.n
	n.participant.Reset()
	n.leader, n.reports, n.relay = nil, reports{pendingGrants: make(map[int][]*accordpb.Granted)}, relay{pendingBatches: make(map[uint32]sentBatch)}
	n.proposals, n.laggards, n.maintenance = nil, reportedLaggards{}, maintenanceState{}
	n.Host.Changed(Event{Kind: "log", By: n.Self.Number, Why: fmt.Sprintf("epoch %x", epoch)})
}

func (h logHost) Applied(e raftlog.Entry) { h.n.applyEntry(e) }

func (n *Node) send(to int, m *accordpb.Message) { n.sendUrgent(to, m, false) }

// sendUrgent sends a message, which has to fit.
func (n *Node) sendUrgent(to int, m *accordpb.Message, urgent bool) {
	if to == n.Self.Number || to < 0 || to >= n.Size {
		return
	}
	raw, err := proto.Marshal(m)
	if err != nil || len(raw) > MaxMessageBytes {
		n.TooLong++
		return
	}
	n.Host.Send(to, raw, urgent)
}

// randomPeer is one of the others, at random.
func (n *Node) randomPeer() int {
	if i := n.Rand.IntN(max(1, n.Size-1)); i < n.Self.Number {
		return i
	} else {
		return i + 1
	}
}
