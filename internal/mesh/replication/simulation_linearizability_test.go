package replication

import (
	"time"

	"github.com/anishathalye/porcupine"
)

// linearizabilityTimeout bounds porcupine's search in one history.
const linearizabilityTimeout = 10 * time.Second

// command compares a register with a value and sets it.
type command struct{ expect, set int }

func (c command) apply(register int) int {
	if register == c.expect {
		return c.set
	}
	return register
}

type inputKind uint8

const (
	compareAndSet inputKind = iota
	readRegister
)

type input struct {
	kind inputKind
	command
	id int
}

// operation is what a client did and saw.
type operation struct {
	input
	startedAt, endedAt time.Duration
	// completed says that the client got a result; value is what the read or the command found.
	completed bool
	value     int
	// dropped says that a read got no result.
	dropped bool
	// minIndex is the last entry that was acknowledged before a read began.
	minIndex Index
}

// register is the model of what clients see.
var register = porcupine.Model{
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

// checkLinearizable makes porcupine search an order of all operations that explains their results. A
// command whose client got no result either never happened, and is in no log at the end, or found
// the value on which the machines agree, between its start and when it was first applied.
func (sim *simulation) checkLinearizable() {
	var history []porcupine.Operation
	for client, op := range sim.operations {
		_, happened := sim.foundValues[op.id]
		if op.kind == readRegister && !op.completed || op.kind == compareAndSet && !op.completed && !happened {
			continue
		}
		end := int64(op.endedAt)
		if !op.completed {
			op.completed, op.value = true, sim.foundValues[op.id]
			end = int64(max(op.startedAt, sim.appliedAt[op.id]))
		}
		history = append(history, porcupine.Operation{
			ClientId: client, Input: op.input, Call: int64(op.startedAt), Output: op, Return: end,
		})
	}
	switch porcupine.CheckOperationsTimeout(register, history, linearizabilityTimeout) {
	case porcupine.Illegal:
		sim.violation("the results of %d operations are not linearizable", len(history))
	case porcupine.Unknown:
		sim.undecidedHistories++
	}
}
