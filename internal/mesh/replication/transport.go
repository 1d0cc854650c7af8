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
	// Path is where members take messages.
	Path = "/mesh/archive"
	// postTimeout is how long a post may take: beyond it, the next beats are of more use than this one.
	postTimeout = 600 * time.Millisecond
	// postTimeoutPerMiB is added for large ones, so that they get through a narrow link at all.
	postTimeoutPerMiB = time.Second
	// maxQueuedMessages bounds the messages that wait for a peer that doesn't answer; the oldest give way.
	maxQueuedMessages = 64
	// largeMessageBytes is the size from which a message goes on the peer's second lane,
	// so that beats don't wait behind it.
	largeMessageBytes = 64 << 10
	// maxBodyBytes bounds what a post may hold, as bytes on the link (a third more
	// than as bytes in memory): one large entry or snapshot and what rides along.
	maxBodyBytes = 64 << 20
)

// messageBatch is what one post carries, both ways.
type messageBatch struct {
	From     MemberID  `json:"f"`
	Messages []Message `json:"m"`
}

// Transport carries messages to the other members by HTTP. Each peer has two
// lanes, for small messages and large ones, each with a goroutine of its own
// that lives while there is something to send.
type Transport struct {
	self    MemberID
	client  *http.Client
	deliver func(from MemberID, msgs []Message)
	log     *zap.Logger
	ctx     context.Context
	cancel  context.CancelFunc

	mu      sync.Mutex
	lanes   map[laneKey]*lane
	running sync.WaitGroup
}

type laneKey struct {
	peer  MemberID
	large bool
}

type lane struct {
	queue   []Message
	running bool
	failed  bool
}

// NewTransport returns a Transport for the member self. What peers answer goes to deliver.
func NewTransport(self MemberID, client *http.Client, deliver func(from MemberID, msgs []Message), log *zap.Logger) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	return &Transport{self: self, client: client, deliver: deliver, log: log, ctx: ctx, cancel: cancel, lanes: map[laneKey]*lane{}}
}

// Close drops what waits and returns once nothing is on its way.
func (t *Transport) Close() {
	t.mu.Lock()
	t.cancel()
	t.mu.Unlock()
	t.running.Wait()
}

// Send queues messages for a peer and returns at once.
func (t *Transport) Send(to MemberID, msgs []Message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() != nil {
		return
	}
	for i := range msgs {
		key := laneKey{peer: to, large: msgs[i].payloadBytes() >= largeMessageBytes}
		l := t.lanes[key]
		if l == nil {
			l = &lane{}
			t.lanes[key] = l
		}
		if key.large {
			// One large message is on its way at a time; a newer one replaces one that waits.
			l.queue = l.queue[:0]
		} else if len(l.queue) >= maxQueuedMessages {
			l.queue = l.queue[1:]
		}
		l.queue = append(l.queue, msgs[i])
		if !l.running {
			l.running = true
			t.running.Add(1)
			go t.runLane(key, l)
		}
	}
}

// runLane posts what waits on a lane until nothing does.
func (t *Transport) runLane(key laneKey, l *lane) {
	defer t.running.Done()
	for {
		t.mu.Lock()
		batch := l.queue
		l.queue = nil
		if len(batch) == 0 || t.ctx.Err() != nil {
			l.running = false
			t.mu.Unlock()
			return
		}
		t.mu.Unlock()
		err := t.post(key.peer, batch)
		if (err != nil) != l.failed {
			l.failed = err != nil
			t.log.Info("messages to a member", zap.String("peer", string(key.peer)), zap.Bool("arrives", err == nil), zap.Error(err))
		}
	}
}

func (t *Transport) post(peer MemberID, batch []Message) error {
	size := 0
	for i := range batch {
		size += batch[i].payloadBytes()
	}
	timeout := postTimeout + postTimeoutPerMiB*time.Duration(size>>10)/(1<<10)
	ctx, cancel := context.WithTimeout(t.ctx, timeout)
	defer cancel()
	answer, err := rpc.Call[messageBatch, messageBatch](ctx, t.client, "http://"+peer.Address()+Path, &messageBatch{From: t.self, Messages: batch})
	if err != nil {
		return err
	}
	// Another replica than was meant may be there now, and answers in its own name.
	if answer.From != "" && len(answer.Messages) > 0 {
		t.deliver(answer.From, answer.Messages)
	}
	return nil
}

// RegisterRoutes serves the node's side of the post. While held gives none, nothing is taken.
func RegisterRoutes(mux *http.ServeMux, currentNode func() *Node) {
	rpc.Handle(mux, Path, maxBodyBytes, func(r *http.Request, request *messageBatch) (*messageBatch, error) {
		node := currentNode()
		if node == nil {
			return nil, errs.New(errs.Busy, "replication: no log is held here yet")
		}
		if request.From == "" {
			return nil, errs.New(errs.Invalid, "replication: a letter without a sender")
		}
		return &messageBatch{From: node.ID(), Messages: node.Exchange(r.Context(), request.From, request.Messages)}, nil
	})
}
