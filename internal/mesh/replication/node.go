package replication

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"caperarch/internal/mesh/errs"
)

const (
	// contactWithin is how lately a sequencer must have been heard for a member to be in contact.
	contactWithin = time.Second
	// staleAfter is the age at which a message that waited for the loop is
	// dropped: others may have chosen a new sequencer since, so it is old news.
	staleAfter = ElectionMin
	// maxInbox bounds the messages that wait while the disk stalls; the oldest give way.
	maxInbox = 256
	// maxCalls bounds the proposals and reads that wait while the disk stalls.
	maxCalls = 1024
	// longestWait is how long the loop sleeps when nothing at all is due.
	longestWait = time.Minute
)

// NodeConfig is what a node is made of. Apply, Restore and Snapshot are called
// from the node's loop only. Send must not block.
type NodeConfig struct {
	ID    string
	Disk  Disk
	State State
	// Send carries messages to a member; it may lose them.
	Send func(to string, msgs []Message)
	// Apply gets every committed command in order, once per life, after what Restore brought.
	Apply func(index uint64, cmd []byte)
	// Restore puts the state of an earlier Snapshot in place of the application's.
	Restore func(data []byte)
	// Snapshot returns the application's state; nil: not now, it is asked again.
	Snapshot func() []byte
	Log      *zap.Logger
}

// call is a proposal or, without a command, a read.
type call struct {
	ctx  context.Context
	cmd  []byte
	done chan result
}

type result struct {
	index uint64
	err   error
}

type delivery struct {
	from string
	msgs []Message
	at   time.Duration
	// answer, when not nil, takes what is to be said to the sender.
	answer chan []Message
}

// Node runs a Member over its Disk in one loop.
type Node struct {
	cfg    NodeConfig
	member *Member
	start  time.Time
	wake   chan struct{}
	stop   chan struct{}
	ended  chan struct{}

	mu     sync.Mutex
	closed bool
	inbox  []delivery
	calls  []call

	// Of the loop alone.
	waiting map[uint64]call
	answers map[string]chan []Message
	sick    bool

	status atomic.Pointer[status]
}

type status struct {
	seq     string
	view    uint64
	heard   time.Duration
	leads   bool
	sick    bool
	memory  bool
	applied uint64
}

// Start restores the application from the state and starts the loop.
func Start(cfg NodeConfig) (*Node, error) {
	var seeds [16]byte
	if _, err := crand.Read(seeds[:]); err != nil {
		return nil, errs.Wrap(err, errs.Internal, "archive: random seeds")
	}
	member, err := New(Config{
		ID:    cfg.ID,
		State: cfg.State,
		Seed:  binary.BigEndian.Uint64(seeds[:]),
		Nonce: binary.BigEndian.Uint64(seeds[8:]),
	}, 0)
	if err != nil {
		return nil, err
	}
	if cfg.State.Snapshot.Index > 0 {
		cfg.Restore(cfg.State.Snapshot.Data)
	}
	cfg.State = State{}
	n := &Node{
		cfg:     cfg,
		member:  member,
		start:   time.Now(),
		wake:    make(chan struct{}, 1),
		stop:    make(chan struct{}),
		ended:   make(chan struct{}),
		waiting: map[uint64]call{},
		answers: map[string]chan []Message{},
	}
	n.publish(0)
	go n.run()
	return n, nil
}

// Close ends the loop and closes the disk. Waiting callers are told that they don't know.
func (n *Node) Close() error {
	n.mu.Lock()
	if !n.closed {
		n.closed = true
		close(n.stop)
	}
	n.mu.Unlock()
	<-n.ended
	return n.cfg.Disk.Close()
}

func (n *Node) now() time.Duration { return time.Since(n.start) }

// Propose returns the index of cmd once it is committed and applied here.
// NotSequencer, Invalid, TooLarge, Busy and DiskFailed mean that nothing was
// done; NoQuorum and Late that it may be committed or not.
func (n *Node) Propose(ctx context.Context, cmd []byte) (index uint64, err error) {
	if len(cmd) == 0 {
		return 0, errs.New(errs.Invalid, "archive: a command is empty")
	}
	return n.call(ctx, cmd)
}

// Read returns once this member, being the sequencer, has confirmed that it
// still is and has applied everything that was committed before the call.
func (n *Node) Read(ctx context.Context) error {
	_, err := n.call(ctx, nil)
	return err
}

func (n *Node) call(ctx context.Context, cmd []byte) (uint64, error) {
	c := call{ctx: ctx, cmd: cmd, done: make(chan result, 1)}
	n.mu.Lock()
	if n.closed || len(n.calls) >= maxCalls {
		n.mu.Unlock()
		return 0, errs.New(errs.Busy, "archive: the node is closed or has too many callers")
	}
	n.calls = append(n.calls, c)
	n.mu.Unlock()
	n.rouse()
	select {
	case r := <-c.done:
		return r.index, r.err
	case <-ctx.Done():
		return 0, errs.Wrap(ctx.Err(), errs.Late, "archive: the caller's time ran out")
	}
}

// Sequencer names the sequencer this member knows ("" for none) and its view.
func (n *Node) Sequencer() (id string, view uint64) {
	s := n.status.Load()
	return s.seq, s.view
}

// InContact says whether the member has heard a sequencer within the last
// second or, being the sequencer, a majority.
func (n *Node) InContact() bool {
	s := n.status.Load()
	within := contactWithin
	if s.leads {
		within = ContactOut
	}
	return s.seq != "" && (s.heard == forever || n.now()-s.heard <= within)
}

// Sick says that the disk takes no writes.
func (n *Node) Sick() bool { return n.status.Load().sick }

// Remembers is false from the loss of the disk until the member has recovered.
func (n *Node) Remembers() bool { return n.status.Load().memory }

// Applied is the last index applied here.
func (n *Node) Applied() uint64 { return n.status.Load().applied }

// Deliver takes in messages of a member. It never blocks; when too many wait, the oldest are dropped.
func (n *Node) Deliver(from string, msgs []Message) {
	n.deliver(delivery{from: from, msgs: msgs})
}

// Exchange is Deliver, and returns what the member has to say to the sender
// right away, so that an answer needs no connection of its own.
func (n *Node) Exchange(ctx context.Context, from string, msgs []Message) []Message {
	d := delivery{from: from, msgs: msgs, answer: make(chan []Message, 1)}
	n.deliver(d)
	select {
	case answer := <-d.answer:
		return answer
	case <-ctx.Done():
	case <-n.ended:
	}
	return nil
}

func (n *Node) deliver(d delivery) {
	d.at = n.now()
	n.mu.Lock()
	if len(n.inbox) >= maxInbox {
		if old := n.inbox[0].answer; old != nil {
			close(old)
		}
		n.inbox = n.inbox[1:]
	}
	n.inbox = append(n.inbox, d)
	n.mu.Unlock()
	n.rouse()
}

func (n *Node) rouse() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

func (n *Node) run() {
	defer close(n.ended)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-n.stop:
			n.abandon()
			return
		case <-n.wake:
		case <-timer.C:
		}
		n.round()
		timer.Reset(min(longestWait, max(0, n.member.NextWake()-n.now())))
	}
}

// round takes in all that waits and does all that is due.
func (n *Node) round() {
	n.mu.Lock()
	inbox, calls := n.inbox, n.calls
	n.inbox, n.calls = nil, nil
	n.mu.Unlock()
	// The time is taken once before anything is acted on, so that after a
	// freeze the member sees how late it is before it does a thing.
	now := n.now()
	n.member.Tick(now)
	for _, d := range inbox {
		if d.answer != nil {
			n.supersede(d.from, d.answer)
		}
		if now-d.at > staleAfter {
			continue
		}
		for i := range d.msgs {
			n.member.Step(now, d.from, d.msgs[i])
		}
	}
	for _, c := range calls {
		n.begin(now, c)
	}
	for {
		r, some := n.member.Ready(n.now())
		if !some {
			break
		}
		n.do(&r)
	}
	for from, answer := range n.answers {
		close(answer)
		delete(n.answers, from)
	}
	n.publish(n.now())
}

// supersede keeps the newest exchange of a sender; an older one gets no answer.
func (n *Node) supersede(from string, answer chan []Message) {
	if old := n.answers[from]; old != nil {
		close(old)
	}
	n.answers[from] = answer
}

func (n *Node) begin(now time.Duration, c call) {
	if c.ctx.Err() != nil {
		// The caller has gone while the loop was held up.
		return
	}
	var token uint64
	var err error
	if c.cmd != nil {
		token, err = n.member.Propose(now, c.cmd)
	} else {
		token, err = n.member.Read(now)
	}
	if err != nil {
		c.done <- result{err: err}
		return
	}
	n.waiting[token] = c
}

// do does what a Ready asks for, in its order.
func (n *Node) do(r *Ready) {
	if r.Persist != nil {
		if err := n.cfg.Disk.Save(r.Persist); err != nil {
			if !n.sick {
				n.cfg.Log.Error("the archive's disk refuses to write; this member is silent until it does", zap.Error(err))
			}
			n.sick = true
			n.member.Failed(n.now(), r)
			return
		}
		if n.sick {
			n.cfg.Log.Info("the archive's disk writes again")
			n.sick = false
		}
	}
	n.sendAll(r.Messages)
	if r.Restore != nil {
		n.cfg.Restore(r.Restore.Data)
	}
	for i := range r.Committed {
		if e := &r.Committed[i]; len(e.Cmd) > 0 {
			n.cfg.Apply(e.Index, e.Cmd)
		}
	}
	n.member.Advance(n.now(), r)
	n.tell(r.Proposals)
	n.tell(r.Reads)
	if n.member.WantsSnapshot() {
		if data := n.cfg.Snapshot(); data != nil {
			n.member.Compact(data)
		}
	}
}

func (n *Node) tell(settled []Settlement) {
	for _, s := range settled {
		c, ok := n.waiting[s.Token]
		if !ok {
			continue
		}
		delete(n.waiting, s.Token)
		switch {
		case !s.Aborted:
			c.done <- result{index: s.Index}
		case c.cmd != nil:
			c.done <- result{err: errs.New(errs.NoQuorum, "archive: the view ended before the command was committed; it may be or not")}
		default:
			c.done <- result{err: errs.New(errs.NotSequencer, "archive: the view ended before the read was confirmed")}
		}
	}
}

// sendAll hands over messages by receiver, in their order; what is for a
// member whose exchange waits goes back on it.
func (n *Node) sendAll(out []Envelope) {
	for i := 0; i < len(out); i++ {
		to := out[i].To
		if to == "" {
			continue
		}
		var msgs []Message
		for j := i; j < len(out); j++ {
			if out[j].To == to {
				msgs = append(msgs, out[j].Message)
				out[j].To = ""
			}
		}
		if answer := n.answers[to]; answer != nil {
			answer <- msgs
			delete(n.answers, to)
			continue
		}
		n.cfg.Send(to, msgs)
	}
}

func (n *Node) publish(now time.Duration) {
	seq, view := n.member.Sequencer()
	if before := n.status.Load(); before != nil && (before.seq != seq || before.view != view) {
		n.cfg.Log.Info("view", zap.Uint64("number", view), zap.String("sequencer", seq))
	}
	n.status.Store(&status{
		seq:     seq,
		view:    view,
		leads:   n.member.IsSequencer(now),
		heard:   n.member.Heard(),
		sick:    n.member.Sick(),
		memory:  n.member.Remembers(),
		applied: n.member.Applied(),
	})
}

// abandon ends the exchanges and callers that still wait.
func (n *Node) abandon() {
	n.mu.Lock()
	inbox, calls := n.inbox, n.calls
	n.inbox, n.calls = nil, nil
	n.mu.Unlock()
	for _, d := range inbox {
		if d.answer != nil {
			close(d.answer)
		}
	}
	for _, c := range calls {
		c.done <- result{err: errs.New(errs.Busy, "archive: the node is closed")}
	}
	for _, c := range n.waiting {
		c.done <- result{err: errs.New(errs.Late, "archive: the node was closed before the end was known")}
	}
}
