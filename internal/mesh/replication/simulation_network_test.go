package replication

import "time"

// link is a direction between two addresses.
type link struct{ from, to string }

// partitionKind says what happens to messages on a link that is cut.
type partitionKind uint8

const (
	// dropping loses them.
	dropping partitionKind = iota + 1
	// holding keeps them until the link is healed, as connections do that survive.
	holding
)

// maxHeldMessages bounds what a link holds, as a connection's buffers do.
const maxHeldMessages = 64

// network is the links between the machines.
type network struct {
	cut   map[link]partitionKind
	held  map[link][]func()
	loss  float64
	delay time.Duration
	// bitsPerSecond is a link's rate, 0 for no bound; freeAt is when a link has sent everything.
	bitsPerSecond int
	freeAt        map[link]time.Duration
}

func newNetwork() network {
	return network{
		cut: map[link]partitionKind{}, held: map[link][]func(){}, freeAt: map[link]time.Duration{},
		delay: 5 * time.Millisecond,
	}
}

// send carries a message: late, twice, out of order, or not at all. Whichever member is at the
// receiver's address on arrival gets it, as with the transport.
func (sim *simulation) send(n *machine, to MemberID, msg Message) {
	copies := 1
	if sim.loss > 0 && sim.rng.Float64() < sim.loss {
		copies = sim.rng.IntN(2) * 2
		sim.count([]string{"message lost", "", "message duplicated"}[copies])
	}
	if sim.targetedFaults {
		sim.injectTargetedFault(n, &msg)
	}
	from, way := n.id, link{n.address, to.Address()}
	for range copies {
		late := time.Millisecond + sim.randomUpTo(sim.delay)
		if sim.targetedFaults && sim.rng.IntN(30) == 0 {
			late += sim.randomUpTo(1500 * time.Millisecond)
			sim.count("message late")
		}
		if sim.bitsPerSecond > 0 {
			transmission := time.Duration(linkBytes(&msg)) * 8 * time.Second / time.Duration(sim.bitsPerSecond)
			sim.freeAt[way] = max(sim.freeAt[way], sim.now) + transmission
			late += sim.freeAt[way] - sim.now
		}
		sim.schedule(late, func() { sim.arriveOn(way, func() { sim.deliver(from, way.to, msg) }) })
	}
}

// linkBytes is about how many bytes a message takes on a link: a third more than in memory, and
// headers.
func linkBytes(msg *Message) int { return msg.payloadBytes()*4/3 + 300 }

// arriveOn delivers a message through a link, unless the link is cut by now.
func (sim *simulation) arriveOn(way link, deliver func()) {
	switch sim.cut[way] {
	case dropping:
	case holding:
		if len(sim.held[way]) < maxHeldMessages {
			sim.held[way] = append(sim.held[way], deliver)
		}
	default:
		deliver()
	}
}

func (sim *simulation) deliver(from MemberID, to string, msg Message) {
	n := sim.machineAt[to]
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

// healLinks heals the cut links for which ends is true; held messages are delivered in any order.
func (sim *simulation) healLinks(ends func(link) bool) {
	for _, from := range sim.machines {
		for _, to := range sim.machines {
			way := link{from.address, to.address}
			if sim.cut[way] == 0 || !ends(way) {
				continue
			}
			delete(sim.cut, way)
			for _, deliver := range sim.held[way] {
				sim.count("message held")
				sim.schedule(sim.randomUpTo(30*time.Millisecond), func() { sim.arriveOn(way, deliver) })
			}
			delete(sim.held, way)
		}
	}
}

func (sim *simulation) healAllLinks() { sim.healLinks(func(link) bool { return true }) }

func (sim *simulation) canReach(from, to *machine) bool {
	return sim.cut[link{from.address, to.address}] == 0
}

func (sim *simulation) randomPartitionKind() partitionKind {
	if sim.rng.IntN(2) == 0 {
		return dropping
	}
	return holding
}

// partition cuts the links between a machine and all others, in both directions or in one.
func (sim *simulation) partition(n *machine) {
	kind, ways := sim.randomPartitionKind(), sim.rng.IntN(4)
	if ways < 2 {
		sim.count("cut one way")
	} else {
		sim.count("cut both ways")
	}
	for _, other := range sim.machines {
		if ways != 0 {
			sim.cutLink(n.address, other.address, kind)
		}
		if ways != 1 {
			sim.cutLink(other.address, n.address, kind)
		}
	}
}

// splitNetwork partitions the machines into two random sides.
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
