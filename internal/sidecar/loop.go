package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"caperarch/policy"
)

const (
	countersEvery = 10 * time.Second // how often the module's counters go to the log
	eventQueue    = 256
)

// loop owns the Balancer. All of its events pass through one goroutine, in order; the other parts
// hand them over with post. Everything that must happen once a request or once an attempt, the
// final answer and the Outcome, is kept here.
type loop struct {
	clock    clock
	b        *policy.Balancer
	upstream *upstream
	watch    func() // subscribes to the list
	most     int    // attempts for one request at most

	lastID   atomic.Uint64
	events   chan func(now time.Duration)
	now      time.Duration // the time of the event under way
	requests map[policy.RequestID]*request
	hosts    map[policy.ServerID]*host // the servers that are listed and not gone
	notSent  []policy.Outcome          // owed once the event under way is over
	wakes    []time.Duration           // when Wake is due, in order
	timer    *time.Timer               // set for the first of them
}

// request is one in the table. It stays until it has its answer and all its attempts have ended.
type request struct {
	message  *message
	reply    chan<- answer
	deadline time.Duration
	attempts []*exchange // by number; nil: was not sent
	out      int         // attempts with no Outcome yet
	over     bool        // it has its final answer, or its client has gone
	timedOut bool        // its last attempt did: what a failure is called
}

// answer is the final answer of a request.
type answer struct {
	status int
	header http.Header
	body   []byte
	pause  time.Duration // refused: when to come back
}

func newLoop(cfg *Config, c clock, up *upstream) (*loop, error) {
	l := &loop{
		clock: c, upstream: up, watch: func() {}, most: cfg.Policy.MaxAttempts,
		events:   make(chan func(time.Duration), eventQueue),
		requests: make(map[policy.RequestID]*request),
		hosts:    make(map[policy.ServerID]*host),
		timer:    time.NewTimer(time.Hour),
	}
	var err error
	if l.b, err = policy.New(cfg.Policy, cfg.Seed, l); err != nil {
		return nil, err
	}
	return l, nil
}

// post hands over an event. It waits where many are under way; the loop itself never waits for
// those who post.
func (l *loop) post(event func(now time.Duration)) { l.events <- event }

// run gives the Balancer its life: start, the servers known so far, then event after event.
func (l *loop) run(ctx context.Context, known listing) {
	l.now = l.clock.now()
	l.b.Start(l.now)
	known.whole = true
	l.take(known, policy.ListCached)
	counters := time.NewTicker(countersEvery)
	defer counters.Stop()
	for {
		l.settle()
		select {
		case event := <-l.events:
			l.now = l.clock.now()
			event(l.now)
		case <-l.timer.C:
			l.now = l.clock.now()
			l.wake()
		case <-counters.C:
			slog.Info("counters", "module", fmt.Sprintf("%+v", l.b.Counters()), "upstream", l.upstream.counters())
		case <-ctx.Done():
			return
		}
	}
}

// wake calls the module once for all timers that are due.
func (l *loop) wake() {
	due := 0
	for due < len(l.wakes) && l.wakes[due] <= l.now {
		due++
	}
	if l.wakes = slices.Delete(l.wakes, 0, due); due > 0 {
		l.b.Wake(l.now)
	}
	l.setTimer()
}

func (l *loop) setTimer() {
	if len(l.wakes) > 0 {
		l.timer.Reset(l.wakes[0] - l.now)
	}
}

// settle tells the module of the sends that were not carried out. It waits until the module has
// returned, as Host's methods must not call back.
func (l *loop) settle() {
	for len(l.notSent) > 0 {
		o := l.notSent[0]
		l.notSent = l.notSent[1:]
		l.outcome(o)
	}
}

// list takes news from discovery.
func (l *loop) list(news listing) {
	kind := policy.ListDelta
	if news.whole {
		kind = policy.ListFull
	}
	l.post(func(time.Duration) { l.take(news, kind) })
}

func (l *loop) listFailed() {
	l.post(func(now time.Duration) { l.b.List(now, policy.ListFailed, nil) })
}

func (l *loop) take(news listing, kind policy.ListKind) {
	before := maps.Clone(l.hosts)
	if news.whole {
		clear(l.hosts)
	}
	for _, s := range news.servers {
		switch h, address := before[s.ID], news.address[s.ID]; {
		case s.State == policy.Gone:
			delete(l.hosts, s.ID)
		case h != nil && h.address == address:
			l.hosts[s.ID] = h
		default:
			l.hosts[s.ID] = &host{address: address}
		}
	}
	for id, h := range before {
		if l.hosts[id] != h {
			l.upstream.leave(h)
		}
	}
	l.b.List(l.now, kind, news.servers)
}

// ask takes a request on. Its final answer goes to reply, which must have room for it.
// The number that it returns names the request for gone.
func (l *loop) ask(q policy.Request, m *message, deadline time.Duration, reply chan<- answer) policy.RequestID {
	q.ID = policy.RequestID(l.lastID.Add(1))
	l.post(func(now time.Duration) {
		q.Left = deadline - now
		l.requests[q.ID] = &request{message: m, deadline: deadline, reply: reply}
		l.b.Request(now, q)
	})
	return q.ID
}

// gone takes that a request's client has closed its connection.
func (l *loop) gone(id policy.RequestID) {
	l.post(func(now time.Duration) {
		if r := l.requests[id]; r != nil && !r.over {
			l.finish(id, r, nil)
			l.b.ClientGone(now, id)
		}
	})
}

// finish ends a request with its one answer, or with none where the client has gone.
func (l *loop) finish(id policy.RequestID, r *request, a *answer) {
	r.over = true
	if a != nil {
		r.reply <- *a
	}
	if r.out == 0 {
		delete(l.requests, id)
	}
}

// outcome tells the module how an attempt ended, once for each.
func (l *loop) outcome(o policy.Outcome) {
	r := l.requests[o.ID]
	r.out--
	o.Settled = r.over
	l.b.Outcome(l.now, o)
	if r.over && r.out == 0 {
		delete(l.requests, o.ID)
	}
}

// ended takes the end of an attempt. The first answer of an upstream goes to the client at once
// and settles the request.
func (l *loop) ended(id policy.RequestID, number int, res result) {
	r := l.requests[id]
	r.timedOut = res.ending == policy.TimedOut
	if res.ending == policy.Served && !r.over {
		l.finish(id, r, &answer{status: http.StatusOK, header: res.header, body: res.body})
	}
	l.outcome(policy.Outcome{ID: id, Attempt: number, Ending: res.ending, Load: res.load})
}

// Send starts an attempt, given up after timeout or at the client's deadline. Where the request is
// over or out of attempts or time, or the server is not listed, nothing is sent.
func (l *loop) Send(id policy.RequestID, to policy.ServerID, timeout time.Duration) {
	r := l.requests[id]
	if r == nil {
		return // over, with all attempts ended: the module has forgotten it too
	}
	number, left := len(r.attempts), r.deadline-l.now
	r.out++
	h := l.hosts[to]
	if r.over || number >= l.most || left <= 0 || timeout < 0 || h == nil {
		r.attempts = append(r.attempts, nil)
		l.notSent = append(l.notSent, policy.Outcome{ID: id, Attempt: number, Ending: policy.NotSent})
		return
	}
	if timeout == 0 || timeout > left {
		timeout = left
	}
	r.attempts = append(r.attempts, l.upstream.send(h, r.message, l.now+timeout, func(res result) {
		l.post(func(time.Duration) { l.ended(id, number, res) })
	}))
}

// Refuse ends a request; trying again is harmless.
func (l *loop) Refuse(id policy.RequestID, pause time.Duration) {
	if r := l.requests[id]; r != nil && !r.over {
		l.finish(id, r, &answer{status: http.StatusServiceUnavailable, pause: pause})
	}
}

// Fail ends a request with no promise.
func (l *loop) Fail(id policy.RequestID) {
	r := l.requests[id]
	if r == nil || r.over {
		return
	}
	status := http.StatusBadGateway
	if r.timedOut || r.out > 0 {
		status = http.StatusGatewayTimeout
	}
	l.finish(id, r, &answer{status: status})
}

// Cancel calls off an attempt; its Outcome still comes.
func (l *loop) Cancel(id policy.RequestID, attempt int) {
	if r := l.requests[id]; r != nil && attempt >= 0 && attempt < len(r.attempts) && r.attempts[attempt] != nil {
		r.attempts[attempt].cancel()
	}
}

// Wake sees to a call of Balancer.Wake after d. Timers due at one moment share that call.
func (l *loop) Wake(d time.Duration) {
	due := l.now + max(d, 0)
	i, found := slices.BinarySearch(l.wakes, due)
	if found {
		return
	}
	if l.wakes = slices.Insert(l.wakes, i, due); i == 0 {
		l.setTimer()
	}
}

// Probe asks a server for a load report.
func (l *loop) Probe(to policy.ServerID) {
	told := func(ok bool, load policy.Load) {
		l.post(func(now time.Duration) { l.b.Probed(now, to, ok, load) })
	}
	h := l.hosts[to]
	if h == nil { // no longer listed; Host's methods must not call back, so from outside
		go told(false, policy.Load{})
		return
	}
	l.upstream.probe(h, l.now, told)
}

// Close closes the idle connections to a server.
func (l *loop) Close(to policy.ServerID) {
	if h := l.hosts[to]; h != nil {
		l.upstream.close(h)
	}
}

// WatchList subscribes to the server list.
func (l *loop) WatchList() { l.watch() }

// Log writes a line for the people on call.
func (l *loop) Log(line string) { slog.Info("module", "says", line) }
