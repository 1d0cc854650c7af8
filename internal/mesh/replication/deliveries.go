package replication

import (
	"context"
	"time"
)

const (
	// maxQueuedDeliveries bounds the deliveries that wait while the disk stalls; the oldest are
	// dropped.
	maxQueuedDeliveries = 256
	// maxMessageAge is the age at which a message that waited for the loop is dropped: other
	// replicas may have elected a new leader since.
	maxMessageAge = MinElectionTimeout
)

// delivery is messages that arrived from a member.
type delivery struct {
	from      MemberID
	messages  []Message
	arrivedAt time.Duration
	// response, when not nil, receives the messages for the sender.
	response chan []Message
}

// Deliver processes messages from a member in the loop. It never blocks; when too many wait, the
// oldest are dropped.
func (n *Node) Deliver(from MemberID, messages []Message) {
	n.enqueue(delivery{from: from, messages: messages})
}

// Exchange is Deliver, and returns the messages that are ready for the sender right away, so that a
// response needs no connection of its own. It returns nil where there are none, and when ctx or the
// node ends.
func (n *Node) Exchange(ctx context.Context, from MemberID, messages []Message) []Message {
	d := delivery{from: from, messages: messages, response: make(chan []Message, 1)}
	n.enqueue(d)
	select {
	case response := <-d.response:
		return response
	case <-ctx.Done():
	case <-n.done:
	}
	return nil
}

func (n *Node) enqueue(d delivery) {
	d.arrivedAt = n.now()
	n.mu.Lock()
	if len(n.inbox) >= maxQueuedDeliveries {
		if oldest := n.inbox[0].response; oldest != nil {
			close(oldest)
		}
		n.inbox = n.inbox[1:]
	}
	n.inbox = append(n.inbox, d)
	n.mu.Unlock()
	n.wakeLoop()
}

// receive passes a delivery to the replica, unless it is too old.
func (n *Node) receive(now time.Duration, d *delivery) {
	if d.response != nil {
		n.openExchange(d.from, d.response)
	}
	if now-d.arrivedAt > maxMessageAge {
		return
	}
	for i := range d.messages {
		n.replica.Step(now, d.from, d.messages[i])
	}
}

// openExchange keeps the newest exchange of a sender; an older one ends without a response.
func (n *Node) openExchange(from MemberID, response chan []Message) {
	if older := n.openExchanges[from]; older != nil {
		close(older)
	}
	n.openExchanges[from] = response
}

// closeExchanges ends the exchanges for whose senders there are no messages.
func (n *Node) closeExchanges() {
	for from, response := range n.openExchanges {
		close(response)
		delete(n.openExchanges, from)
	}
}

// sendMessages sends messages grouped by receiver, in their order. Those for a member whose exchange
// is open are returned by it.
func (n *Node) sendMessages(out []Envelope) {
	for i := 0; i < len(out); i++ {
		to := out[i].To
		if to == "" {
			continue
		}
		var messages []Message
		for j := i; j < len(out); j++ {
			if out[j].To == to {
				messages = append(messages, out[j].Message)
				out[j].To = "" // sent
			}
		}
		if response := n.openExchanges[to]; response != nil {
			response <- messages
			delete(n.openExchanges, to)
			continue
		}
		n.config.Send(to, messages)
	}
}
