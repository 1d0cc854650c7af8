package replication

import (
	"time"

	"github.com/anishathalye/porcupine"
)

// linearizabilityTimeout bounds the time of porcupine's search for one history.
const linearizabilityTimeout = 10 * time.Second

// command is a compare-and-set operation: it sets the register to set if the register equals expect.
type command struct{ expect, set int }

func (c command) apply(current int) int {
	if current == c.expect {
		return c.set
	}
	return current
}

// inputKind is the type of a client's operation.
type inputKind uint8

const (
	compareAndSet inputKind = iota
	readRegister
)

// input is a client's request. command and id are used only for compareAndSet.
type input struct {
	kind inputKind
	command
	id int
}

// operation is a client's request with its result.
type operation struct {
	input
	startedAt, endedAt time.Duration
	// completed is set if the client received a result. value is the register's value that the read
	// returned, or that the command compared with.
	completed bool
	value     int
	// dropped is set if a read ended without a result.
	dropped bool
	// minIndex is the highest index that was acknowledged before the read started.
	minIndex Index
}

// registerModel is the sequential specification of the register for porcupine.
var registerModel = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, in, out any) (bool, any) {
		op, value := out.(*operation), state.(int)
		if op.completed && op.value != value {
			return false, state
		}
		if op.kind == readRegister {
			return true, state
		}
		return true, op.apply(value)
	},
}

// checkLinearizable checks with porcupine that the history of all operations is linearizable. A command
// whose client received no result is omitted if no machine has applied it. Otherwise it observed the
// value recorded at its first application, at some time between its start and that application.
func (sim *simulation) checkLinearizable() {
	var history []porcupine.Operation
	for client, op := range sim.operations {
		_, happened := sim.observedValues[op.id]
		if op.kind == readRegister && !op.completed || op.kind == compareAndSet && !op.completed && !happened {
			continue
		}
		end := int64(op.endedAt)
		if !op.completed {
			op.completed, op.value = true, sim.observedValues[op.id]
			end = int64(max(op.startedAt, sim.appliedAt[op.id]))
		}
		history = append(history, porcupine.Operation{
			ClientId: client, Input: op.input, Call: int64(op.startedAt), Output: op, Return: end,
		})
	}
	switch porcupine.CheckOperationsTimeout(registerModel, history, linearizabilityTimeout) {
	case porcupine.Illegal:
		sim.violation("the history of %d operations is not linearizable", len(history))
	case porcupine.Unknown:
		sim.undecidedHistories++
	}
}
