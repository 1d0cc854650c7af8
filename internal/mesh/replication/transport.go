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
	// Path is where members receive messages.
	Path = "/mesh/archive"
	// postTimeout is how long a post may take: after it, the next heartbeats are of more use.
	postTimeout = 600 * time.Millisecond
	// postTimeoutPerMiB is added for large posts, so that they get through a narrow link at all.
	postTimeoutPerMiB = time.Second
	// maxQueuedMessages bounds the messages that wait for a peer that doesn't answer; the oldest
	// are dropped.
	maxQueuedMessages = 64
	// largeMessageBytes is the size from which a message goes on the peer's second lane, so that
	// heartbeats don't wait behind it.
	largeMessageBytes = 64 << 10
	// maxBodyBytes bounds the body of a post on the link, where it is a third larger than in
	// memory: one large entry or snapshot chunk, and the messages beside it.
	maxBodyBytes = 64 << 20
)

// messageBatch is the body of a post and of its response.
type messageBatch struct {
	From     MemberID  `json:"f"`
	Messages []Message `json:"m"`
}

// Transport carries messages to the other members by HTTP. Each peer has two lanes, for small and
// for large messages; each lane has a goroutine while there is something to send, which ends with
// the queue or with Close. The methods may be called from any goroutine.
type Transport struct {
	self    MemberID
	client  *http.Client
	deliver func(from MemberID, messages []Message)
	log     *zap.Logger
	// ctx ends with Close.
	ctx    context.Context
	cancel context.CancelFunc

	// mu guards lanes, and queue and running of each.
	mu    sync.Mutex
	lanes map[laneKey]*lane
	// running counts the lanes' goroutines.
	running sync.WaitGroup
}

type laneKey struct {
	peer  MemberID
	large bool
}

// lane is a queue of messages to a peer.
type lane struct {
	queue   []Message
	running bool
	// failed says that the last post failed; the lane's goroutine alone uses it.
	failed bool
}

// NewTransport returns a Transport for the member self. Messages in the peers' responses go to
// deliver.
func NewTransport(
	self MemberID, client *http.Client, deliver func(from MemberID, messages []Message), log *zap.Logger,
) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	return &Transport{
		self: self, client: client, deliver: deliver, log: log,
		ctx: ctx, cancel: cancel, lanes: map[laneKey]*lane{},
	}
}

// Close drops the queues, cancels posts in flight and waits for the lanes' goroutines.
func (t *Transport) Close() {
	t.mu.Lock()
	t.cancel()
	t.mu.Unlock()
	t.running.Wait()
}

// Send queues messages for a peer and returns at once.
func (t *Transport) Send(to MemberID, messages []Message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() != nil {
		return
	}
	for i := range messages {
		t.enqueue(laneKey{peer: to, large: messages[i].payloadBytes() >= largeMessageBytes}, messages[i])
	}
}

// enqueue adds a message to a lane, and starts the lane's goroutine where none runs. The caller
// holds mu.
func (t *Transport) enqueue(key laneKey, msg Message) {
	l := t.lanes[key]
	if l == nil {
		l = &lane{}
		t.lanes[key] = l
	}
	if key.large {
		// One large message is in flight at a time; a newer one replaces one that waits.
		l.queue = l.queue[:0]
	} else if len(l.queue) >= maxQueuedMessages {
		l.queue = l.queue[1:]
	}
	l.queue = append(l.queue, msg)
	if !l.running {
		l.running = true
		t.running.Add(1)
		go t.runLane(key, l)
	}
}

// runLane posts what waits on a lane until nothing does.
func (t *Transport) runLane(key laneKey, l *lane) {
	defer t.running.Done()
	for {
		batch := t.nextBatch(l)
		if batch == nil {
			return
		}
		err := t.post(key.peer, batch)
		if (err != nil) != l.failed {
			l.failed = err != nil
			t.logReachability(key.peer, err)
		}
	}
}

// nextBatch removes and returns what waits on a lane. It returns nil, and the lane's goroutine must
// end, when nothing does or the transport is closed.
func (t *Transport) nextBatch(l *lane) []Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	batch := l.queue
	l.queue = nil
	if len(batch) == 0 || t.ctx.Err() != nil {
		l.running = false
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

// post sends messages to a peer and delivers those in its response.
func (t *Transport) post(peer MemberID, messages []Message) error {
	size := 0
	for i := range messages {
		size += messages[i].payloadBytes()
	}
	timeout := postTimeout + postTimeoutPerMiB*time.Duration(size>>10)/(1<<10)
	ctx, cancel := context.WithTimeout(t.ctx, timeout)
	defer cancel()
	url := "http://" + peer.Address() + Path
	request := messageBatch{From: t.self, Messages: messages}
	response, err := rpc.Call[messageBatch, messageBatch](ctx, t.client, url, &request)
	if err != nil {
		return err
	}
	// Another replica may be at the address by now, and answers in its own name.
	if response.From != "" && len(response.Messages) > 0 {
		t.deliver(response.From, response.Messages)
	}
	return nil
}

// RegisterRoutes serves messages from the other members. While currentNode returns nil, they get an
// error of kind Busy.
func RegisterRoutes(mux *http.ServeMux, currentNode func() *Node) {
	rpc.Handle(mux, Path, maxBodyBytes, func(r *http.Request, request *messageBatch) (*messageBatch, error) {
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
