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

// record builds one event record from its fields.
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

func open(inst uint32, seed uint64) []byte {
	return record(wire.EvInstanceStart, inst, seed, uint32(len(settings)), settings)
}

func manifest(page uint16, addrs ...byte) []byte {
	fields := []any{page, uint32(len(addrs))}
	for _, a := range addrs {
		fields = append(fields, []byte{10, 0, 0, a, 80, 0}, uint8(0), uint8(0), uint16(0), uint8(wire.StateReady),
			float32(1), float64(0))
	}
	return record(wire.EvServerList, fields...)
}

func fleet(inst uint32, kind uint8, page uint16) []byte {
	return record(wire.EvListUpdate, inst, kind, uint32(1), page)
}

func ask(inst, job uint32) []byte {
	return record(wire.EvRequest, inst, job, uint16(0), uint64(0), uint32(0), float64(800), float64(0), uint8(0))
}

func batch(number uint32, clock float64, records ...[]byte) []byte {
	body := slices.Concat(records...)
	b := binary.LittleEndian.AppendUint32(nil, number)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(records)))
	b = binary.LittleEndian.AppendUint32(b, uint32(len(body)))
	b = binary.LittleEndian.AppendUint64(b, math.Float64bits(clock))
	return append(b, body...)
}

// action is one action of a reply: its code, its instance and what follows.
type action struct {
	code uint16
	inst uint32
	rest string
}

// actions serves a stream and splits the replies.
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

func only(all []action, code uint16, inst uint32) []action {
	return slices.DeleteFunc(slices.Clone(all), func(a action) bool { return a.code != code || a.inst != inst })
}

func TestEmptyBatchesAndEndOfInput(t *testing.T) {
	var out bytes.Buffer
	if err := serve(bytes.NewReader(slices.Concat(batch(1, 0), batch(2, 5))), &out); err != nil || out.Len() != 24 {
		t.Fatalf("%d bytes, error %v; want two empty replies", out.Len(), err)
	}
}

// Settings, list and keys reach the module: a drained server's connections are closed, and a key goes in turn.
func TestSettingsListAndKeysReachTheModule(t *testing.T) {
	info := settings + "classes.0.fifo_by_key=true\nrules.order_settle_ms=0\nrules.let_go_in_ms=300\n"
	inst := record(wire.EvInstanceStart, uint32(1), uint64(5), uint32(len(info)), info)
	drained := manifest(4, 77)
	drained[6+2+4+6+1+1+2] = wire.StateDraining
	keyed := func(job uint32) []byte {
		return record(wire.EvRequest, uint32(1), job, uint16(0), uint64(9), uint32(0), float64(800), float64(0), uint8(0))
	}
	all := actions(t, slices.Concat(
		batch(1, 0, inst, manifest(3, 77, 78), fleet(1, wire.ListCached, 3), keyed(100), keyed(101)),
		batch(2, 5, drained, fleet(1, wire.ListDelta, 4))))
	if sends := only(all, wire.ActSendAttempt, 1); len(sends) != 1 {
		t.Errorf("%d sends for two requests of one key, want 1", len(sends))
	}
	if closed := only(all, wire.ActCloseIdle, 1); len(closed) != 1 || closed[0].rest[3] != 77 {
		t.Errorf("closed %v, want .77", closed)
	}
}

// A value that cannot be used ends the adapter with one line that names its field.
func TestUnusableSettingsAreNamed(t *testing.T) {
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
			t.Errorf("%q: error %v, want one line that names %s", setting, err, field)
		}
	}
}

func TestPageIsResolvedInEventOrder(t *testing.T) {
	all := actions(t, batch(1, 0,
		open(1, 5), manifest(3, 77), fleet(1, wire.ListCached, 3), ask(1, 100),
		open(2, 6), manifest(3, 88), fleet(2, wire.ListCached, 3), ask(2, 200)))
	for inst, want := range map[uint32]byte{1: 77, 2: 88} {
		sends := only(all, wire.ActSendAttempt, inst)
		if len(sends) != 1 || sends[0].rest[7] != want {
			t.Errorf("instance %d: sends %v, want one to .%d", inst, sends, want)
		}
		if len(only(all, wire.ActWatchList, inst)) != 1 {
			t.Errorf("instance %d did not ask for its list", inst)
		}
	}
}

func TestRestartInOneBatch(t *testing.T) {
	all := actions(t, slices.Concat(
		batch(1, 0, open(1, 5), manifest(0, 7), fleet(1, wire.ListCached, 0), ask(1, 100)),
		batch(2, 5, record(wire.EvCrash, uint32(1)), ask(1, 101), open(1, 6), fleet(1, wire.ListCached, 0), ask(1, 102)),
		batch(3, 10, record(wire.EvAttemptEnded, uint32(1), uint32(100), uint8(0), []byte{10, 0, 0, 7, 80, 0}, uint16(wire.EndServed),
			float64(5), uint8(1), uint8(0))),
		batch(4, 15, record(wire.EvCrash, uint32(1)), ask(1, 103))))
	sends := only(all, wire.ActSendAttempt, 1)
	if len(sends) != 2 {
		t.Fatalf("%d sends, want one before and one after the restart, none while it was down", len(sends))
	}
}

func TestInstancesDoNotInfluenceEachOther(t *testing.T) {
	build := func(insts ...uint32) []byte {
		var in []byte
		for n := range uint32(60) {
			var recs [][]byte
			for _, i := range insts {
				if n == 0 {
					recs = append(recs, open(i, uint64(i)), manifest(uint16(i), 1, 2, 3, 4), fleet(i, wire.ListFull, uint16(i)))
				}
				recs = append(recs, ask(i, 1000*i+n), record(wire.EvTimer, i, uint64(0)))
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
			t.Fatalf("instance %d: %d actions together, %d apart, or they differ", i, len(mine), len(apart))
		}
	}
}

func TestUnknownRecordsArePassedOver(t *testing.T) {
	all := actions(t, batch(1, 0, record(4711, uint32(9), "anything"), open(1, 5), record(wire.EvHeard, uint32(1), uint32(2), uint16(0)),
		manifest(0, 7), fleet(1, 99, 0), fleet(1, wire.ListCached, 0), ask(1, 100), ask(44, 100)))
	if len(only(all, wire.ActSendAttempt, 1)) != 1 || slices.ContainsFunc(all, func(a action) bool { return a.inst == 44 }) {
		t.Fatalf("actions %v", all)
	}
}

func TestMalformedInputEndsWithAnError(t *testing.T) {
	for name, in := range map[string][]byte{
		"cut off":               batch(1, 0, open(1, 5))[:30],
		"list never sent":       batch(1, 0, open(1, 5), fleet(1, wire.ListFull, 9)),
		"record shorter":        batch(1, 0, open(1, 5), record(wire.EvRequest, uint32(1), uint32(3))),
		"unusable settings":     batch(1, 0, record(wire.EvInstanceStart, uint32(1), uint64(1), uint32(11), "balancers=0")),
		"settings without sign": batch(1, 0, record(wire.EvInstanceStart, uint32(1), uint64(1), uint32(3), "abc")),
		"bytes left over":       append(binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, 1), 3), 0, 0, 0, 0, 1, 2, 3),
	} {
		err := serve(bytes.NewReader(in), io.Discard)
		if err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one plain line", name, err)
		}
	}
}

func TestPanicIsReportedAsAFault(t *testing.T) {
	h := newHost()
	h.reply.Begin(1)
	i := &instance{host: h, number: 4}
	if err := i.guard(func() error { panic("index out of range") }); err != nil {
		t.Fatal(err)
	}
	rec, _, err := wire.Next(h.reply.Bytes()[12:])
	if err != nil || rec.Code != wire.ActCrash || !strings.Contains(string(rec.Fields), "index out of range") {
		t.Fatalf("record %+v, error %v", rec, err)
	}
}

func TestEndings(t *testing.T) {
	for code, want := range map[uint16]policy.Ending{
		wire.EndServed: policy.Served, wire.EndErrored: policy.Errored, wire.EndRejected: policy.NotProcessed,
		wire.EndTimedOut: policy.TimedOut, wire.EndNoConnection: policy.NoConnection, wire.EndConnectionLost: policy.ConnectionLost,
		wire.EndCancelled: policy.Cancelled, wire.EndNotSent: policy.NotSent, 999: policy.Errored,
	} {
		if got := ending(code); got != want {
			t.Errorf("ending %d becomes %v, want %v", code, got, want)
		}
	}
}

func TestServers(t *testing.T) {
	got := servers([]wire.Entry{
		{Upstream: 9, Zone: 1, Cell: 3, State: wire.StateReady, Weight: 2.5, Started: time.Second},
		{State: wire.StateDeregistered}, {State: wire.StateDraining}, {State: 77},
	})
	if got[0] != (policy.Server{ID: 9, Zone: 1, Cell: 3, State: policy.Ready, Weight: 2.5, Started: time.Second}) ||
		got[1].State != policy.Deregistered || got[2].State != policy.Draining || got[3].State != policy.Draining {
		t.Fatalf("servers %+v", got)
	}
}
