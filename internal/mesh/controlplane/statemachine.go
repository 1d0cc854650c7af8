package controlplane

import (
	"context"
	"encoding/binary"
	"sync"

	"caperarch/internal/mesh/config"
	"caperarch/internal/mesh/errs"

	"go.uber.org/zap"
)

const (
	// maxRetainedChanges is how many changes are kept for those who hold an older version: who is further
	// behind gets the whole configuration.
	maxRetainedChanges = 64
	// proposalNumberSize is the size of the proposal's number, with which each command begins.
	proposalNumberSize = 8
)

// stateMachine is the replicated state machine of the log: the configuration after the commands so
// far. Each command is an operator's change behind the number of the proposal that brought it, and is
// applied in the log's order on every replica. Reading one may take long (10,000 routes: a third of a
// second and more), so the log hands commands in and goes on, and they are applied from a queue.
type stateMachine struct {
	log     *zap.Logger
	changed func() // another version is in force

	mu            sync.Mutex
	configuration *config.Snapshot
	retained      []*config.Change // that led to it, the newest last
	proposals     map[uint64]chan proposalResult
	queue         []logItem
	running       bool
	enqueued      uint64        // items that came so far
	processed     uint64        // of these, items that are done with
	progress      chan struct{} // closed, and made anew, whenever finished grows
	applied       uint64        // log index
	// damaged is set from a snapshot that can't be read to the next one that can: what lies between
	// would be applied to the wrong state.
	corrupted bool
}

// logItem is an entry of the log, or a snapshot in place of all entries up to its index.
type logItem struct {
	index    uint64
	data     []byte
	snapshot bool
}

// proposalResult is what became of a proposal.
type proposalResult struct {
	version int64
	err     error
}

func newStateMachine(log *zap.Logger, changed func()) *stateMachine {
	return &stateMachine{
		log:           log,
		changed:       changed,
		configuration: config.Empty(),
		proposals:     make(map[uint64]chan proposalResult),
		progress:      make(chan struct{}),
	}
}

func (m *stateMachine) currentConfig() *config.Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.configuration
}

// Current is the version in force.
func (m *stateMachine) Current() int64 { return m.currentConfig().Version() }

// appliedIndex is the index up to which everything that the log handed in has been applied. After a
// snapshot that could not be read it stands still until one comes that can.
func (m *stateMachine) appliedIndex() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.applied
}

// expect has the proposalResult on a proposal told once its command has been applied here; forget ends that.
func (m *stateMachine) expectResult(number uint64) <-chan proposalResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	told := make(chan proposalResult, 1)
	m.proposals[number] = told
	return told
}

func (m *stateMachine) forgetResult(number uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.proposals, number)
}

// await waits for the proposalResult on a proposal that the log has committed.
func awaitResult(ctx context.Context, told <-chan proposalResult) (int64, error) {
	select {
	case v := <-told:
		return v.version, v.err
	case <-ctx.Done():
		return 0, errs.New(errs.DeadlineExceeded, "the change has no clear answer in time")
	}
}

// command is a change as it stands in the log.
func command(number uint64, change *config.Change) []byte {
	return append(binary.BigEndian.AppendUint64(nil, number), change.Encode()...)
}

// apply takes the command of an entry, to be applied behind those before. An entry that bears no
// change, as a new leader's first one, only advances the applied index.
func (m *stateMachine) apply(index uint64, command []byte) {
	m.enqueue(logItem{index: index, data: command})
}

// restore takes a snapshot in place of all entries up to its index.
func (m *stateMachine) restore(index uint64, data []byte) {
	m.enqueue(logItem{index: index, data: data, snapshot: true})
}

// enter puts an item into the queue.
func (m *stateMachine) enqueue(item logItem) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.queue = append(m.queue, item)
	m.enqueued++
	if !m.running {
		m.running = true
		go m.processQueue()
	}
}

// work applies what is in the queue, in order, and ends with it.
func (m *stateMachine) processQueue() {
	for {
		item, some := m.dequeue()
		if !some {
			return
		}
		whole := true
		if item.snapshot {
			whole = m.restoreSnapshot(item.data)
		} else {
			m.complete(item.index, item.data)
		}
		m.markProcessed(item, whole)
	}
}

// first takes the first item off the queue.
func (m *stateMachine) dequeue() (item logItem, some bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.queue) == 0 {
		m.queue, m.running = nil, false
		return logItem{}, false
	}
	item = m.queue[0]
	m.queue = m.queue[1:]
	return item, true
}

// finish notes that an item is done with, and has those look again who wait for that.
func (m *stateMachine) markProcessed(item logItem, whole bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.processed++
	m.corrupted = item.snapshot && !whole || m.corrupted && !item.snapshot
	if !m.corrupted {
		m.applied = max(m.applied, item.index)
	}
	close(m.progress)
	m.progress = make(chan struct{})
}

// idle waits until all is applied that the log has handed in so far.
func (m *stateMachine) waitProcessed(ctx context.Context) error {
	m.mu.Lock()
	due := m.enqueued
	m.mu.Unlock()
	for {
		m.mu.Lock()
		done, damaged, progress := m.processed >= due, m.corrupted, m.progress
		m.mu.Unlock()
		switch {
		case done && damaged:
			return errs.New(errs.Internal, "the configuration could not be read from its snapshot")
		case done:
			return nil
		}
		select {
		case <-progress:
		case <-ctx.Done():
			return errs.New(errs.DeadlineExceeded, "the configuration is still being read")
		}
	}
}

// settle applies a command of the log and tells its proposalResult to whoever proposed it here.
func (m *stateMachine) complete(index uint64, command []byte) {
	if len(command) <= proposalNumberSize {
		return
	}
	number := binary.BigEndian.Uint64(command)
	change, err := config.DecodeChange(command[proposalNumberSize:])
	if err != nil {
		// The operator's body was read before it was proposed, so this says nothing against it.
		m.completeProposal(number, proposalResult{err: errs.Wrap(err, errs.Internal, "a command of the log can't be read")})
		m.log.Error("a command of the log can't be read", zap.Uint64("index", index), zap.Error(err))
		return
	}
	version, outcome, err := m.applyChange(change)
	m.completeProposal(number, proposalResult{version, err})
	switch {
	case err != nil:
		m.log.Info("a change was refused", zap.Uint64("index", index), zap.Error(err))
	case outcome == config.Applied:
		m.log.Info("a change is in force", zap.Uint64("index", index), zap.Int64("version", version))
		m.changed()
	}
}

// take puts the configuration after a change in place, and gives the version that the change brought
// or had brought before, else the one in force.
func (m *stateMachine) applyChange(change *config.Change) (int64, config.Outcome, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.corrupted {
		return 0, config.Undetermined, errs.New(errs.Internal, "no configuration is held to judge the change by")
	}
	next, outcome, err := m.configuration.Apply(change)
	m.configuration = next
	switch outcome {
	case config.Applied:
		m.retainChange(change)
	case config.Duplicate:
		return change.Version(), outcome, nil
	}
	return next.Version(), outcome, err
}

// tell gives the proposalResult on a proposal to whoever waits for it here.
func (m *stateMachine) completeProposal(number uint64, v proposalResult) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if told := m.proposals[number]; told != nil {
		told <- v
		delete(m.proposals, number)
	}
}

// replace puts a snapshot in place of what is there, or says that it can't be read.
func (m *stateMachine) restoreSnapshot(data []byte) bool {
	next, err := config.Decode(data)
	m.mu.Lock()
	m.failProposals()
	if err != nil {
		m.mu.Unlock()
		m.log.Error("a snapshot that can't be read", zap.Error(err))
		return false
	}
	m.configuration, m.retained = next, nil
	m.mu.Unlock()
	m.changed()
	return true
}

// release tells all who wait for a proposalResult that they get none: their commands may lie among those
// that a snapshot stands for, which are never applied one by one. The caller holds the lock.
func (m *stateMachine) failProposals() {
	for number, told := range m.proposals {
		told <- proposalResult{err: errs.New(errs.DeadlineExceeded, "a snapshot stands in place of the proposalResult")}
		delete(m.proposals, number)
	}
}

// snapshot is the state where all that the log has handed in is applied; nil: not now.
func (m *stateMachine) snapshot() []byte {
	m.mu.Lock()
	configuration, ready := m.configuration, m.processed == m.enqueued && !m.corrupted
	m.mu.Unlock()
	if !ready {
		return nil
	}
	data, err := configuration.Encode()
	if err != nil {
		m.log.Error("no snapshot", zap.Error(err))
		return nil
	}
	return data
}
