package replication

import "time"

// link is a direction between two addresses.
type link struct{ from, to string }

// cutKind says what becomes of messages on a link that is cut.
type cutKind uint8

const (
	// dropping loses them.
	dropping cutKind = iota + 1
	// holding keeps them till the cut heals, as connections do that live through it.
	holding
)

// maxHeld bounds what a link holds, as a connection's buffers do.
const maxHeld = 64

// network is the links between the machines.
type network struct {
	cut   map[link]cutKind
	held  map[link][]func()
	loss  float64
	delay time.Duration
	// bits is a link's rate in bits a second, 0 for no bound; free is when a link has sent all.
	bits int
	free map[link]time.Duration
}

func newNetwork() network {
	return network{
		cut: map[link]cutKind{}, held: map[link][]func(){}, free: map[link]time.Duration{},
		delay: 5 * time.Millisecond,
	}
}

// send carries a message: late, twice, out of order, or not at all. It goes to whoever is at the
// receiver's address when it comes, as the transport does it.
func (w *world) send(n *machine, to MemberID, msg Message) {
	copies := 1
	if w.loss > 0 && w.rng.Float64() < w.loss {
		copies = w.rng.IntN(2) * 2
		w.count([]string{"message lost", "", "message doubled"}[copies])
	}
	if w.spite {
		w.spiteAfter(n, &msg)
	}
	from, way := n.id, link{n.address, to.Address()}
	for range copies {
		late := time.Millisecond + w.upTo(w.delay)
		if w.spite && w.rng.IntN(30) == 0 {
			late += w.upTo(1500 * time.Millisecond)
			w.count("message late")
		}
		if w.bits > 0 {
			w.free[way] = max(w.free[way], w.now) + time.Duration(onLink(&msg))*8*time.Second/time.Duration(w.bits)
			late += w.free[way] - w.now
		}
		w.after(late, func() { w.arrive(way, func() { w.deliver(from, way.to, msg) }) })
	}
}

// onLink is about how many bytes a message takes on a link: a third more than in memory, and headers.
func onLink(msg *Message) int { return msg.payloadBytes()*4/3 + 300 }

// arrive has a message through a link as it is now.
func (w *world) arrive(way link, deliver func()) {
	switch w.cut[way] {
	case dropping:
	case holding:
		if len(w.held[way]) < maxHeld {
			w.held[way] = append(w.held[way], deliver)
		}
	default:
		deliver()
	}
}

func (w *world) deliver(from MemberID, to string, msg Message) {
	n := w.at[to]
	if n == nil || n.replica == nil {
		return
	}
	n.inbox = append(n.inbox, delivery{from: from, messages: []Message{msg}, arrivedAt: w.clock(n)})
	if len(n.inbox) > maxQueuedDeliveries {
		n.inbox = n.inbox[1:]
	}
	w.pump(n)
}

// cutLink cuts one direction, by lot so that messages are lost or held up.
func (w *world) cutLink(from, to string, kind cutKind) {
	if from != to {
		w.cut[link{from, to}] = kind
	}
}

// healLinks ends the cuts for which ends is true; what was held up comes, in its order or not.
func (w *world) healLinks(ends func(link) bool) {
	for _, from := range w.machines {
		for _, to := range w.machines {
			way := link{from.address, to.address}
			if w.cut[way] == 0 || !ends(way) {
				continue
			}
			delete(w.cut, way)
			for _, deliver := range w.held[way] {
				w.count("message held up")
				w.after(w.upTo(30*time.Millisecond), func() { w.arrive(way, deliver) })
			}
			delete(w.held, way)
		}
	}
}

func (w *world) healAllLinks() { w.healLinks(func(link) bool { return true }) }

func (w *world) reaches(from, to *machine) bool { return w.cut[link{from.address, to.address}] == 0 }

func (w *world) cutKind() cutKind {
	if w.rng.IntN(2) == 0 {
		return dropping
	}
	return holding
}

// isolate cuts a machine off from all others, in both directions or in one.
func (w *world) isolate(n *machine) {
	kind, ways := w.cutKind(), w.rng.IntN(4)
	if ways < 2 {
		w.count("cut one way")
	} else {
		w.count("cut both ways")
	}
	for _, other := range w.machines {
		if ways != 0 {
			w.cutLink(n.address, other.address, kind)
		}
		if ways != 1 {
			w.cutLink(other.address, n.address, kind)
		}
	}
}

// split parts the machines into two sides that don't hear each other, chosen by lot.
func (w *world) split() {
	w.count("split")
	side, kind := map[string]bool{}, w.cutKind()
	for _, n := range w.machines {
		side[n.address] = w.rng.IntN(2) == 0
	}
	w.healAllLinks()
	for _, from := range w.machines {
		for _, to := range w.machines {
			if side[from.address] != side[to.address] {
				w.cutLink(from.address, to.address, kind)
			}
		}
	}
}
