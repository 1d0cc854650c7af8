package controlplane

import (
	"context"
	"sync"

	"caperarch/internal/mesh/config"
	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/replication"

	"go.uber.org/zap"
)

// stateMachine is the replicated state machine of the log: the configuration after the commands so
// far. Each command is an operator's change behind the id of its proposal, and is applied in the log's
// order on every replica. Decoding one may take long (10,000 routes: a third of a second and more), so
// the replica's loop only queues it, and a goroutine that lives while the queue isn't empty applies
// it. All methods may be called from any goroutine.
type stateMachine struct {
	log *zap.Logger
	// configurationChanged is called, without the lock, when another version is in force.
	configurationChanged func()

	// mu guards the fields below.
	mu            sync.Mutex
	configuration *config.Snapshot
	retained      []*config.Change // that led to it, the newest last
	proposals     map[proposalID]chan proposalResult
	queue         []logItem
	running       bool          // a goroutine processes the queue
	enqueued      uint64        // items so far
	processed     uint64        // of these, items that are complete
	progress      chan struct{} // closed, and made anew, whenever processed grows
	applied       replication.Index
	// corrupted is set from a snapshot that can't be decoded to the next one that can: entries in
	// between would be applied to the wrong state.
	corrupted bool
}

// logItem is an entry of the log, or a snapshot in place of all entries up to its index.
type logItem struct {
	index      replication.Index
	data       []byte
	isSnapshot bool
}

func newStateMachine(log *zap.Logger, configurationChanged func()) *stateMachine {
	return &stateMachine{
		log:                  log,
		configurationChanged: configurationChanged,
		configuration:        config.Empty(),
		proposals:            make(map[proposalID]chan proposalResult),
		progress:             make(chan struct{}),
	}
}

// currentConfig is the configuration in force.
func (m *stateMachine) currentConfig() *config.Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.configuration
}

// Current is the version in force.
func (m *stateMachine) Current() int64 { return m.currentConfig().Version() }

// appliedIndex is the index up to which everything that the log handed over has been applied. After a
// snapshot that could not be decoded it does not advance until one arrives that can.
func (m *stateMachine) appliedIndex() replication.Index {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.applied
}

// apply queues the command of an entry. An entry without a change, such as a new leader's first one,
// only advances the applied index.
func (m *stateMachine) apply(index replication.Index, command []byte) {
	m.enqueue(logItem{index: index, data: command})
}

// restore queues a snapshot in place of all entries up to its index.
func (m *stateMachine) restore(index replication.Index, data []byte) {
	m.enqueue(logItem{index: index, data: data, isSnapshot: true})
}

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

// processQueue processes the queue in order until it is empty.
func (m *stateMachine) processQueue() {
	for {
		item, ok := m.dequeue()
		if !ok {
			return
		}
		if item.isSnapshot {
			restored := m.restoreSnapshot(item.data)
			m.finishSnapshot(item.index, restored)
			continue
		}
		m.applyCommand(item.index, item.data)
		m.finishEntry(item.index)
	}
}

// dequeue removes the first item from the queue. If there is none the calling goroutine has to end.
func (m *stateMachine) dequeue() (item logItem, ok bool) {
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

func (m *stateMachine) finishEntry(index replication.Index) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(index)
}

func (m *stateMachine) finishSnapshot(index replication.Index, restored bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.corrupted = !restored
	m.advance(index)
}

// advance counts an item as processed and wakes those who wait for that. The caller holds the lock.
func (m *stateMachine) advance(index replication.Index) {
	m.processed++
	if !m.corrupted {
		m.applied = max(m.applied, index)
	}
	close(m.progress)
	m.progress = make(chan struct{})
}

// waitProcessed waits until all is applied that the log has handed over so far. An error of kind
// Internal says that the configuration could not be decoded from its snapshot.
func (m *stateMachine) waitProcessed(ctx context.Context) error {
	m.mu.Lock()
	target := m.enqueued
	m.mu.Unlock()
	for {
		m.mu.Lock()
		done, corrupted, progress := m.processed >= target, m.corrupted, m.progress
		m.mu.Unlock()
		switch {
		case done && corrupted:
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

// applyCommand applies a command of the log and completes its proposal if it was made here.
func (m *stateMachine) applyCommand(index replication.Index, command []byte) {
	if len(command) <= proposalIDSize {
		return
	}
	id, change, err := decodeCommand(command)
	if err != nil {
		// The operator's body was parsed before it was proposed, so this is no rejection of it.
		m.completeProposal(id, proposalResult{
			err: errs.Wrap(err, errs.Internal, "a command of the log can't be read"),
		})
		m.log.Error("log entry not decoded, skipped", zap.Uint64("index", uint64(index)), zap.Error(err))
		return
	}
	version, outcome, err := m.applyChange(change)
	m.completeProposal(id, proposalResult{version, err})
	switch {
	case err != nil:
		m.log.Info("change rejected", zap.Uint64("index", uint64(index)), zap.Error(err))
	case outcome == config.Applied:
		m.log.Info("change applied", zap.Uint64("index", uint64(index)), zap.Int64("version", version))
		m.configurationChanged()
	}
}

// applyChange puts the configuration after a change in force, and returns the version that the change
// brought or had brought before, else the one in force.
func (m *stateMachine) applyChange(change *config.Change) (int64, config.Outcome, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.corrupted {
		return 0, config.Undetermined,
			errs.New(errs.Internal, "no configuration is held to judge the change by")
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

// restoreSnapshot puts the configuration of a snapshot in force, and reports whether it could be
// decoded.
func (m *stateMachine) restoreSnapshot(data []byte) (restored bool) {
	next, err := config.Decode(data)
	m.mu.Lock()
	m.failProposals()
	if err != nil {
		m.mu.Unlock()
		m.log.Error("snapshot not decoded, applying nothing until another arrives", zap.Error(err))
		return false
	}
	m.configuration, m.retained = next, nil
	m.mu.Unlock()
	m.configurationChanged()
	return true
}

// snapshot is the state where all that the log has handed over is applied, and nil while it isn't.
func (m *stateMachine) snapshot() []byte {
	m.mu.Lock()
	configuration, ready := m.configuration, m.processed == m.enqueued && !m.corrupted
	m.mu.Unlock()
	if !ready {
		return nil
	}
	data, err := configuration.Encode()
	if err != nil {
		m.log.Error("configuration not encoded for a snapshot", zap.Error(err))
		return nil
	}
	return data
}
