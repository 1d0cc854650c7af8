package controlplane

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"sync"

	"caperarch/internal/mesh/config"
	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/sidecar"

	"go.uber.org/zap"
)

// mostKept is how many changes are kept for those who hold an older version: who is further behind gets the whole.
const mostKept = 64

// stateMachine is the configuration as the log has settled it: each command is a change with the number of the proposal that brought it, and is applied in the log's order on every member.
type stateMachine struct {
	log     *zap.Logger
	changed func() // another version is in force

	mu      sync.Mutex
	charter *config.Snapshot
	kept    []*config.Change // that led to it, the newest last
	asked   map[uint64]chan verdict
	queue   []settled // by the log, and not applied yet
	applied uint64    // the index up to which all that the log handed over is applied
	working bool
	done    chan struct{} // closed, and made anew, when the queue is empty
}

// settled is a command of the log, or a snapshot in place of those before. Reading one may take long (10,000 routes: most of a second), and the log must not stand still meanwhile.
type settled struct {
	index    uint64
	command  []byte
	snapshot bool
}

// verdict is what became of a proposal.
type verdict struct {
	version int64
	err     error
}

func newStateMachine(log *zap.Logger, changed func()) *stateMachine {
	return &stateMachine{log: log, changed: changed, charter: config.Empty(), asked: make(map[uint64]chan verdict), done: make(chan struct{})}
}

func (m *stateMachine) current() *config.Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.charter
}

// expect has the verdict on a proposal told; forget ends that.
func (m *stateMachine) expect(number uint64) <-chan verdict {
	m.mu.Lock()
	defer m.mu.Unlock()
	told := make(chan verdict, 1)
	m.asked[number] = told
	return told
}

func (m *stateMachine) forget(number uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.asked, number)
}

// command is a change as the log has it.
func command(number uint64, change *config.Change) []byte {
	return append(binary.BigEndian.AppendUint64(nil, number), change.Bytes()...)
}

// apply takes a command of the log, to be applied behind those before.
func (m *stateMachine) apply(index uint64, command []byte) {
	m.enter(settled{index: index, command: command})
}

// appliedIndex is the index up to which everything that the log handed over is applied.
func (m *stateMachine) appliedIndex() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.applied
}

// restore takes a snapshot in place of all before.
func (m *stateMachine) restore(index uint64, data []byte) {
	m.enter(settled{index: index, command: data, snapshot: true})
}

func (m *stateMachine) enter(s settled) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.queue = append(m.queue, s)
	if !m.working {
		m.working = true
		go m.work()
	}
}

// work applies what is in the queue, in order, and ends with it.
func (m *stateMachine) work() {
	for {
		m.mu.Lock()
		if len(m.queue) == 0 {
			m.working = false
			close(m.done)
			m.done = make(chan struct{})
			m.mu.Unlock()
			return
		}
		s := m.queue[0]
		m.queue = m.queue[1:]
		m.mu.Unlock()
		switch {
		case s.snapshot:
			m.replace(s.command)
		case len(s.command) > 8: // else it opens a term or changes the members
			m.settle(s.index, s.command)
		}
		m.mu.Lock()
		m.applied = max(m.applied, s.index)
		m.mu.Unlock()
	}
}

// idle waits until all is applied that the log has settled so far.
func (m *stateMachine) idle(ctx context.Context) error {
	m.mu.Lock()
	working, done := m.working, m.done
	m.mu.Unlock()
	if !working {
		return nil
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errs.New(errs.Late, "the configuration is still being read")
	}
}

// settle applies a command of the log.
func (m *stateMachine) settle(index uint64, command []byte) {
	change, err := config.ReadChange(command[8:])
	m.mu.Lock()
	outcome := config.Refused
	if err == nil {
		var next *config.Snapshot
		if next, outcome, err = m.charter.Apply(change); outcome == config.Applied {
			m.charter = next
			if m.kept = append(m.kept, change); len(m.kept) > mostKept {
				m.kept = append([]*config.Change(nil), m.kept[1:]...)
			}
		}
	}
	version := m.charter.Version()
	if outcome == config.Repeated {
		version = change.Version()
	}
	if told := m.asked[binary.BigEndian.Uint64(command)]; told != nil {
		told <- verdict{version, err}
		delete(m.asked, binary.BigEndian.Uint64(command))
	}
	m.mu.Unlock()
	if err != nil {
		m.log.Info("a change was refused", zap.Uint64("index", index), zap.Error(err))
		return
	}
	if outcome == config.Applied {
		m.log.Info("a change is in force", zap.Uint64("index", index), zap.Int64("version", version))
		m.changed()
	}
}

// replace puts a snapshot in place of what is there.
func (m *stateMachine) replace(data []byte) {
	c, err := config.Decode(data)
	if err != nil {
		m.log.Error("a snapshot that can't be read", zap.Error(err))
		return
	}
	m.mu.Lock()
	m.charter, m.kept = c, nil
	m.mu.Unlock()
	m.changed()
}

// snapshot is the state where all that the log has settled is applied; nil: not now.
func (m *stateMachine) snapshot() []byte {
	m.mu.Lock()
	c, working := m.charter, m.working
	m.mu.Unlock()
	if working {
		return nil
	}
	data, err := c.Encode()
	if err != nil {
		m.log.Error("no snapshot", zap.Error(err))
		return nil
	}
	return data
}

// Current is the version in force.
func (m *stateMachine) Current() int64 { return m.current().Version() }

// Since is the changes that lead on from a version, or false where it is none of those that are kept.
func (m *stateMachine) Since(version int64) ([]json.RawMessage, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if version == m.charter.Version() {
		return nil, true
	}
	for i, change := range m.kept {
		if change.Base() != version {
			continue
		}
		f := sidecar.Frame{Version: m.charter.Version()}
		for _, change := range m.kept[i:] {
			f.Changes = append(f.Changes, change.Bytes())
		}
		return m.frames(f)
	}
	return nil, false
}

func (m *stateMachine) frames(f sidecar.Frame) ([]json.RawMessage, bool) {
	data, err := json.Marshal(f)
	if err != nil {
		m.log.Error("a frame that can't be written", zap.Error(err))
		return nil, false
	}
	return []json.RawMessage{data}, true
}

// Whole is the whole configuration; nil: there is none.
func (m *stateMachine) Whole() json.RawMessage {
	c := m.current()
	if c.Version() == 0 {
		return nil
	}
	whole, err := c.Encode()
	if err != nil {
		m.log.Error("a configuration that can't be written", zap.Error(err))
		return nil
	}
	frames, ok := m.frames(sidecar.Frame{Version: c.Version(), Whole: whole})
	if !ok {
		return nil
	}
	return frames[0]
}

// await waits for the verdict on a proposal that the log has taken.
func await(ctx context.Context, told <-chan verdict) (int64, error) {
	select {
	case v := <-told:
		return v.version, v.err
	case <-ctx.Done():
		return 0, errs.New(errs.Late, "the change has no clear answer in time")
	}
}
