package controlplane

import (
	"context"
	"sync"

	"caperarch/internal/mesh/config"
	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/replication"

	"go.uber.org/zap"
)

// stateMachine is the replicated state machine of this core machine. It holds the configuration that
// results from the commands applied so far. Each command is an operator's change preceded by the ID of
// its proposal, and every replica applies the commands in log order.
//
// Decoding a command may take a third of a second or more (10,000 routes). The replica's loop therefore
// only queues log items, and a separate goroutine, which runs while the queue isn't empty, applies them.
// All methods are safe for concurrent use.
type stateMachine struct {
	log *zap.Logger
	// configurationChanged is called, without mu held, when a different configuration version takes
	// effect.
	configurationChanged func()

	// mu guards the fields below.
	mu            sync.Mutex
	configuration *config.Snapshot
	retained      []*config.Change // the last changes applied to configuration, the newest last
	proposals     map[proposalID]chan proposalResult
	queue         []logItem
	running       bool          // processQueue is running
	enqueued      uint64        // number of log items queued since the start
	processed     uint64        // number of log items fully processed since the start
	progress      chan struct{} // closed and replaced whenever processed increases
	// applied is the index returned by appliedIndex.
	applied replication.Index
	// corrupted is set when a snapshot can't be decoded and cleared when a later snapshot can. While it
	// is set, commands are not applied, since they would change the wrong state.
	corrupted bool
}

// logItem is either a log entry or a snapshot that replaces all entries up to and including index.
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

// currentConfig returns the configuration in force.
func (m *stateMachine) currentConfig() *config.Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.configuration
}

// Current returns the configuration version in force.
func (m *stateMachine) Current() int64 { return m.currentConfig().Version() }

// appliedIndex returns the index up to which all log items have been applied. After a snapshot that
// could not be decoded, the index does not advance until a snapshot that can be decoded has been
// restored.
func (m *stateMachine) appliedIndex() replication.Index {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.applied
}

// apply queues the command of a log entry. An entry without a command, such as the first entry of a new
// leader, only advances the applied index.
func (m *stateMachine) apply(index replication.Index, command []byte) {
	m.enqueue(logItem{index: index, data: command})
}

// restore queues a snapshot that replaces all entries up to and including index.
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

// processQueue processes the queued log items in order and returns when the queue is empty.
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

// dequeue removes and returns the first item of the queue. If the queue is empty, ok is false and
// running is cleared, so the calling goroutine must end.
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

// advance counts a log item as processed and wakes the waitProcessed calls. The caller holds mu.
func (m *stateMachine) advance(index replication.Index) {
	m.processed++
	if !m.corrupted {
		m.applied = max(m.applied, index)
	}
	close(m.progress)
	m.progress = make(chan struct{})
}

// waitProcessed waits until all log items queued before the call have been processed. It returns an
// error of kind Internal if the newest snapshot could not be decoded, and DeadlineExceeded if ctx ends
// first.
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

// applyCommand applies the command of a log entry. If this member proposed the command, applyCommand
// also delivers the result of the proposal.
func (m *stateMachine) applyCommand(index replication.Index, command []byte) {
	if len(command) <= proposalIDSize {
		return
	}
	id, change, err := decodeCommand(command)
	if err != nil {
		// The proposer parsed the operator's request before proposing it, so a decoding error does not
		// mean that the change is rejected.
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

// applyChange applies a change to the configuration. If the change is applied now or was applied earlier
// (a duplicate), it returns the version of the change; otherwise it returns the version in force.
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

// restoreSnapshot replaces the configuration by that of a snapshot, and reports whether the snapshot
// could be decoded.
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

// snapshot returns the encoded configuration, or nil while queued log items are unprocessed or the state
// is corrupted.
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
