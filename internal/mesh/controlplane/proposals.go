package controlplane

import (
	"context"
	"encoding/binary"
	"math/rand/v2"

	"caperarch/internal/mesh/config"
	"caperarch/internal/mesh/errs"
)

// proposalID identifies one proposal of a change. The member that made the proposal finds its command in
// the log by this ID.
type proposalID uint64

// proposalIDSize is the size in bytes of the proposal ID at the start of each command.
const proposalIDSize = 8

// proposalResult is the result of a proposal: the version of the change if it was applied, or the error
// with which the state machine rejected it.
type proposalResult struct {
	version int64
	err     error
}

func newProposalID() proposalID { return proposalID(rand.Uint64()) }

// encodeCommand returns the log command for a change: the proposal ID followed by the encoded change.
func encodeCommand(id proposalID, change *config.Change) []byte {
	return append(binary.BigEndian.AppendUint64(nil, uint64(id)), change.Encode()...)
}

// decodeCommand decodes a command made by encodeCommand. The ID is valid even if the error is not nil.
func decodeCommand(command []byte) (proposalID, *config.Change, error) {
	id := proposalID(binary.BigEndian.Uint64(command))
	change, err := config.DecodeChange(command[proposalIDSize:])
	return id, change, err
}

// expectResult returns a channel that receives the result of a proposal once this member has applied its
// command. The caller calls forgetResult when it no longer waits for the result.
func (m *stateMachine) expectResult(id proposalID) <-chan proposalResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	result := make(chan proposalResult, 1) // buffered, so that sending the result never blocks
	m.proposals[id] = result
	return result
}

func (m *stateMachine) forgetResult(id proposalID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.proposals, id)
}

// awaitResult waits for the result of a proposal whose command has been committed. The error is of kind
// DeadlineExceeded if ctx ends first.
func awaitResult(ctx context.Context, result <-chan proposalResult) (version int64, err error) {
	select {
	case r := <-result:
		return r.version, r.err
	case <-ctx.Done():
		return 0, errs.New(errs.DeadlineExceeded, "the change has no clear answer in time")
	}
}

// completeProposal sends the result of a proposal to the goroutine on this member that waits for the
// result, if there is one.
func (m *stateMachine) completeProposal(id proposalID, r proposalResult) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if result := m.proposals[id]; result != nil {
		result <- r
		delete(m.proposals, id)
	}
}

// failProposals sends an error to all goroutines that wait for a result. A restored snapshot may include
// the commands of their proposals, and such commands are never applied one by one. The caller holds mu.
func (m *stateMachine) failProposals() {
	for id, result := range m.proposals {
		result <- proposalResult{
			err: errs.New(errs.DeadlineExceeded, "a snapshot stands in place of the verdict"),
		}
		delete(m.proposals, id)
	}
}
