package replication

import (
	"encoding/binary"
	"time"
)

// proposeEverywhere proposes a command to every leader, and to some other machines, and reads there
// half of the time.
func (sim *simulation) proposeEverywhere() {
	for _, n := range sim.machines {
		if n.replica == nil || n.frozen || n.waitsForDisk || n.replica.role != leader && sim.rng.IntN(16) > 0 {
			continue
		}
		if len(n.proposed) < maxOutstanding {
			_, _ = sim.proposeTo(n)
		}
		if len(n.reading) < maxOutstanding && sim.rng.IntN(2) == 0 {
			sim.readFrom(n)
		}
		sim.runMachine(n)
	}
}

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
	n.proposed[token] = op
	return token, nil
}

func (sim *simulation) readFrom(n *machine) {
	token, err := n.replica.Read(sim.localTime(n))
	if err != nil {
		return
	}
	op := sim.beginOperation(input{kind: readRegister})
	op.minIndex = sim.acknowledgedBefore(sim.now + 1)
	n.reading[token] = op
}

// runClients proposes and reads at intervals until clientsStopped is set.
func (sim *simulation) runClients(every time.Duration) {
	if sim.clientsStopped {
		return
	}
	sim.proposeEverywhere()
	sim.schedule(every/2+sim.randomUpTo(every), func() { sim.runClients(every) })
}
