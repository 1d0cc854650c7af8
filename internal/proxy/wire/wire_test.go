package wire

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"math"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"caperarch/policy"
)

func unhex(t testing.TB, s string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.NewReplacer(" ", "", "\n", "", "\t", "").Replace(s))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// The records are the examples in the protocol's specification.
func TestReadBatch(t *testing.T) {
	frame := unhex(t, `0c000000 03000000 4d000000 00000000206ec040
		3804 27000000 03000000 c4913a5d 0100 640ad2557c3bf091 00000000 0000000000006e40 0000000000002840 00
		2e04 0c000000 03000000 4d00000000000000
		4204 08000000 05000000 192b6f0e`)
	r := NewReader(bytes.NewReader(frame))
	b, err := r.ReadBatch()
	if err != nil || b.Number != 12 || b.Records != 3 || b.Clock != 8412250*time.Microsecond {
		t.Fatalf("ReadBatch returned %+v with error %v, want batch 12 with 3 records", b, err)
	}
	rec, rest, err := Next(b.Body)
	if err != nil {
		t.Fatal(err)
	}
	q, err := rec.Request()
	want := Request{
		ID: 0x5d3a91c4, Flags: 1, Key: 0x91f03b7c55d20a64,
		TimeLeft: 240 * time.Millisecond, Work: 12 * time.Millisecond,
	}
	if err != nil || q != want {
		t.Fatalf("Request returned %+v with error %v, want %+v", q, err, want)
	}
	rec, rest, _ = Next(rest)
	if c, err := rec.TimerID(); err != nil || c != 77 {
		t.Fatalf("TimerID returned %d with error %v, want 77", c, err)
	}
	rec, rest, _ = Next(rest)
	request, err := rec.RequestID()
	if instance, _ := rec.Instance(); err != nil || request != 0x0e6f2b19 || instance != 5 || len(rest) != 0 {
		t.Fatalf("got request %x of instance %d with error %v and %d bytes left, want request e6f2b19 of instance 5",
			request, instance, err, len(rest))
	}
	if _, err := r.ReadBatch(); !errors.Is(err, io.EOF) {
		t.Fatalf("ReadBatch at the end of input returned %v, want io.EOF", err)
	}
}

func TestReadListsAndResults(t *testing.T) {
	rec, _, err := Next(unhex(t, `f203 34000000 0000 02000000
		0a124a07 931f 00 00 0000 01 0000803f 0000000000000000
		0a9011f2 bc1f 00 00 0000 01 0000c03f 0000000000d4b740`))
	if err != nil {
		t.Fatal(err)
	}
	page, entries, err := rec.ServerList()
	if err != nil || page != 0 || len(entries) != 2 {
		t.Fatalf("ServerList returned page %d with %d entries and error %v, want page 0 with 2", page, len(entries), err)
	}
	if e := entries[1]; e.State != StateReady || e.Weight != 1.5 || e.Started != 6100*time.Millisecond {
		t.Fatalf("second entry is %+v, want a ready server with weight 1.5, started at 6.1 s", e)
	}
	rec, _, _ = Next(unhex(t, "2404 1b000000 03000000 c4913a5d 00 0a124a07 931f 6400 0000000000803240 01 00"))
	f, err := rec.AttemptResult()
	if err != nil || f.Ending != EndServed || !f.Finished || f.Duration != 18500*time.Microsecond ||
		f.Upstream != entries[0].Upstream {
		t.Fatalf("AttemptResult returned %+v with error %v, want EndServed after 18.5 ms", f, err)
	}
	rec, _, _ = Next(unhex(t, `e803 25000000 03000000 0a9011f2 bc1f 6400 666666666666f63f
		04 0000003f0000684100000c430000e040`))
	up, end, report, err := rec.ProbeResult()
	if err != nil || up != entries[1].Upstream || end != EndServed || report.N != 4 || report.Values[3] != 7 {
		t.Fatalf("probe of %x ended as %d with report %+v and error %v, want EndServed with 4 values", up, end, report, err)
	}
	columns := Columns{policy.HasBusy, policy.HasService, policy.HasServed, policy.HasInFlight}
	want := policy.Load{Has: columns.fields(), Busy: 0.5, Service: 14500 * time.Microsecond, Served: 140, InFlight: 7}
	if l := columns.Load(report); l != want {
		t.Fatalf("load is %+v, want %+v", l, want)
	}
	if l := (Columns{0, policy.HasBusy}).Load(report); l.Has != policy.HasBusy || l.Busy != 14.5 {
		t.Fatalf("load is %+v, want only the value of the second column", l)
	}
	report.Values[0] = float32(math.NaN())
	if l := columns.Load(report); l.Has&policy.HasBusy != 0 {
		t.Fatalf("load with a NaN value is %+v, want the value absent", l)
	}
	if l := columns.Load(Report{}); l != (policy.Load{}) {
		t.Fatalf("load of an empty report is %+v, want no fields", l)
	}
	rec, _, _ = Next(unhex(t, "1a04 0b000000 03000000 03 29000000 0700"))
	if kind, version, page, err := rec.ListUpdate(); err != nil || kind != ListCached || version != 41 || page != 7 {
		t.Fatalf("ListUpdate returned kind %d, version %d, page %d with error %v, want ListCached, 41, 7",
			kind, version, page, err)
	}
}

func TestWriteActions(t *testing.T) {
	var to Upstream
	rec, _, _ := Next(unhex(t, "1a04 0a000000 03000000 0a124a07 931f"))
	c := cursor{rest: rec.Fields[4:]}
	to = c.upstream()
	var p Reply
	p.Begin(12)
	p.SendAttempt(3, 0x5d3a91c4, to, 80*time.Millisecond)
	p.SetTimer(3, 500*time.Millisecond, 77)
	p.Log(3, "two servers known")
	p.Refuse(3, 0x0e6f2b19, 250*time.Millisecond)
	p.Fail(3, 0x0e6f2b19)
	p.CancelAttempt(3, 0x5d3a91c4, 0)
	p.WatchList(3, true)
	p.Probe(3, to)
	p.CloseIdle(3, to)
	p.Crash(3, "index out of range")
	want := unhex(t, `0c000000 cf000000 0a000000
		e803 16000000 03000000 c4913a5d 0a124a07 931f 0000000000005440
		1004 14000000 03000000 0000000000407f40 4d00000000000000
		3804 17000000 03000000 1100 74776f2073657276657273206b6e6f776e
		f203 10000000 03000000 192b6f0e 0000000000406f40
		fc03 08000000 03000000 192b6f0e
		0604 09000000 03000000 c4913a5d 00
		4c04 05000000 03000000 01
		1a04 0a000000 03000000 0a124a07 931f
		2404 0a000000 03000000 0a124a07 931f
		4204 18000000 03000000 1200 696e646578206f7574206f662072616e6765`)
	if got := p.Bytes(); !bytes.Equal(got, want) {
		t.Fatalf("reply is\n%x\nwant\n%x", got, want)
	}
	p.Begin(1)
	if got := p.Bytes(); !bytes.Equal(got, unhex(t, "01000000 00000000 00000000")) {
		t.Fatalf("reply without actions is %x, want only a header", got)
	}
}

func frame(records, size uint32, clock float64, body string) []byte {
	b := binary.LittleEndian.AppendUint32(nil, 1)
	b = binary.LittleEndian.AppendUint32(b, records)
	b = binary.LittleEndian.AppendUint32(b, size)
	b = binary.LittleEndian.AppendUint64(b, math.Float64bits(clock))
	return append(b, body...)
}

func TestMalformedFrames(t *testing.T) {
	for name, in := range map[string][]byte{
		"truncated header":      {1, 2, 3},
		"truncated body":        frame(1, 100, 0, "short"),
		"oversized":             frame(1, 1<<31, 0, ""),
		"large and truncated":   frame(1, maxFrame, 0, "short"),
		"more records than fit": frame(100, 6, 0, "abcdef"),
		"clock not a number":    frame(0, 0, math.NaN(), ""),
	} {
		if _, err := NewReader(bytes.NewReader(in)).ReadBatch(); err == nil || errors.Is(err, io.EOF) {
			t.Errorf("%s: ReadBatch returned error %v, want an error other than io.EOF", name, err)
		}
	}
	for name, in := range map[string]string{
		"truncated record header": "e803",
		"record longer than body": "e803 ff000000 03000000",
	} {
		if _, _, err := Next(unhex(t, in)); err == nil {
			t.Errorf("%s: Next returned no error", name)
		}
	}
	short := Record{Code: EvRequest, Fields: []byte{1, 0, 0, 0, 9}}
	if _, err := short.Request(); err == nil {
		t.Error("truncated fields: Request returned no error")
	}
	huge := Record{Code: EvServerList, Fields: []byte{0, 0, 255, 255, 255, 255}}
	if _, _, err := huge.ServerList(); err == nil {
		t.Error("list with 2^32-1 entries: ServerList returned no error")
	}
	longer := Record{Code: EvTimer, Fields: append(make([]byte, 12), "a field of a later version"...)}
	if _, err := longer.TimerID(); err != nil {
		t.Errorf("additional fields: TimerID returned error %v", err)
	}
}

func TestMillis(t *testing.T) {
	for _, d := range []time.Duration{0, time.Microsecond, 123456 * time.Microsecond, -time.Second, time.Hour} {
		if got := Millis(ToMillis(d)); got != d {
			t.Errorf("%v converted to milliseconds and back is %v", d, got)
		}
	}
	if Millis(math.NaN()) != 0 || Millis(math.Inf(1)) <= 0 || Millis(math.Inf(-1)) >= 0 {
		t.Error("Millis does not convert NaN to 0 or limit infinite values")
	}
}

const exampleSettings = `balancers=3
caps.may_cancel=true
caps.most_tries=3
caps.probes=true
caps.retry_after=false
charges.cross_zone=0.03
classes.count=2
classes.0.aim_ms=500.0
classes.0.dedup_scope=cell
classes.0.hard_limit_ms=1000.0
classes.0.semantics=guarded
classes.0.window_ms=600.0
classes.0.worth=5.0
classes.1.aim_ms=600.0
classes.1.hard_limit_ms=2500.0
classes.1.fifo_by_key=true
classes.1.semantics=a_word_of_a_later_version
discovery=ask
orgs.count=1
orgs.0.quota_per_s=342.0
orgs.0.share=0.79
rules.budget_span_ms=10000.0
rules.extra_free=1.0
rules.further_ratio=0.2
rules.let_go_in_ms=300.0
rules.order_settle_ms=250.0
rules.cold_from=0.32
some.key.of.a.later.version=x=y
telemetry.columns=failed_ps,svc_ms,served_ps,busy_reqs
telemetry.how=pull
zone=2
`

func TestSettings(t *testing.T) {
	s, err := ParseSettings([]byte(exampleSettings))
	if err != nil {
		t.Fatal(err)
	}
	c, err := s.Config()
	if err != nil {
		t.Fatal(err)
	}
	if c.Balancers != 3 || c.Zone != 2 || c.MaxAttempts != 3 || !c.MayCancel || !c.MayProbe ||
		!c.ListOnDemand || c.SlowStartShare != 0.32 || c.CrossZonePrice != 0.03 {
		t.Errorf("config is %+v, want the values of the settings", c)
	}
	if k := c.Classes[0]; k.Effect != policy.Deduplicated || k.Scope != policy.ScopeCell ||
		k.DedupWindow != 600*time.Millisecond {
		t.Errorf("class 0 is %+v, want Deduplicated, ScopeCell and 600 ms", k)
	}
	if c.Classes[1].Effect != policy.NonIdempotent {
		t.Error("an unknown effect is not treated as NonIdempotent")
	}
	if b := (policy.RetryBudget{Span: 10 * time.Second, Free: 1, Share: 0.2}); c.Budget != b ||
		c.IdleCloseTime != 300*time.Millisecond || c.KeyBlockTime != 250*time.Millisecond || !c.Classes[1].InOrder {
		t.Errorf("config is %+v, want the budget and the times of the settings", c)
	}
	want := Columns{policy.HasErrors, policy.HasService, policy.HasServed, policy.HasInFlight}
	if c.Tenants[0].Quota != 342 || c.Tenants[0].Share != 0.79 {
		t.Errorf("tenant is %+v, want quota 342 and share 0.79", c.Tenants[0])
	}
	if got := s.Columns(); !slices.Equal(got, want) || c.Reports != got.fields() {
		t.Errorf("columns are %+v, want those in telemetry.columns", got)
	}
	for _, bad := range []string{"balancers=three", "classes.count=-1", "classes.count=1e9", "orgs.count=1.5"} {
		s, err := ParseSettings([]byte(bad))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.Config(); err == nil {
			t.Errorf("settings %s: Config returned no error", bad)
		}
	}
	if _, err := ParseSettings([]byte("no equals sign")); err == nil {
		t.Error("a line without '=': ParseSettings returned no error")
	}
}

func FuzzReader(f *testing.F) {
	f.Add(frame(1, 10, 1, "\x2e\x04\x04\x00\x00\x00\x01\x00\x00\x00"))
	f.Add(frame(0, 0, 0, ""))
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := NewReader(bytes.NewReader(data)).ReadBatch()
		if err != nil {
			return
		}
		for body := b.Body; len(body) > 0; {
			rec, rest, err := Next(body)
			if err != nil {
				return
			}
			body = rest
			rec.Instance()
			rec.ServerList()
			rec.InstanceStart()
			rec.ListUpdate()
			rec.Request()
			rec.AttemptResult()
			rec.ProbeResult()
			rec.RequestID()
			rec.TimerID()
		}
	})
}

// The path=value form and the JSON form of the same settings give the same configuration.
func TestSettingsFromJSON(t *testing.T) {
	const lines = "balancers=3\ncaps.may_cancel=true\ncaps.most_tries=3\ncaps.probes=true\ntelemetry.how=pull\n" +
		"telemetry.columns=svc_ms,busy_reqs\nclasses.count=2\nclasses.0.aim_ms=500.0\nclasses.0.hard_limit_ms=1000.0\n" +
		"classes.0.semantics=guarded\nclasses.1.aim_ms=600\nclasses.1.hard_limit_ms=2500\n" +
		"orgs.count=1\norgs.0.share=0.79\norgs.0.quota_per_s=131\n"
	const nested = `{"balancers":3,"caps":{"may_cancel":true,"most_tries":3,"probes":true},
		"telemetry":{"how":"pull","columns":["svc_ms","busy_reqs"]},"weights":null,
		"classes":[{"aim_ms":500.0,"hard_limit_ms":1000.0,"semantics":"guarded"},{"aim_ms":600,"hard_limit_ms":2500}],
		"orgs":[{"share":0.79,"quota_per_s":131}]}`
	a, err := ParseSettings([]byte(lines))
	if err != nil {
		t.Fatal(err)
	}
	b, err := SettingsFromJSON([]byte(nested))
	if err != nil {
		t.Fatal(err)
	}
	want, err := a.Config()
	if err != nil {
		t.Fatal(err)
	}
	got, err := b.Config()
	if err != nil || !reflect.DeepEqual(got, want) || len(got.Classes) != 2 ||
		got.Reports != policy.HasService|policy.HasInFlight {
		t.Errorf("configuration from JSON is %+v with error %v, want %+v", got, err, want)
	}
	if b.Text("weights") != "" || b.Count("orgs.count") != 1 || b.Duration("classes.1.aim_ms") != 600*time.Millisecond {
		t.Errorf("values are %v, want no weights, 1 tenant and an aim of 600 ms", b.values)
	}
	for _, bad := range []string{"", "[]", "5", "{"} {
		if _, err := SettingsFromJSON([]byte(bad)); err == nil {
			t.Errorf("%q: SettingsFromJSON returned no error", bad)
		}
	}
}
