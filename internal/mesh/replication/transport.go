package replication

import (
	"context"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/rpc"
)

const (
	// MessagePath is the HTTP path at which members receive messages.
	MessagePath = "/mesh/archive"
	// postTimeout is the timeout of a POST request. After that time, newer heartbeats are more useful
	// than the messages in the request.
	postTimeout = 600 * time.Millisecond
	// postTimeoutPerMiB is added to postTimeout per MiB of payload, so that large requests can be
	// transmitted over a slow link.
	postTimeoutPerMiB = time.Second
	// maxQueuedMessages bounds the messages queued for a peer that does not answer. The oldest
	// messages are dropped.
	maxQueuedMessages = 64
	// largeMessageBytes is the payload size from which a message uses the peer's queue for large
	// messages, so that heartbeats do not wait behind it.
	largeMessageBytes = 64 << 10
	// maxBodyBytes bounds the body of a POST request. The body holds one large entry or snapshot
	// chunk and some small messages. It is a third larger than the messages in memory, because JSON
	// encodes bytes as base64.
	maxBodyBytes = 64 << 20
)

// messageBatch is the body of a POST request and of its response.
type messageBatch struct {
	From     MemberID  `json:"f"`
	Messages []Message `json:"m"`
}

// Transport sends messages to the other members over HTTP. Each peer has two queues, one for small and
// one for large messages. A goroutine per queue runs while the queue has messages, and ends when the
// queue is empty or the Transport is closed. Transport is safe for concurrent use.
type Transport struct {
	self    MemberID
	client  *http.Client
	deliver func(from MemberID, messages []Message)
	log     *zap.Logger
	// ctx is canceled by Close.
	ctx    context.Context
	cancel context.CancelFunc

	// mu guards queues, and the fields pending and running of each queue.
	mu     sync.Mutex
	queues map[sendQueueKey]*sendQueue
	// running counts the goroutines that send the queues' messages.
	running sync.WaitGroup
}

type sendQueueKey struct {
	peer  MemberID
	large bool
}

// sendQueue is a queue of small or of large messages to a peer.
type sendQueue struct {
	pending []Message
	running bool
	// failed is set if the last POST request failed. Only the queue's goroutine uses it.
	failed bool
}

// NewTransport returns a Transport for the member self. It passes the messages in the peers' responses
// to deliver.
func NewTransport(
	self MemberID, client *http.Client, deliver func(from MemberID, messages []Message), log *zap.Logger,
) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	return &Transport{
		self: self, client: client, deliver: deliver, log: log,
		ctx: ctx, cancel: cancel, queues: map[sendQueueKey]*sendQueue{},
	}
}

// Close drops all queued messages, cancels requests in flight and waits for the queues' goroutines.
func (t *Transport) Close() {
	t.mu.Lock()
	t.cancel()
	t.mu.Unlock()
	t.running.Wait()
}

// Send queues messages for a peer. It does not wait for their transmission.
func (t *Transport) Send(to MemberID, messages []Message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() != nil {
		return
	}
	for i := range messages {
		t.enqueue(sendQueueKey{peer: to, large: messages[i].payloadBytes() >= largeMessageBytes}, messages[i])
	}
}

// enqueue adds a message to a queue and starts the queue's goroutine unless it is running. The caller
// must hold mu.
func (t *Transport) enqueue(key sendQueueKey, msg Message) {
	q := t.queues[key]
	if q == nil {
		q = &sendQueue{}
		t.queues[key] = q
	}
	if key.large {
		// At most one large message waits while another is in flight. A newer message replaces it.
		q.pending = q.pending[:0]
	} else if len(q.pending) >= maxQueuedMessages {
		q.pending = q.pending[1:]
	}
	q.pending = append(q.pending, msg)
	if !q.running {
		q.running = true
		t.running.Add(1)
		go t.runQueue(key, q)
	}
}

// runQueue sends the messages of a queue until the queue is empty or the Transport is closed.
func (t *Transport) runQueue(key sendQueueKey, q *sendQueue) {
	defer t.running.Done()
	for {
		batch := t.nextBatch(q)
		if batch == nil {
			return
		}
		err := t.post(key.peer, batch)
		if (err != nil) != q.failed {
			q.failed = err != nil
			t.logReachability(key.peer, err)
		}
	}
}

// nextBatch removes and returns all messages of a queue. If the queue is empty or the Transport is
// closed, nextBatch returns nil, and the queue's goroutine must end.
func (t *Transport) nextBatch(q *sendQueue) []Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	batch := q.pending
	q.pending = nil
	if len(batch) == 0 || t.ctx.Err() != nil {
		q.running = false
		return nil
	}
	return batch
}

func (t *Transport) logReachability(peer MemberID, err error) {
	if err != nil {
		t.log.Info("peer unreachable", zap.String("peer", string(peer)), zap.Error(err))
		return
	}
	t.log.Info("peer reachable again", zap.String("peer", string(peer)))
}

// post sends messages to a peer in one POST request and delivers the messages in the response.
func (t *Transport) post(peer MemberID, messages []Message) error {
	size := 0
	for i := range messages {
		size += messages[i].payloadBytes()
	}
	timeout := postTimeout + postTimeoutPerMiB*time.Duration(size>>10)/(1<<10)
	ctx, cancel := context.WithTimeout(t.ctx, timeout)
	defer cancel()
	url := "http://" + peer.Address() + MessagePath
	request := messageBatch{From: t.self, Messages: messages}
	response, err := rpc.Call[messageBatch, messageBatch](ctx, t.client, url, &request)
	if err != nil {
		return err
	}
	// The response may come from a different member than the peer, if the machine at the address has
	// a new disk.
	if response.From != "" && len(response.Messages) > 0 {
		t.deliver(response.From, response.Messages)
	}
	return nil
}

// RegisterRoutes registers the handler for messages from other members. While currentNode returns nil,
// the handler responds with an error of kind Busy.
func RegisterRoutes(mux *http.ServeMux, currentNode func() *Node) {
	rpc.Handle(mux, MessagePath, maxBodyBytes, func(r *http.Request, request *messageBatch) (*messageBatch, error) {
		node := currentNode()
		if node == nil {
			return nil, errs.New(errs.Busy, "replication: no log is held here yet")
		}
		if request.From == "" {
			return nil, errs.New(errs.Invalid, "replication: a letter without a sender")
		}
		messages := node.Exchange(r.Context(), request.From, request.Messages)
		return &messageBatch{From: node.ID(), Messages: messages}, nil
	})
}
