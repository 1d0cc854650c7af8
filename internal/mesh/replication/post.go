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
	// postPerMiB is added for large ones, so that they get through a narrow link at all.
	postPerMiB = time.Second
	// maxQueue bounds the messages that wait for a peer that doesn't answer; the oldest give way.
	maxQueue = 64
	// large is the size from which a message goes on the peer's second lane,
	// so that beats don't wait behind it.
	large = 64 << 10
	// maxBody bounds what a post may hold, as bytes on the link (a third more
	// than as bytes in memory): one large entry or snapshot and what rides along.
	maxBody = 64 << 20
)

// letter is what one post carries, both ways.
type letter struct {
	From     string    `json:"f"`
	Messages []Message `json:"m"`
}

// Post carries messages to the other members by HTTP. Each peer has two
// lanes, for small messages and large ones, each with a goroutine of its own
// that lives while there is something to send.
type Post struct {
	self    string
	client  *http.Client
	deliver func(from string, msgs []Message)
	log     *zap.Logger
	ctx     context.Context
	cancel  context.CancelFunc

	mu    sync.Mutex
	lanes map[laneKey]*lane
	busy  sync.WaitGroup
}

type laneKey struct {
	peer  string
	large bool
}

type lane struct {
	queue   []Message
	running bool
	failed  bool
}

// NewPost returns a Post for the member self. What peers answer goes to deliver.
func NewPost(self string, client *http.Client, deliver func(from string, msgs []Message), log *zap.Logger) *Post {
	ctx, cancel := context.WithCancel(context.Background())
	return &Post{self: self, client: client, deliver: deliver, log: log, ctx: ctx, cancel: cancel, lanes: map[laneKey]*lane{}}
}

// Close drops what waits and returns once nothing is on its way.
func (p *Post) Close() {
	p.mu.Lock()
	p.cancel()
	p.mu.Unlock()
	p.busy.Wait()
}

// Send queues messages for a peer and returns at once.
func (p *Post) Send(to string, msgs []Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return
	}
	for i := range msgs {
		key := laneKey{peer: to, large: msgs[i].size() >= large}
		l := p.lanes[key]
		if l == nil {
			l = &lane{}
			p.lanes[key] = l
		}
		if key.large {
			// One large message is on its way at a time; a newer one replaces one that waits.
			l.queue = l.queue[:0]
		} else if len(l.queue) >= maxQueue {
			l.queue = l.queue[1:]
		}
		l.queue = append(l.queue, msgs[i])
		if !l.running {
			l.running = true
			p.busy.Add(1)
			go p.run(key, l)
		}
	}
}

// run posts what waits on a lane until nothing does.
func (p *Post) run(key laneKey, l *lane) {
	defer p.busy.Done()
	for {
		p.mu.Lock()
		batch := l.queue
		l.queue = nil
		if len(batch) == 0 || p.ctx.Err() != nil {
			l.running = false
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
		err := p.post(key.peer, batch)
		if (err != nil) != l.failed {
			l.failed = err != nil
			p.log.Info("the archive's post to a member", zap.String("peer", key.peer), zap.Bool("arrives", err == nil), zap.Error(err))
		}
	}
}

func (p *Post) post(peer string, batch []Message) error {
	size := 0
	for i := range batch {
		size += batch[i].size()
	}
	timeout := postTimeout + postPerMiB*time.Duration(size>>10)/(1<<10)
	ctx, cancel := context.WithTimeout(p.ctx, timeout)
	defer cancel()
	answer, err := rpc.Call[letter, letter](ctx, p.client, "http://"+peer+Path, &letter{From: p.self, Messages: batch})
	if err != nil {
		return err
	}
	if answer.From == peer && len(answer.Messages) > 0 {
		p.deliver(peer, answer.Messages)
	}
	return nil
}

// Register serves the node's side of the post. While held gives none, nothing is taken.
func Register(mux *http.ServeMux, held func() *Node) {
	rpc.Handle(mux, Path, maxBody, func(r *http.Request, q *letter) (*letter, error) {
		node := held()
		if node == nil {
			return nil, errs.New(errs.Busy, "archive: no log is held here yet")
		}
		if q.From == "" {
			return nil, errs.New(errs.Invalid, "archive: a letter without a sender")
		}
		return &letter{From: node.cfg.ID, Messages: node.Exchange(r.Context(), q.From, q.Messages)}, nil
	})
}
