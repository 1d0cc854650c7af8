package controlplane

import (
	"context"
	"encoding/binary"
	"math/rand/v2"

	"caperarch/internal/mesh/config"
	"caperarch/internal/mesh/errs"
)

// proposalID identifies one proposal of a change, so that the member that made it recognises its
// command in the log.
type proposalID uint64

// proposalIDSize is the size in bytes of the id with which each command begins.
const proposalIDSize = 8

// proposalResult is what became of a proposal: the version in force with it, or why it was rejected.
type proposalResult struct {
	version int64
	err     error
}

func newProposalID() proposalID { return proposalID(rand.Uint64()) }

// encodeCommand is a change in its form in the log.
func encodeCommand(id proposalID, change *config.Change) []byte {
	return append(binary.BigEndian.AppendUint64(nil, uint64(id)), change.Encode()...)
}

// decodeCommand undoes encodeCommand. With an error the id is valid, too.
func decodeCommand(command []byte) (proposalID, *config.Change, error) {
	id := proposalID(binary.BigEndian.Uint64(command))
	change, err := config.DecodeChange(command[proposalIDSize:])
	return id, change, err
}

// expectResult returns a channel that receives the result of a proposal once its command has been
// applied here; forgetResult ends that.
func (m *stateMachine) expectResult(id proposalID) <-chan proposalResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	result := make(chan proposalResult, 1) // whoever sends doesn't wait for the receiver
	m.proposals[id] = result
	return result
}

func (m *stateMachine) forgetResult(id proposalID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.proposals, id)
}

// awaitResult waits for the result of a proposal that the log has committed.
func awaitResult(ctx context.Context, result <-chan proposalResult) (version int64, err error) {
	select {
	case r := <-result:
		return r.version, r.err
	case <-ctx.Done():
		return 0, errs.New(errs.DeadlineExceeded, "the change has no clear answer in time")
	}
}

// completeProposal sends the result of a proposal to whoever waits for it here.
func (m *stateMachine) completeProposal(id proposalID, r proposalResult) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if result := m.proposals[id]; result != nil {
		result <- r
		delete(m.proposals, id)
	}
}

// failProposals ends the wait for all results: their commands may be among those that a snapshot
// includes, which are never applied one by one. The caller holds the lock.
func (m *stateMachine) failProposals() {
	for id, result := range m.proposals {
		result <- proposalResult{
			err: errs.New(errs.DeadlineExceeded, "a snapshot stands in place of the verdict"),
		}
		delete(m.proposals, id)
	}
}
