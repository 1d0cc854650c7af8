package http1

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/h1"
	"caperarch/internal/proxy/metrics"
	"caperarch/policy"
)

// Where a Dialect says so, requests that come behind one that is still open (RFC 9112, 9.3.2) are worked on at the same time, and answered in their order.
//
// It is still the connection's one goroutine that reads, asks and answers: while it waits for the reply whose turn it is, it also waits for c.more, on which the
// watcher tells that bytes have come, and reads those without waiting. So scratch, line and books have one user, and a connection needs no second goroutine. Only
// while an answer is passed on as it comes the goroutine is busy with that; then the one that pass has for the client's leaving reads on, and is waited for.
//
// The watcher's word costs a wake-up for each request, so it is asked for only where it is of use: on a new connection, and on one whose client was seen to
// pipeline (bytes of the next request came with a head, or were there when its answer had been written). After aloneMost answers with nothing behind them the
// connection is one of those again that cost nothing beyond a look at a nil channel.

const (
	// aheadMost bounds how many requests are open on a connection behind the one whose turn it is: one client must not take the places of all, and answers that
	// wait for their turn are held in memory.
	aheadMost = 8
	// aloneMost is how many answers in a row have nothing behind them before a client is taken for one that does not pipeline: the watcher must not be woken for all requests for good.
	aloneMost = 4
	// dropAfter is when a request that was called off is looked at once more: an answer that crossed that may hold a server's connection. The engine takes what it is told in far less.
	dropAfter = 5 * time.Second
)

// open is a request that is taken on and has no answer yet.
type open struct {
	t      *Target
	counts *metrics.Class
	walls  *SharedLimits // nil: there are none
	size   int64         // of what is held of its body
	number policy.RequestID
	reply  chan call.Answer

	counted bool // it has its place at the target
	taken   bool // it has all its places
}

// enter takes the place for being read, or says that there is none.
func (o *open) enter() bool { return o.walls == nil || (*o.walls).BeginRead() }

// exit gives it back.
func (o *open) exit() {
	if o.walls != nil {
		(*o.walls).EndRead()
	}
}

// room says whether take would find places now.
func (o *open) room() bool {
	return o.t.room(1, o.size) && (o.walls == nil || (*o.walls).HasCapacity(o.size))
}

// take takes its places, or says that one is missing; give is called either way.
func (o *open) take(f *Front) bool {
	if o.counted = o.t.take(o.size); !o.counted || o.walls != nil && !(*o.walls).Reserve(o.size) {
		return false
	}
	o.taken = true
	f.held.Add(1)
	o.counts.Began()
	return true
}

// give gives back what it has taken.
func (o *open) give(f *Front) {
	if o.taken {
		o.counts.Ended()
		f.held.Add(-1)
		if o.walls != nil {
			(*o.walls).Release(o.size)
		}
	}
	if o.counted {
		o.t.give(o.size)
	}
}

// look is what a request says of itself.
type look struct {
	t    *Target // nil: it goes nowhere, bad says why
	q    policy.Request
	left time.Duration
	bad  *Rejection
}

// slot is a place in a line.
type slot struct {
	open
	head h1.Head
}

// line is what is open on a connection behind the request whose turn it is. A connection has one only from the first such request until it rests.
type line struct {
	slots   [aheadMost]slot
	first   int // whose turn is next
	n       int // that are open
	parser  h1.Parser
	blocked bool // what comes next waits until all that is open has its answer, and is served alone
	seen    bool // that was looked at already: a second look would count twice, at a quota for one
	look    look // what it said
}

// lines are those that no connection has.
var lines = sync.Pool{New: func() any { return new(line) }}

// pop takes the oldest off.
func (l *line) pop() *slot {
	s := &l.slots[l.first]
	l.first = (l.first + 1) % aheadMost
	l.n--
	return s
}

func (l *line) free() {
	for i := range l.slots {
		s := &l.slots[i]
		clear(s.head.Fields)
		*s = slot{head: h1.Head{Fields: s.head.Fields[:0]}}
	}
	*l = line{slots: l.slots} // the next connection sets its own limit
	lines.Put(l)
}

// waiting says whether requests are open behind the one whose turn it is.
func (c *conn) waiting() bool { return c.line != nil && c.line.n > 0 }

// freeLine gives the line back. Nothing is open in it.
func (c *conn) freeLine() {
	if c.line != nil {
		c.line.free()
		c.line = nil
	}
}

// unblock has what the line waits with come next.
func (c *conn) unblock() {
	if c.line != nil {
		c.line.blocked = false
		c.line.parser.Reset()
	}
}

// look takes what a request says of itself, once.
func (c *conn) look(h *h1.Head) look {
	if c.line != nil && c.line.seen {
		v := c.line.look
		c.line.seen, c.line.look = false, look{}
		return v
	}
	f := c.front
	t, bad := f.cfg.Route(h)
	if bad != nil {
		return look{bad: bad}
	}
	v := look{t: t}
	v.q, v.left, v.bad = t.read(f.cfg.Dialect, h)
	return v
}

// message is a request as it goes on, but for its body. The head's strings are its own; the rest of the head is used again for what follows.
func (c *conn) message(h *h1.Head, q *policy.Request) *call.Message {
	m := &call.Message{Method: h.Method, URI: h.Target, Host: h.Host, Header: h.EndToEnd(), Stream: true}
	if d := c.front.cfg.Dialect; d != nil {
		d.RewriteHeaders(q, m.Header)
	}
	return m
}

// single says whether a request is its head alone and leaves its connection open.
func single(h *h1.Head) bool { return h.Length <= 0 && !h.Chunked && !h.ExpectContinue && !h.Close }

// alongside says whether a request may be open together with others of its connection. A shared front reads nothing ahead: what it reads waits for its permit.
func (c *conn) alongside(h *h1.Head, q *policy.Request) bool {
	d := c.front.cfg.Dialect
	return d != nil && d.CanPipeline != nil && c.front.gate.Load() == nil && single(h) && d.CanPipeline(q)
}

// readAhead takes on what has come behind the requests that are open, and says whether that was something. It never waits. It is called from one goroutine at a
// time, while the connection's own waits for a reply or passes an answer on.
func (c *conn) readAhead() (took bool) {
	for c.along && !c.s.head.Close && !c.front.draining.Load() && (c.line == nil || !c.line.blocked && c.line.n < aheadMost) {
		if c.start == c.end && !c.fill() {
			return took
		}
		c.pipelines()
		if c.line == nil {
			c.line = lines.Get().(*line)
			c.line.parser.SetLimit(c.front.limits().headBytes())
		}
		l := c.line
		s := &l.slots[(l.first+l.n)%aheadMost]
		size, err := l.parser.Parse(c.s.in[c.start:c.end], &s.head)
		switch {
		case err != nil: // what it can't be read as is answered in its turn
			l.blocked = true
		case size == 0:
			if !c.fill() {
				return took
			}
		case !c.ahead(s):
			l.blocked = true
		default:
			l.parser.SetLimit(c.front.limits().headBytes())
			c.start += size
			l.n++
			took = true
		}
	}
	return took
}

// fill reads what is there, without waiting; false: nothing is.
func (c *conn) fill() bool {
	if !c.unread {
		return false
	}
	most := 0
	if c.line != nil {
		most = c.line.parser.MaxBytes()
	}
	c.makeRoom(most)
	p := c.s.in[c.end:]
	n := 0
	_ = c.raw.Control(func(fd uintptr) {
		var err error
		for n, err = syscall.Read(int(fd), p); errors.Is(err, syscall.EINTR); n, err = syscall.Read(int(fd), p) {
		}
	})
	c.unread = n == len(p) // else that was all, and what comes later is told again
	c.end += max(n, 0)
	return n > 0
}

// ahead takes a request on whose head is here, if that may be done now.
func (c *conn) ahead(s *slot) bool {
	if !single(&s.head) || s.head.Target == "*" {
		return false
	}
	l, f := c.line, c.front
	arrived := f.clock.Now()
	l.look = c.look(&s.head)
	l.seen = true
	v := &l.look
	if v.bad != nil || !c.alongside(&s.head, &v.q) {
		return false
	}
	q := v.q
	m := c.message(&s.head, &q)
	o := open{t: v.t, counts: v.t.class(q.Class), walls: v.t.walls.Load(), reply: make(chan call.Answer, 1)}
	if !o.enter() {
		return false
	}
	if !o.room() || !o.take(f) {
		o.give(f)
		o.exit()
		return false
	}
	c.a.asked(c, &o.t.owner)
	o.number = o.t.Engine.Submit(q, m, arrived+v.left, o.reply)
	s.open = o
	l.seen, l.look = false, look{}
	return true
}

// inTurn answers the request that was read ahead first.
func (c *conn) inTurn() bool {
	s := c.line.pop()
	c.s.head, s.head = s.head, c.s.head // its answer goes by its own head
	o := s.open
	s.open = open{}
	defer o.exit()
	defer o.give(c.front)
	c.of, c.counts, c.along = o.t, o.counts, true
	return c.conclude(&o, nil)
}

// callOff gives up what was read ahead: its connection ends, and its clients take that as not read.
func (c *conn) callOff() {
	if !c.waiting() {
		return
	}
	replies := make([]chan call.Answer, 0, c.line.n)
	for c.line.n > 0 {
		o := &c.line.pop().open
		o.t.Engine.ClientGone(o.number)
		o.give(c.front)
		o.exit()
		replies = append(replies, o.reply)
		*o = open{}
	}
	forget(replies)
}

// forget closes what came for requests that were called off, and what comes for them yet.
func forget(replies []chan call.Answer) {
	drop(replies)
	time.AfterFunc(dropAfter, func() { drop(replies) })
}

func drop(replies []chan call.Answer) {
	for _, reply := range replies {
		select {
		case a := <-reply:
			if a.Stream != nil {
				a.Stream.Close()
			}
		default:
		}
	}
}

// pipelines takes that a client was seen to send a request before it had the last one's answer.
func (c *conn) pipelines() {
	c.alone = 0
	if c.more != nil && !c.armed {
		c.armed = true
		c.front.watch.change(c)
	}
}

// calm takes that a request was answered and that nothing had come behind it.
func (c *conn) calm() {
	if !c.armed {
		return
	}
	if c.alone++; c.alone >= aloneMost {
		c.armed = false
		c.front.watch.change(c)
	}
}

// comes takes that bytes may have come. It is called from the watcher.
func (c *conn) comes() {
	select {
	case c.more <- struct{}{}:
	default: // it knows, or does not want to
	}
}
