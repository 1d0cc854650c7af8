package replication

import "time"

// link is the connection from one address to another, in one direction.
type link struct{ from, to string }

// partitionKind is the treatment of messages on a cut link.
type partitionKind uint8

const (
	// dropMessages loses the messages.
	dropMessages partitionKind = iota + 1
	// holdMessages delivers the messages after the link is healed, like a TCP connection that survives
	// the partition.
	holdMessages
)

// maxHeldMessages bounds the messages that a cut link holds, like the buffers of a TCP connection.
const maxHeldMessages = 64

// network is the state of the links between the machines.
type network struct {
	cut map[link]partitionKind
	// held contains the delivery functions of the messages that cut links hold.
	held map[link][]func()
	// loss is the probability that a message is lost or duplicated.
	loss float64
	// delay is the maximum random latency of a message, in addition to 1 ms.
	delay time.Duration
	// bitsPerSecond is the bandwidth of a link, or 0 if it is unlimited. freeAt is the time at which a
	// link has transmitted all its messages.
	bitsPerSecond int
	freeAt        map[link]time.Duration
}

func newNetwork() network {
	return network{
		cut: map[link]partitionKind{}, held: map[link][]func(){}, freeAt: map[link]time.Duration{},
		delay: 5 * time.Millisecond,
	}
}

// send sends a message. The message may be delayed, duplicated, reordered or lost. It is delivered to
// the member that runs at the recipient's address at the time of arrival, as with Transport.
func (sim *simulation) send(n *machine, to MemberID, msg Message) {
	copies := 1
	if sim.loss > 0 && sim.rng.Float64() < sim.loss {
		copies = sim.rng.IntN(2) * 2
		sim.count([]string{"message lost", "", "message duplicated"}[copies])
	}
	if sim.targetedFaults {
		sim.injectTargetedFault(n, &msg)
	}
	from, route := n.id, link{n.address, to.Address()}
	for range copies {
		latency := time.Millisecond + sim.randomUpTo(sim.delay)
		if sim.targetedFaults && sim.rng.IntN(30) == 0 {
			latency += sim.randomUpTo(1500 * time.Millisecond)
			sim.count("message delayed")
		}
		if sim.bitsPerSecond > 0 {
			transmission := time.Duration(linkBytes(&msg)) * 8 * time.Second / time.Duration(sim.bitsPerSecond)
			sim.freeAt[route] = max(sim.freeAt[route], sim.now) + transmission
			latency += sim.freeAt[route] - sim.now
		}
		sim.schedule(latency, func() { sim.arriveOn(route, func() { sim.deliver(from, route.to, msg) }) })
	}
}

// linkBytes returns the approximate size of a message on a link. The encoded payload is a third larger
// than in memory, and the headers have about 300 bytes.
func linkBytes(msg *Message) int { return msg.payloadBytes()*4/3 + 300 }

// arriveOn delivers a message at the end of its transmission over a link. If the link is cut, the
// message is lost or held instead.
func (sim *simulation) arriveOn(route link, deliver func()) {
	switch sim.cut[route] {
	case dropMessages:
	case holdMessages:
		if len(sim.held[route]) < maxHeldMessages {
			sim.held[route] = append(sim.held[route], deliver)
		}
	default:
		deliver()
	}
}

// deliver adds a message to the inbox of the machine at an address. The message is lost if the machine
// has no power.
func (sim *simulation) deliver(from MemberID, to string, msg Message) {
	n := sim.machineByAddress[to]
	if n == nil || n.replica == nil {
		return
	}
	n.inbox = append(n.inbox, delivery{from: from, messages: []Message{msg}, arrivedAt: sim.localTime(n)})
	if len(n.inbox) > maxQueuedDeliveries {
		n.inbox = n.inbox[1:]
	}
	sim.runMachine(n)
}

// cutLink cuts one direction of a link.
func (sim *simulation) cutLink(from, to string, kind partitionKind) {
	if from != to {
		sim.cut[link{from, to}] = kind
	}
}

// healLinks heals the cut links for which ends returns true. The messages that they hold are delivered
// in random order.
func (sim *simulation) healLinks(ends func(link) bool) {
	for _, from := range sim.machines {
		for _, to := range sim.machines {
			route := link{from.address, to.address}
			if sim.cut[route] == 0 || !ends(route) {
				continue
			}
			delete(sim.cut, route)
			for _, deliver := range sim.held[route] {
				sim.count("held message delivered")
				sim.schedule(sim.randomUpTo(30*time.Millisecond), func() { sim.arriveOn(route, deliver) })
			}
			delete(sim.held, route)
		}
	}
}

func (sim *simulation) healAllLinks() { sim.healLinks(func(link) bool { return true }) }

func (sim *simulation) canReach(from, to *machine) bool {
	return sim.cut[link{from.address, to.address}] == 0
}

func (sim *simulation) randomPartitionKind() partitionKind {
	if sim.rng.IntN(2) == 0 {
		return dropMessages
	}
	return holdMessages
}

// partition cuts the links between a machine and all other machines, in one or in both directions.
func (sim *simulation) partition(n *machine) {
	kind, directions := sim.randomPartitionKind(), sim.rng.IntN(4)
	if directions < 2 {
		sim.count("partitioned in one direction")
	} else {
		sim.count("partitioned in both directions")
	}
	for _, other := range sim.machines {
		if directions != 0 {
			sim.cutLink(n.address, other.address, kind)
		}
		if directions != 1 {
			sim.cutLink(other.address, n.address, kind)
		}
	}
}

// splitNetwork replaces all current partitions with one that divides the machines into two random
// sides.
func (sim *simulation) splitNetwork() {
	sim.count("split")
	side, kind := map[string]bool{}, sim.randomPartitionKind()
	for _, n := range sim.machines {
		side[n.address] = sim.rng.IntN(2) == 0
	}
	sim.healAllLinks()
	for _, from := range sim.machines {
		for _, to := range sim.machines {
			if side[from.address] != side[to.address] {
				sim.cutLink(from.address, to.address, kind)
			}
		}
	}
}
