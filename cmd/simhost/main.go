// Simhost plays the decision module on the simulator's wire: it hosts many
// instances, each a policy.Balancer of its own, on standard input and output.
// It decides nothing itself.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"caperarch/internal/proxy/wire"
	"caperarch/policy"
)

func main() {
	// One batch is answered at a time, so more threads only add cost; the
	// heap is small, so collecting it rarely is cheap and keeps batches even.
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(800)
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// serve answers batches until the input ends.
func serve(in io.Reader, out io.Writer) error {
	h := newHost()
	r := wire.NewReader(bufio.NewReaderSize(in, 1<<16))
	for {
		b, err := r.ReadBatch()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		h.reply.Begin(b.Number)
		if err := h.batch(b); err != nil {
			return fmt.Errorf("batch %d: %w", b.Number, err)
		}
		if _, err := out.Write(h.reply.Bytes()); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
	}
}

// host holds the instances of this process and what they share: the numbered server lists and the reply under way.
type host struct {
	reply     wire.Reply
	pages     map[uint16][]policy.Server
	instances map[uint32]*instance
}

func newHost() *host {
	return &host{pages: make(map[uint16][]policy.Server), instances: make(map[uint32]*instance)}
}

// instance is one sidecar; it carries out its Balancer's decisions.
type instance struct {
	host        *host
	number      uint32
	loadColumns wire.Columns
	balancer    *policy.Balancer // nil: not started, or failed
	nextLog     time.Duration    // when the counters are logged next
}

// logInterval is the time between two lines of an instance's counters.
const logInterval = 10 * time.Second

// Send implements policy.Host, as do the methods below.
func (i *instance) Send(id policy.RequestID, to policy.ServerID, timeout time.Duration) {
	i.host.reply.SendAttempt(i.number, uint32(id), wire.Upstream(to), timeout)
}

// Refuse refuses a request.
func (i *instance) Refuse(id policy.RequestID, retryAfter time.Duration) {
	i.host.reply.Refuse(i.number, uint32(id), retryAfter)
}

// Fail fails a request.
func (i *instance) Fail(id policy.RequestID) { i.host.reply.Fail(i.number, uint32(id)) }

// Cancel cancels an attempt.
func (i *instance) Cancel(id policy.RequestID, attempt int) {
	i.host.reply.CancelAttempt(i.number, uint32(id), uint8(attempt))
}

// Wake sets the timer.
func (i *instance) Wake(after time.Duration) { i.host.reply.SetTimer(i.number, after, 0) }

// Probe probes a server.
func (i *instance) Probe(to policy.ServerID) { i.host.reply.Probe(i.number, wire.Upstream(to)) }

// CloseIdleConnections closes the idle connections to a server.
func (i *instance) CloseIdleConnections(to policy.ServerID) {
	i.host.reply.CloseIdle(i.number, wire.Upstream(to))
}

// WatchList subscribes to the server list.
func (i *instance) WatchList() { i.host.reply.WatchList(i.number, true) }

// Log writes a line for the simulator's report.
func (i *instance) Log(line string) { i.host.reply.Log(i.number, line) }

// batch passes the events of one batch to their instances, in order.
func (h *host) batch(b wire.Batch) error {
	body := b.Body
	for range b.Records {
		rec, rest, err := wire.Next(body)
		if err != nil {
			return err
		}
		body = rest
		if err := h.record(b.Clock, rec); err != nil {
			return err
		}
	}
	if len(body) > 0 {
		return fmt.Errorf("%d bytes behind the last record", len(body))
	}
	return nil
}

// record handles one event.
func (h *host) record(now time.Duration, rec wire.Record) error {
	switch rec.Code {
	case wire.EvServerList:
		page, entries, err := rec.ServerList()
		if err != nil {
			return err
		}
		h.pages[page] = servers(entries)
		return nil
	case wire.EvInstanceStart, wire.EvCrash, wire.EvListUpdate, wire.EvRequest, wire.EvAttemptEnded, wire.EvTimer,
		wire.EvClientGone, wire.EvResponseHeaders, wire.EvProbeResult:
	default:
		return nil // a code of a later version, or one that the module has no use for
	}
	number, err := rec.Instance()
	if err != nil {
		return err
	}
	switch rec.Code {
	case wire.EvInstanceStart:
		return h.open(now, number, rec)
	case wire.EvCrash:
		delete(h.instances, number)
		return nil
	}
	i := h.instances[number]
	if i == nil || i.balancer == nil {
		return nil // not running: nothing may be done for it
	}
	return i.event(now, rec)
}

// open starts an instance anew.
func (h *host) open(now time.Duration, number uint32, rec wire.Record) error {
	seed, text, err := rec.InstanceStart()
	if err != nil {
		return err
	}
	s, err := wire.ParseSettings(text)
	if err != nil {
		return fmt.Errorf("instance %d: %w", number, err)
	}
	config, err := s.Config()
	if err != nil {
		return fmt.Errorf("instance %d: %w", number, err)
	}
	i := &instance{host: h, number: number, loadColumns: s.Columns()}
	h.instances[number] = i
	return i.guard(func() error {
		b, err := policy.New(config, seed, i)
		if err != nil {
			return fmt.Errorf("instance %d: %w", number, err)
		}
		i.balancer = b
		b.Start(now)
		return nil
	})
}

// guard reports a panic in the module with the wire's own fault action.
func (i *instance) guard(f func() error) (err error) {
	defer func() {
		if p := recover(); p != nil {
			i.host.reply.Crash(i.number, fmt.Sprintf("panic: %v", p))
			i.balancer = nil
		}
	}()
	return f()
}

// event passes one event to the instance's Balancer, and logs the counters from time to time.
func (i *instance) event(now time.Duration, rec wire.Record) error {
	if now >= i.nextLog {
		if i.nextLog > 0 { // not at the first event: there is nothing to tell yet
			i.Log(fmt.Sprintf("counters %+v", i.balancer.Counters()))
		}
		i.nextLog = now + logInterval
	}
	return i.guard(func() error { return i.dispatch(now, rec) })
}

// dispatch calls the Balancer's method for an event.
func (i *instance) dispatch(now time.Duration, rec wire.Record) error {
	switch rec.Code {
	case wire.EvRequest:
		q, err := rec.Request()
		if err != nil {
			return err
		}
		i.balancer.Request(now, request(q))
	case wire.EvAttemptEnded:
		result, err := rec.AttemptResult()
		if err != nil {
			return err
		}
		i.balancer.Outcome(now, policy.Outcome{
			ID: policy.RequestID(result.RequestID), Attempt: int(result.Attempt), Ending: ending(result.Ending),
			Finished: result.Finished, Load: i.loadColumns.Load(result.Load),
		})
	case wire.EvTimer:
		i.balancer.Wake(now)
	case wire.EvClientGone:
		id, err := rec.RequestID()
		if err != nil {
			return err
		}
		i.balancer.ClientGone(now, policy.RequestID(id))
	case wire.EvResponseHeaders:
		id, err := rec.RequestID()
		if err != nil {
			return err
		}
		i.balancer.StreamStarted(policy.RequestID(id))
	case wire.EvProbeResult:
		upstream, end, report, err := rec.ProbeResult()
		if err != nil {
			return err
		}
		i.balancer.Probed(now, policy.ServerID(upstream), end == wire.EndServed, i.loadColumns.Load(report))
	case wire.EvListUpdate:
		kind, _, page, err := rec.ListUpdate()
		if err != nil {
			return err
		}
		return i.listUpdate(now, kind, page)
	}
	return nil
}

// listUpdate passes a server list to the Balancer.
func (i *instance) listUpdate(now time.Duration, kind uint8, page uint16) error {
	var k policy.ListKind
	switch kind {
	case wire.ListFull:
		k = policy.ListFull
	case wire.ListDelta:
		k = policy.ListDelta
	case wire.ListCached:
		k = policy.ListCached
	case wire.ListFailed:
		i.balancer.List(now, policy.ListFailed, nil)
		return nil
	default:
		return nil // a kind of a later version
	}
	list, ok := i.host.pages[page]
	if !ok {
		return fmt.Errorf("instance %d: list %d was never sent", i.number, page)
	}
	i.balancer.List(now, k, list)
	return nil
}

// request is a client's request in the module's terms.
func request(q wire.Request) policy.Request {
	r := policy.Request{
		ID: policy.RequestID(q.ID), Class: int(q.Class), Tenant: int(q.Tenant), TimeLeft: q.TimeLeft,
		Key: q.Key, IsRetry: q.Flags&wire.FlagRetry != 0,
	}
	if q.Flags&wire.FlagHasWork != 0 {
		r.Work = q.Work
	}
	return r
}

// ending is how an attempt ended, in the module's terms.
func ending(code uint16) policy.Ending {
	switch code {
	case wire.EndServed:
		return policy.Served
	case wire.EndRejected:
		return policy.NotProcessed
	case wire.EndTimedOut:
		return policy.TimedOut
	case wire.EndNoConnection:
		return policy.NoConnection
	case wire.EndConnectionLost:
		return policy.ConnectionLost
	case wire.EndCancelled:
		return policy.Cancelled
	case wire.EndNotSent:
		return policy.NotSent
	}
	return policy.Errored // it may have run, as may whatever is not known
}

// servers is a server list in the module's terms.
func servers(entries []wire.Entry) []policy.Server {
	list := make([]policy.Server, len(entries))
	for i, e := range entries {
		list[i] = policy.Server{
			ID: policy.ServerID(e.Upstream), Zone: int(e.Zone), Cell: int(e.Cell), Weight: e.Weight, Started: e.Started,
		}
		switch e.State {
		case wire.StateReady:
			list[i].State = policy.Ready
		case wire.StateDeregistered:
			list[i].State = policy.Deregistered
		default:
			list[i].State = policy.Draining // nothing new, whatever it is
		}
	}
	return list
}
