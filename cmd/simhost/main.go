// Simhost connects the decision module to the simulator. It reads batches of events from standard input and writes
// replies with actions to standard output. It hosts many instances, each with its own policy.Balancer, and makes no
// decisions itself.
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
	// Simhost processes one batch at a time, so more threads would only add cost. The heap is small, so infrequent
	// garbage collections are cheap and keep the duration of batches uniform.
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(800)
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// serve reads batches and writes a reply to each batch until the input ends.
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

// host holds the instances of this process and their shared data.
type host struct {
	reply     wire.Reply                 // reply to the current batch
	pages     map[uint16][]policy.Server // server list by page number
	instances map[uint32]*instance       // instance by number
}

// newHost returns a host without instances.
func newHost() *host {
	return &host{pages: make(map[uint16][]policy.Server), instances: make(map[uint32]*instance)}
}

// instance is one simulated sidecar. It implements policy.Host: it writes the decisions of its Balancer to the reply.
type instance struct {
	host        *host
	number      uint32
	loadColumns wire.Columns
	balancer    *policy.Balancer // nil: not started, or failed with a panic
	nextLog     time.Duration    // simulated time at which the counters are logged next
}

// logInterval is the simulated time between two log lines with the counters of an instance.
const logInterval = 10 * time.Second

// Send sends an attempt of a request to a server.
func (i *instance) Send(id policy.RequestID, to policy.ServerID, timeout time.Duration) {
	i.host.reply.SendAttempt(i.number, uint32(id), wire.Upstream(to), timeout)
}

// Refuse rejects a request and tells the client to retry after the given time.
func (i *instance) Refuse(id policy.RequestID, retryAfter time.Duration) {
	i.host.reply.Refuse(i.number, uint32(id), retryAfter)
}

// Fail fails a request.
func (i *instance) Fail(id policy.RequestID) { i.host.reply.Fail(i.number, uint32(id)) }

// Cancel cancels an attempt.
func (i *instance) Cancel(id policy.RequestID, attempt int) {
	i.host.reply.CancelAttempt(i.number, uint32(id), uint8(attempt))
}

// Wake sets the timer of the instance.
func (i *instance) Wake(after time.Duration) { i.host.reply.SetTimer(i.number, after, 0) }

// Probe probes a server.
func (i *instance) Probe(to policy.ServerID) { i.host.reply.Probe(i.number, wire.Upstream(to)) }

// CloseIdleConnections closes the idle connections to a server.
func (i *instance) CloseIdleConnections(to policy.ServerID) {
	i.host.reply.CloseIdle(i.number, wire.Upstream(to))
}

// WatchList subscribes to the server list.
func (i *instance) WatchList() { i.host.reply.WatchList(i.number, true) }

// Log adds a line to the simulator's report.
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
		return fmt.Errorf("%d unexpected bytes after the last record", len(body))
	}
	return nil
}

// record processes the record of one event.
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
		return nil // a code of a later version, or an event that the decision module does not use
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
		return nil // the instance is not running, so it must not act
	}
	return i.event(now, rec)
}

// open starts an instance with a new Balancer.
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

// guard calls f. If the decision module panics, guard reports the panic to the simulator with the crash action and
// stops the instance.
func (i *instance) guard(f func() error) (err error) {
	defer func() {
		if p := recover(); p != nil {
			i.host.reply.Crash(i.number, fmt.Sprintf("panic: %v", p))
			i.balancer = nil
		}
	}()
	return f()
}

// event passes one event to the Balancer, and logs the counters at intervals of logInterval.
func (i *instance) event(now time.Duration, rec wire.Record) error {
	if now >= i.nextLog {
		if i.nextLog > 0 { // at the first event the counters are still 0
			i.Log(fmt.Sprintf("counters %+v", i.balancer.Counters()))
		}
		i.nextLog = now + logInterval
	}
	return i.guard(func() error { return i.dispatch(now, rec) })
}

// dispatch calls the method of the Balancer for an event.
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
		return nil // a list kind of a later version
	}
	list, ok := i.host.pages[page]
	if !ok {
		return fmt.Errorf("instance %d: list update refers to page %d, which was never sent", i.number, page)
	}
	i.balancer.List(now, k, list)
	return nil
}

// request converts a request to the type of the decision module.
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

// ending converts the code of an attempt's ending to the type of the decision module.
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
	return policy.Errored // for an error or an unknown code, the request may have been executed
}

// servers converts a server list to the type of the decision module.
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
			list[i].State = policy.Draining // a server in an unknown state gets no new requests either
		}
	}
	return list
}
