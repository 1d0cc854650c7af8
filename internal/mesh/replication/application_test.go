package replication

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"
)

// memoryStorage is an in-memory Storage whose writes fail while full is set.
type memoryStorage struct {
	mu    sync.Mutex
	state State
	full  bool
}

func (d *memoryStorage) Save(p *WriteBatch) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.full {
		return errors.New("no space left on device")
	}
	d.state.applyBatch(p)
	return nil
}

func (d *memoryStorage) setFull(full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = full
}

func (d *memoryStorage) Close() error { return nil }

// application is a test application whose state is the list of applied commands.
type application struct {
	mu    sync.Mutex
	list  []string
	index Index
}

// applied returns the index of the last applied entry.
func (a *application) applied() Index {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.index
}

func (a *application) apply(index Index, cmd []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.index = index
	if len(cmd) == 0 {
		return
	}
	a.list = append(a.list, string(cmd))
}

func (a *application) restore(index Index, data []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.index = index
	a.list = strings.Split(string(data), "\n")
}

func (a *application) snapshot() []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	return []byte(strings.Join(a.list, "\n"))
}

func (a *application) commands() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.list)
}

// proposeToLeader proposes a command to the current leader until a node has committed the command. It
// returns the index of that node in nodes, or -1 if the command is not committed within 10 s.
func proposeToLeader(nodes []*Node, cmd string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		for i, n := range nodes {
			if n.Status().Leader != n.ID() {
				continue
			}
			if _, err := n.Propose(ctx, []byte(cmd)); err == nil {
				return i
			}
		}
		<-time.After(10 * time.Millisecond)
	}
	return -1
}
