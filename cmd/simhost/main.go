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

// host holds the instances of this process and what they share: the numbered
// lists of the wire and the reply under way.
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
	host   *host
	number uint32
	loads  wire.Columns
	b      *policy.Balancer
	logAt  time.Duration // when the counters are written next
}

// logEvery is how often an instance's counters go to the log.
const logEvery = 10 * time.Second

func (i *instance) Send(id policy.RequestID, to policy.ServerID, timeout time.Duration) {
	i.host.reply.CallOut(i.number, uint32(id), wire.Upstream(to), timeout)
}

func (i *instance) Refuse(id policy.RequestID, pause time.Duration) {
	i.host.reply.PushBack(i.number, uint32(id), pause)
}

func (i *instance) Fail(id policy.RequestID) { i.host.reply.Lose(i.number, uint32(id)) }

func (i *instance) Cancel(id policy.RequestID, attempt int) {
	i.host.reply.Recall(i.number, uint32(id), uint8(attempt))
}

func (i *instance) Wake(d time.Duration)     { i.host.reply.SetAlarm(i.number, d, 0) }
func (i *instance) Probe(to policy.ServerID) { i.host.reply.Inspect(i.number, wire.Upstream(to)) }
func (i *instance) Close(to policy.ServerID) { i.host.reply.Release(i.number, wire.Upstream(to)) }
func (i *instance) WatchList()               { i.host.reply.Tail(i.number, true) }
func (i *instance) Log(line string)          { i.host.reply.WriteLog(i.number, line) }

// batch hands the events of one batch to their instances, in order.
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

func (h *host) record(now time.Duration, rec wire.Record) error {
	switch rec.Code {
	case wire.EvManifest:
		page, entries, err := rec.Manifest()
		if err != nil {
			return err
		}
		h.pages[page] = servers(entries)
		return nil
	case wire.EvOpenInstance, wire.EvCrashNow, wire.EvFleet, wire.EvAsk, wire.EvFinished, wire.EvWake,
		wire.EvClientLeft, wire.EvHeaders, wire.EvCheckResult:
	default:
		return nil // a code of a later version, or one that the module has no use for
	}
	number, err := rec.Instance()
	if err != nil {
		return err
	}
	switch rec.Code {
	case wire.EvOpenInstance:
		return h.open(now, number, rec)
	case wire.EvCrashNow:
		delete(h.instances, number)
		return nil
	}
	i := h.instances[number]
	if i == nil || i.b == nil {
		return nil // not running: nothing may be done for it
	}
	return i.event(now, rec)
}

// open starts an instance anew.
func (h *host) open(now time.Duration, number uint32, rec wire.Record) error {
	seed, info, err := rec.OpenInstance()
	if err != nil {
		return err
	}
	s, err := wire.ParseSettings(info)
	if err != nil {
		return fmt.Errorf("instance %d: %w", number, err)
	}
	config, err := s.Config()
	if err != nil {
		return fmt.Errorf("instance %d: %w", number, err)
	}
	i := &instance{host: h, number: number, loads: s.Columns()}
	h.instances[number] = i
	return i.guard(func() error {
		b, err := policy.New(config, seed, i)
		if err != nil {
			return fmt.Errorf("instance %d: %w", number, err)
		}
		i.b = b
		b.Start(now)
		return nil
	})
}

// guard reports a panic in the module with the wire's own fault action.
func (i *instance) guard(f func() error) (err error) {
	defer func() {
		if p := recover(); p != nil {
			i.host.reply.Die(i.number, fmt.Sprintf("panic: %v", p))
			i.b = nil
		}
	}()
	return f()
}

// event hands one event to the instance's Balancer.
func (i *instance) event(now time.Duration, rec wire.Record) error {
	if now >= i.logAt {
		if i.logAt > 0 { // not at the first event: there is nothing to tell yet
			i.Log(fmt.Sprintf("counters %+v", i.b.Counters()))
		}
		i.logAt = now + logEvery
	}
	return i.guard(func() error { return i.dispatch(now, rec) })
}

func (i *instance) dispatch(now time.Duration, rec wire.Record) error {
	switch rec.Code {
	case wire.EvAsk:
		a, err := rec.Ask()
		if err != nil {
			return err
		}
		r := policy.Request{ID: policy.RequestID(a.Job), Class: int(a.Kind), Tenant: int(a.Tenant), TimeLeft: a.Left}
		r.Key = a.Key
		r.IsRetry = a.Bits&wire.BitRepeat != 0
		if a.Bits&wire.BitHint != 0 {
			r.Work = a.Hint
		}
		i.b.Request(now, r)
	case wire.EvFinished:
		f, err := rec.Finished()
		if err != nil {
			return err
		}
		i.b.Outcome(now, policy.Outcome{
			ID: policy.RequestID(f.Job), Attempt: int(f.Hop), Ending: ending(f.Ending), Finished: f.Settled,
			Load: i.loads.Load(f.Pressure),
		})
	case wire.EvWake:
		i.b.Wake(now)
	case wire.EvClientLeft:
		job, err := rec.Job()
		if err != nil {
			return err
		}
		i.b.ClientGone(now, policy.RequestID(job))
	case wire.EvHeaders:
		job, err := rec.Job()
		if err != nil {
			return err
		}
		i.b.StreamBegun(policy.RequestID(job))
	case wire.EvCheckResult:
		up, end, report, err := rec.CheckResult()
		if err != nil {
			return err
		}
		i.b.Probed(now, policy.ServerID(up), end == wire.EndServed, i.loads.Load(report))
	case wire.EvFleet:
		kind, _, page, err := rec.Fleet()
		if err != nil {
			return err
		}
		return i.fleet(now, kind, page)
	}
	return nil
}

func (i *instance) fleet(now time.Duration, kind uint8, page uint16) error {
	var k policy.ListKind
	switch kind {
	case wire.FleetFull:
		k = policy.ListFull
	case wire.FleetDelta:
		k = policy.ListDelta
	case wire.FleetCached:
		k = policy.ListCached
	case wire.FleetFailed:
		i.b.List(now, policy.ListFailed, nil)
		return nil
	default:
		return nil // a kind of a later version
	}
	list, ok := i.host.pages[page]
	if !ok {
		return fmt.Errorf("instance %d: list %d was never sent", i.number, page)
	}
	i.b.List(now, k, list)
	return nil
}

func ending(code uint16) policy.Ending {
	switch code {
	case wire.EndServed:
		return policy.Served
	case wire.EndTurnedAway:
		return policy.NotProcessed
	case wire.EndTimedOut:
		return policy.TimedOut
	case wire.EndNoConnection:
		return policy.NoConnection
	case wire.EndBroken:
		return policy.ConnectionLost
	case wire.EndCancelled:
		return policy.Cancelled
	case wire.EndNotSent:
		return policy.NotSent
	}
	return policy.Errored // it may have run, as may whatever is not known
}

func servers(entries []wire.Entry) []policy.Server {
	list := make([]policy.Server, len(entries))
	for i, e := range entries {
		list[i] = policy.Server{
			ID: policy.ServerID(e.Upstream), Zone: int(e.Area), Cell: int(e.Cohort), Weight: e.Rating, Started: e.Boot,
		}
		switch e.Status {
		case wire.StateReady:
			list[i].State = policy.Ready
		case wire.StateGone:
			list[i].State = policy.Deregistered
		default:
			list[i].State = policy.Draining // nothing new, whatever it is
		}
	}
	return list
}
