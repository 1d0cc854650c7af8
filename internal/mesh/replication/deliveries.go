package replication

import (
	"context"
	"time"
)

const (
	// maxQueuedDeliveries bounds the deliveries that wait for the loop while a disk write stalls. The
	// oldest deliveries are dropped.
	maxQueuedDeliveries = 256
	// maxMessageAge is the maximum time that a message may wait for the loop. Older messages are
	// dropped, because other replicas may have elected a new leader in the meantime.
	maxMessageAge = MinElectionTimeout
)

// delivery is a set of messages received from a member.
type delivery struct {
	from      MemberID
	messages  []Message
	arrivedAt time.Duration
	// response receives the messages for the sender if the delivery comes from Exchange. It is nil
	// otherwise.
	response chan []Message
}

// Deliver queues messages from a member for processing in the loop. It never blocks. If the queue is
// full, the oldest delivery is dropped.
func (n *Node) Deliver(from MemberID, messages []Message) {
	n.enqueue(delivery{from: from, messages: messages})
}

// Exchange delivers messages from a member and returns the messages that the replica has for that
// member after processing them, so that an answer needs no separate request. It returns nil if there
// are none, if ctx is done or if the node is closed.
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

// enqueue adds a delivery to the inbox and wakes the loop. If the inbox is full, enqueue drops the oldest
// delivery and ends its exchange without messages.
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

// receive passes the messages of a delivery to the replica, unless the delivery is older than
// maxMessageAge.
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

// openExchange registers the response channel of a sender's exchange. An earlier open exchange of the
// same sender ends without messages.
func (n *Node) openExchange(from MemberID, response chan []Message) {
	if older := n.openExchanges[from]; older != nil {
		close(older)
	}
	n.openExchanges[from] = response
}

// closeExchanges ends the remaining open exchanges without messages.
func (n *Node) closeExchanges() {
	for from, response := range n.openExchanges {
		close(response)
		delete(n.openExchanges, from)
	}
}

// sendMessages groups messages by recipient, in their original order, and sends them. Messages for a
// member with an open exchange are returned by that exchange. sendMessages clears the recipients in
// out.
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
				out[j].To = "" // mark as sent
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
