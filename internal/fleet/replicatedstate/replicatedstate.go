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

	reportPart  = 40                     // % of a lease between reports where nothing changes
	againPart   = 30                     // % of it behind which one that has had no answer is sent again, by way of another relay; an answer takes up to the two below
	handPart    = 13                     // % of it that a relay waits for others' reports, but where there is a datagram full,
	answerPart  = 13                     // and that the leader's word to each relay does: it counts from the report
	soonPart    = 7                      // % of it behind which one that has less than half of its lease left sends again
	reportAgain = 500 * time.Millisecond // the same of one who is cut off; and ever later, up to the first
	changeAgain = time.Second            // the same in a change, which waits for all reports
	handSoon    = 250 * time.Millisecond // what a relay waits in a change
	pokeEvery   = 500 * time.Millisecond // whom a change waits for is asked to report, by the leader itself,
	pokeMost    = 4                      // so many at a time
	confirmLate = 3                      // a leader that a majority has not confirmed for so many beats grants nothing
	// Longest is the longest message, in bytes: what stands round it in a datagram of 256 takes up to 40.
	Longest = 216
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
	What string // "proposed", "taken", "called off", "settled", "begun", "refused", "entry", "goes by", "leads", "log"
	policyrollout.Ref
	By   int
	Why  string
	Goes policyrollout.Active
}

// Config is what a Node is made of.
type Config struct {
	Size  int
	Self  raftlog.Voter
	Lease time.Duration
	Rate  float64 // greatest error of a clock's rate
	Rand  *rand.Rand
	Host  Host
	Check func(text []byte) error // why a policy can't be applied here; nil: it can
	Life  uint64                  // of the process, where its seat is an earlier one's that kept its vote; 0: the seat's
	Disk  Disk                    // nil: nothing outlives the process

	Work     Work          // nil: nothing is known of machines here
	Deadline time.Duration // the longest that a request may be out at one
}

// Disk keeps what must outlive the process, where an operator gives it a place.
type Disk interface {
	raftlog.Storage
	// Text keeps the text of a version.
	Text(hash [32]byte, text []byte) error
}

// Patience is when a grant of a lease is over by anybody's clock: the errors of both, and what rounding may add.
func Patience(lease time.Duration, rate float64) time.Duration {
	return lease + time.Duration(2.5*rate*float64(lease)) + 2*time.Millisecond
}

// Node is one sidecar's part. It is not safe for concurrent use.
type Node struct {
	Config
	log    *raftlog.Node
	holder *policyrollout.Participant
	texts  texts
	life   uint64
	now    time.Duration // of the event under way

	leader *policyrollout.Leader // nil: another leads, or nobody does
	epoch  uint64                // that it leads
	term   uint64

	reports
	relay
	mine   []Mine
	goes   policyrollout.Active // as last told
	behind behindOf
	work   work
}

// New makes a node that knows of no log yet, and goes by CutOff.
func New(cfg Config) (*Node, error) {
	n := &Node{Config: cfg, life: cmp.Or(cfg.Life, cfg.Self.Incarnation)}
	log := raftlog.Config{Size: cfg.Size, Self: cfg.Self, ProcessIncarnation: n.life, Rand: cfg.Rand, Host: logHost{n}}
	if cfg.Disk != nil {
		log.Storage = cfg.Disk
	}
	var err error
	if n.log, err = raftlog.New(log); err != nil {
		return nil, err
	}
	if cfg.Lease <= 0 {
		return nil, fmt.Errorf("accord: a lease of %v", cfg.Lease)
	}
	n.texts.init(cfg.Check)
	if cfg.Disk != nil {
		n.texts.keep = cfg.Disk.Text
	}
	n.holder = policyrollout.NewParticipant(cfg.Lease, n.why)
	n.answers = make(map[int][]*accordpb.Granted)
	n.relay.waits = make(map[uint32]relayed)
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

// Mute is why this process, which had a vote, has none any more; nil: nothing is wrong.
func (n *Node) Mute() error { return n.log.StorageError() }

// why says why a version can't be applied here; "": it can.
func (n *Node) why(r policyrollout.Ref) string {
	if r.Version == 0 {
		return "" // the settings
	}
	return n.texts.why(r.Hash)
}

// Now is by what this sidecar goes. It is to be asked wherever something depends on it, at that moment.
func (n *Node) Now(now time.Duration) policyrollout.Active {
	n.holder.AdvanceIndex(n.log.LastIndex())
	return n.holder.Active(now)
}

// Until is when that changes to CutOff if nothing more is heard.
func (n *Node) Until() time.Duration { return n.holder.GrantedUntil() }

// Text is a version's text; false: it is not here.
func (n *Node) Text(r policyrollout.Ref) ([]byte, bool) { return n.texts.get(r.Hash) }

// Tick is due every Period.
func (n *Node) Tick(now time.Duration) {
	n.now = now
	n.log.Tick(now)
	n.lead(now)
	if n.leader != nil {
		n.log.UpdateVoters(now, func(s raftlog.Voter) bool { return n.gone(now, s) }, n.there(now))
	}
	n.leadWork(now)
	n.tell(now) // before the report: who is told that this one goes by both may count on it
	n.report(now)
	n.flush(now)
	n.answer(now)
	n.poke(now)
	n.fetch(now)
}

// Take takes a message of a sidecar. What can't be read is an error, and changes nothing.
func (n *Node) Take(now time.Duration, from int, raw []byte) error {
	if from < 0 || from >= n.Size || from == n.Self.Number {
		return errSpoilt
	}
	m := new(accordpb.Message)
	if proto.Unmarshal(raw, m) != nil {
		return errSpoilt
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
		n.takeReports(now, from, m)
		n.takeGrants(now, from, m)
		n.takeBehind(now, from, m)
		n.takeWork(now, from, m)
	}
	n.takeText(now, from, m)
	n.lead(now)
	n.tell(now)
	n.report(now)
	return nil
}

// lead does the leader's part, if it is this one's.
func (n *Node) lead(now time.Duration) {
	n.holder.AdvanceIndex(n.log.LastIndex())
	switch {
	case !n.log.IsLeader():
		n.leader = nil
		return
	case n.leader == nil || n.term != n.log.Term() || n.epoch != n.log.Epoch():
		n.leader = policyrollout.NewLeader(now, n.Size, Patience(n.Lease, n.Rate), confirmLate*raftlog.HeartbeatInterval(n.Size))
		n.term, n.epoch = n.log.Term(), n.log.Epoch()
		n.Host.Changed(Event{What: "leads", By: n.Self.Number})
	}
	if step, due := n.leader.Decide(now, n.holder.State(), n.Self.Number); due {
		n.decide(now, step)
	}
}

// decide puts a step of the leader's into the log, once: it is proposed again by the log itself.
func (n *Node) decide(now time.Duration, step policyrollout.Step) {
	if n.deciding == step && now < n.decidedAt+decideAgain {
		return
	}
	n.deciding, n.decidedAt = step, now
	if raw, err := step.Encode(); err == nil {
		_ = n.log.Propose(now, raw)
	}
}

// decideAgain is when a step that has not come back is proposed anew: the log itself does so behind a second, and ever later.
const decideAgain = 5 * time.Second

// gone says that a voter's process can't take part any more, as far as reports tell.
func (n *Node) gone(now time.Duration, s raftlog.Voter) bool {
	seat, lately := n.leader.VoterIncarnation(now, s.Number)
	if lately {
		return seat != s.Incarnation // another process of that number reports, that has forgotten this one's vote
	}
	return now >= n.leader.TermStart()+Patience(n.Lease, n.Rate)
}

// there are those that could vote, in an order that is the same for each leader.
func (n *Node) there(now time.Duration) (all []raftlog.Voter) {
	seats := n.log.Voters()
	if len(seats) >= raftlog.VotersFor(n.Size) && !slices.ContainsFunc(seats, func(s raftlog.Voter) bool { return n.gone(now, s) }) {
		return nil // nothing is to be filled
	}
	for i := range n.Size {
		if seat, lately := n.leader.VoterIncarnation(now, i); lately && seat != mute {
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

// tell tells people by what this one goes, where that has changed.
func (n *Node) tell(now time.Duration) {
	if goes := n.Now(now); goes != n.goes {
		n.goes = goes
		n.Host.Changed(Event{What: "goes by", Ref: goes.New, Goes: goes, By: n.Self.Number})
	}
}

// logHost carries out what the log decides.
type logHost struct{ n *Node }

func (h logHost) Send(to int, m *raftlog.Message) {
	raw, err := m.Encode()
	if err != nil {
		return
	}
	h.n.post(to, &accordpb.Message{Log: raw}, m.Raft != nil || m.Gossip)
}

func (h logHost) Reset(epoch uint64) {
	n := h.n
	n.holder.Reset()
	n.leader, n.reports, n.relay = nil, reports{answers: make(map[int][]*accordpb.Granted)}, relay{waits: make(map[uint32]relayed)}
	n.mine, n.behind, n.work = nil, behindOf{}, work{}
	n.Host.Changed(Event{What: "log", By: n.Self.Number, Why: fmt.Sprintf("epoch %x", epoch)})
}

func (h logHost) Applied(e raftlog.Entry) { h.n.applied(e) }

func (n *Node) send(to int, m *accordpb.Message) { n.post(to, m, false) }

// post sends a message, which has to fit.
func (n *Node) post(to int, m *accordpb.Message, urgent bool) {
	if to == n.Self.Number || to < 0 || to >= n.Size {
		return
	}
	raw, err := proto.Marshal(m)
	if err != nil || len(raw) > Longest {
		n.TooLong++
		return
	}
	n.Host.Send(to, raw, urgent)
}

// other is one of the others, at random.
func (n *Node) other() int {
	if i := n.Rand.IntN(max(1, n.Size-1)); i < n.Self.Number {
		return i
	} else {
		return i + 1
	}
}
