package replication

import (
	"encoding/binary"
	"time"
)

// issueClientRequests proposes a command to every leader and, with a probability of 1/16, to each other
// machine. In half of the cases it also starts a read on the same machine.
func (sim *simulation) issueClientRequests() {
	for _, n := range sim.machines {
		if n.replica == nil || n.frozen || n.waitingForDisk || n.replica.role != leader && sim.rng.IntN(16) > 0 {
			continue
		}
		if len(n.pendingProposals) < maxOutstanding {
			_, _ = sim.proposeTo(n)
		}
		if len(n.pendingReads) < maxOutstanding && sim.rng.IntN(2) == 0 {
			sim.readFrom(n)
		}
		sim.runMachine(n)
	}
}

// proposeTo proposes a command to a machine. The command compares the register with its value on the
// machine, or in one of four cases with an older value.
func (sim *simulation) proposeTo(n *machine) (token Token, err error) {
	c := command{expect: n.register, set: len(sim.commands) + 1}
	if sim.rng.IntN(4) == 0 {
		c.expect = max(0, c.expect-sim.rng.IntN(5))
	}
	data := make([]byte, 8+sim.commandPadding)
	binary.BigEndian.PutUint64(data, uint64(len(sim.commands)))
	token, err = n.replica.Propose(sim.localTime(n), data)
	if err != nil {
		return token, err
	}
	op := sim.beginOperation(input{kind: compareAndSet, command: c, id: len(sim.commands)})
	sim.commands = append(sim.commands, c)
	n.pendingProposals[token] = op
	return token, nil
}

// readFrom starts a read on a machine.
func (sim *simulation) readFrom(n *machine) {
	token, err := n.replica.Read(sim.localTime(n))
	if err != nil {
		return
	}
	op := sim.beginOperation(input{kind: readRegister})
	op.minIndex = sim.acknowledgedBefore(sim.now + 1)
	n.pendingReads[token] = op
}

// runClients issues client requests at random intervals with the mean every, until clientsStopped is
// set.
func (sim *simulation) runClients(every time.Duration) {
	if sim.clientsStopped {
		return
	}
	sim.issueClientRequests()
	sim.schedule(every/2+sim.randomUpTo(every), func() { sim.runClients(every) })
}
