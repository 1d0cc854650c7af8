package main

import (
	"bytes"
	"encoding/binary"
	"io"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"caperarch/internal/proxy/wire"
	"caperarch/policy"
)

const settings = `balancers=2
caps.may_cancel=true
caps.most_tries=3
classes.count=1
classes.0.aim_ms=500
classes.0.hard_limit_ms=1000
classes.0.semantics=free
discovery=ask
rules.ask_within_ms=10000
period_ms=5
`

// record encodes the record of one event.
func record(code uint16, fields ...any) []byte {
	var f bytes.Buffer
	for _, v := range fields {
		if s, ok := v.(string); ok {
			v = []byte(s)
		}
		if err := binary.Write(&f, binary.LittleEndian, v); err != nil {
			panic(err)
		}
	}
	b := binary.LittleEndian.AppendUint16(nil, code)
	b = binary.LittleEndian.AppendUint32(b, uint32(f.Len()))
	return append(b, f.Bytes()...)
}

// open encodes the start of an instance.
func open(inst uint32, seed uint64) []byte {
	return record(wire.EvInstanceStart, inst, seed, uint32(len(settings)), settings)
}

// serverList encodes a page of ready servers with the addresses 10.0.0.N:20480.
func serverList(page uint16, addrs ...byte) []byte {
	fields := []any{page, uint32(len(addrs))}
	for _, a := range addrs {
		fields = append(fields, []byte{10, 0, 0, a, 80, 0}, uint8(0), uint8(0), uint16(0), uint8(wire.StateReady),
			float32(1), float64(0))
	}
	return record(wire.EvServerList, fields...)
}

// listUpdate encodes a list update of an instance.
func listUpdate(inst uint32, kind uint8, page uint16) []byte {
	return record(wire.EvListUpdate, inst, kind, uint32(1), page)
}

// newRequest encodes a request of an instance's client.
func newRequest(inst, id uint32) []byte {
	return record(wire.EvRequest, inst, id, uint16(0), uint64(0), uint32(0), float64(800), float64(0), uint8(0))
}

// batch encodes a batch of records. clock is the simulated time in milliseconds.
func batch(number uint32, clock float64, records ...[]byte) []byte {
	body := slices.Concat(records...)
	b := binary.LittleEndian.AppendUint32(nil, number)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(records)))
	b = binary.LittleEndian.AppendUint32(b, uint32(len(body)))
	b = binary.LittleEndian.AppendUint64(b, math.Float64bits(clock))
	return append(b, body...)
}

// action is one action of a reply: its code, its instance and its other fields.
type action struct {
	code uint16
	inst uint32
	rest string
}

// actions passes a stream of batches to serve and returns the actions of all replies.
func actions(t *testing.T, in []byte) []action {
	t.Helper()
	var out bytes.Buffer
	if err := serve(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	var all []action
	for b := out.Bytes(); len(b) > 0; {
		size := binary.LittleEndian.Uint32(b[4:])
		body := b[12 : 12+size]
		b = b[12+size:]
		for len(body) > 0 {
			rec, rest, err := wire.Next(body)
			if err != nil {
				t.Fatal(err)
			}
			inst, _ := rec.Instance()
			all = append(all, action{rec.Code, inst, string(rec.Fields[4:])})
			body = rest
		}
	}
	return all
}

// filter returns the actions with the given code and instance.
func filter(all []action, code uint16, inst uint32) []action {
	return slices.DeleteFunc(slices.Clone(all), func(a action) bool { return a.code != code || a.inst != inst })
}

// serve answers empty batches with empty replies and returns without an error at the end of the input.
func TestEmptyBatchesAndEndOfInput(t *testing.T) {
	var out bytes.Buffer
	if err := serve(bytes.NewReader(slices.Concat(batch(1, 0), batch(2, 5))), &out); err != nil || out.Len() != 24 {
		t.Fatalf("serve wrote %d bytes and returned error %v, want two empty replies of 12 bytes", out.Len(), err)
	}
}

// Settings, server lists and keys reach the decision module: the module closes the idle connections of a draining
// server, and sends requests with the same key one after the other.
func TestSettingsListAndKeysReachTheModule(t *testing.T) {
	info := settings + "classes.0.fifo_by_key=true\nrules.order_settle_ms=0\nrules.let_go_in_ms=300\n"
	inst := record(wire.EvInstanceStart, uint32(1), uint64(5), uint32(len(info)), info)
	drained := serverList(4, 77)
	drained[6+2+4+6+1+1+2] = wire.StateDraining
	keyed := func(id uint32) []byte {
		return record(wire.EvRequest, uint32(1), id, uint16(0), uint64(9), uint32(0), float64(800), float64(0), uint8(0))
	}
	all := actions(t, slices.Concat(
		batch(1, 0, inst, serverList(3, 77, 78), listUpdate(1, wire.ListCached, 3), keyed(100), keyed(101)),
		batch(2, 5, drained, listUpdate(1, wire.ListDelta, 4))))
	if sends := filter(all, wire.ActSendAttempt, 1); len(sends) != 1 {
		t.Errorf("%d attempts for two requests with the same key, want 1", len(sends))
	}
	if closed := filter(all, wire.ActCloseIdle, 1); len(closed) != 1 || closed[0].rest[3] != 77 {
		t.Errorf("idle connections were closed to %v, want only 10.0.0.77", closed)
	}
}

// For an invalid setting, serve returns an error of one line that names the setting.
func TestInvalidSettingsAreNamed(t *testing.T) {
	for setting, field := range map[string]string{
		"rules.further_ratio=-1\nrules.budget_span_ms=1000\n": "Budget",
		"rules.further_ratio=0.2\n":                           "Budget",
		"rules.let_go_in_ms=-5\n":                             "CloseWithin",
		"rules.order_settle_ms=x\n":                           "rules.order_settle_ms",
		"rules.cold_from=2\n":                                 "ColdFrom",
	} {
		info := settings + setting
		err := serve(bytes.NewReader(batch(1, 0, record(wire.EvInstanceStart, uint32(1), uint64(5),
			uint32(len(info)), info))), io.Discard)
		if err == nil || !strings.Contains(err.Error(), field) || strings.Contains(err.Error(), "\n") {
			t.Errorf("settings %q: error %v, want one line that names %s", setting, err, field)
		}
	}
}

// A list update uses the content that its page has at that point in the batch, also if a later record of the batch
// replaces the page.
func TestPageIsResolvedInEventOrder(t *testing.T) {
	all := actions(t, batch(1, 0,
		open(1, 5), serverList(3, 77), listUpdate(1, wire.ListCached, 3), newRequest(1, 100),
		open(2, 6), serverList(3, 88), listUpdate(2, wire.ListCached, 3), newRequest(2, 200)))
	for inst, want := range map[uint32]byte{1: 77, 2: 88} {
		sends := filter(all, wire.ActSendAttempt, inst)
		if len(sends) != 1 || sends[0].rest[7] != want {
			t.Errorf("instance %d: attempts %v, want one to 10.0.0.%d", inst, sends, want)
		}
		if len(filter(all, wire.ActWatchList, inst)) != 1 {
			t.Errorf("instance %d did not subscribe to the server list", inst)
		}
	}
}

// An instance that crashes and restarts within a batch handles the requests before the crash and after the restart, and
// no request in between.
func TestRestartInOneBatch(t *testing.T) {
	all := actions(t, slices.Concat(
		batch(1, 0, open(1, 5), serverList(0, 7), listUpdate(1, wire.ListCached, 0), newRequest(1, 100)),
		batch(2, 5, record(wire.EvCrash, uint32(1)), newRequest(1, 101),
			open(1, 6), listUpdate(1, wire.ListCached, 0), newRequest(1, 102)),
		batch(3, 10, record(wire.EvAttemptEnded, uint32(1), uint32(100), uint8(0), []byte{10, 0, 0, 7, 80, 0},
			uint16(wire.EndServed), float64(5), uint8(1), uint8(0))),
		batch(4, 15, record(wire.EvCrash, uint32(1)), newRequest(1, 103))))
	sends := filter(all, wire.ActSendAttempt, 1)
	if len(sends) != 2 {
		t.Fatalf("%d attempts, want one before the crash, one after the restart and none in between", len(sends))
	}
}

// The actions of an instance are the same whether or not another instance runs in the same process.
func TestInstancesDoNotInfluenceEachOther(t *testing.T) {
	build := func(insts ...uint32) []byte {
		var in []byte
		for n := range uint32(60) {
			var recs [][]byte
			for _, i := range insts {
				if n == 0 {
					recs = append(recs, open(i, uint64(i)), serverList(uint16(i), 1, 2, 3, 4), listUpdate(i, wire.ListFull, uint16(i)))
				}
				recs = append(recs, newRequest(i, 1000*i+n), record(wire.EvTimer, i, uint64(0)))
				if n > 4 {
					recs = append(recs, record(wire.EvClientGone, i, 1000*i+n-4))
				}
			}
			in = append(in, batch(n, float64(10*n), recs...)...)
		}
		return in
	}
	together := actions(t, build(1, 2))
	for _, i := range []uint32{1, 2} {
		apart := actions(t, build(i))
		mine := slices.DeleteFunc(slices.Clone(together), func(a action) bool { return a.inst != i })
		if !slices.Equal(apart, mine) || len(mine) < 60 {
			t.Fatalf("instance %d: %d actions with another instance, %d without; want equal actions, at least 60",
				i, len(mine), len(apart))
		}
	}
}

// Records with unknown codes or list kinds, and events of unknown instances, are ignored.
func TestUnknownRecordsAreIgnored(t *testing.T) {
	all := actions(t, batch(1, 0,
		record(4711, uint32(9), "anything"), open(1, 5), record(wire.EvHeard, uint32(1), uint32(2), uint16(0)),
		serverList(0, 7), listUpdate(1, 99, 0), listUpdate(1, wire.ListCached, 0), newRequest(1, 100), newRequest(44, 100)))
	if len(filter(all, wire.ActSendAttempt, 1)) != 1 ||
		slices.ContainsFunc(all, func(a action) bool { return a.inst == 44 }) {
		t.Fatalf("actions are %v, want one attempt of instance 1 and no action of instance 44", all)
	}
}

// For malformed input, serve returns an error of one line.
func TestMalformedInput(t *testing.T) {
	for name, in := range map[string][]byte{
		"truncated batch":       batch(1, 0, open(1, 5))[:30],
		"list never sent":       batch(1, 0, open(1, 5), listUpdate(1, wire.ListFull, 9)),
		"truncated record":      batch(1, 0, open(1, 5), record(wire.EvRequest, uint32(1), uint32(3))),
		"invalid settings":      batch(1, 0, record(wire.EvInstanceStart, uint32(1), uint64(1), uint32(11), "balancers=0")),
		"settings without sign": batch(1, 0, record(wire.EvInstanceStart, uint32(1), uint64(1), uint32(3), "abc")),
		"bytes after the last record": append(
			binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, 1), 3), 0, 0, 0, 0, 1, 2, 3),
	} {
		err := serve(bytes.NewReader(in), io.Discard)
		if err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want an error of one line", name, err)
		}
	}
}

// A panic of the decision module becomes a crash action with the text of the panic.
func TestPanicIsReportedAsCrash(t *testing.T) {
	h := newHost()
	h.reply.Begin(1)
	i := &instance{host: h, number: 4}
	if err := i.guard(func() error { panic("index out of range") }); err != nil {
		t.Fatal(err)
	}
	rec, _, err := wire.Next(h.reply.Bytes()[12:])
	if err != nil || rec.Code != wire.ActCrash || !strings.Contains(string(rec.Fields), "index out of range") {
		t.Fatalf("reply has record %+v, error %v, want a crash with the text of the panic", rec, err)
	}
}

// ending converts every code of the wire protocol. An unknown code becomes policy.Errored.
func TestEndings(t *testing.T) {
	for code, want := range map[uint16]policy.Ending{
		wire.EndServed: policy.Served, wire.EndErrored: policy.Errored, wire.EndRejected: policy.NotProcessed,
		wire.EndTimedOut: policy.TimedOut, wire.EndNoConnection: policy.NoConnection,
		wire.EndConnectionLost: policy.ConnectionLost, wire.EndCancelled: policy.Cancelled,
		wire.EndNotSent: policy.NotSent, 999: policy.Errored,
	} {
		if got := ending(code); got != want {
			t.Errorf("ending code %d was converted to %v, want %v", code, got, want)
		}
	}
}

// servers converts all fields of an entry. An unknown state becomes policy.Draining.
func TestServers(t *testing.T) {
	got := servers([]wire.Entry{
		{Upstream: 9, Zone: 1, Cell: 3, State: wire.StateReady, Weight: 2.5, Started: time.Second},
		{State: wire.StateDeregistered}, {State: wire.StateDraining}, {State: 77},
	})
	if got[0] != (policy.Server{ID: 9, Zone: 1, Cell: 3, State: policy.Ready, Weight: 2.5, Started: time.Second}) ||
		got[1].State != policy.Deregistered || got[2].State != policy.Draining || got[3].State != policy.Draining {
		t.Fatalf("entries were converted to %+v", got)
	}
}
