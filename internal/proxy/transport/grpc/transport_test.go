package grpc

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	orcapb "github.com/cncf/xds/go/xds/data/orca/v3"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"caperarch/internal/lab/testbed"
	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/clock"
	"caperarch/policy"
)

func newTransport(t *testing.T, edit func(*Config)) *Transport {
	t.Helper()
	cfg := Config{
		Clock: clock.New(), DialTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second, MaxConns: 8,
		LoadMetrics: map[string]policy.LoadFields{
			"inflight": policy.HasInFlight, "queue": policy.HasQueued, "latency_ms": policy.HasService,
		},
	}
	if edit != nil {
		edit(&cfg)
	}
	tr := New(cfg)
	t.Cleanup(tr.Close)
	return tr
}

func message(t *testing.T, body string) *call.Message {
	t.Helper()
	b, err := proto.Marshal(wrapperspb.String(body))
	if err != nil {
		t.Fatal(err)
	}
	return &call.Message{URI: "/ledger.Ledger/entry", Header: map[string][]string{"x-request-id": {"1"}}, Body: b}
}

func send(t *testing.T, tr *Transport, s call.Server, m *call.Message, limit time.Duration) call.Result {
	t.Helper()
	done := make(chan call.Result, 2)
	s.Send(m, call.Within(tr.cfg.Clock.Now()+limit), func(r call.Result) { done <- r })
	return testbed.Wait(t, "the end of an attempt", done)
}

// serveFrames is a server that speaks HTTP/2 frame by frame: answer is called with each stream's id once all of its
// request is here.
func serveFrames(
	t *testing.T, answer func(f *http2.Framer, c net.Conn, stream uint32),
) (address string, streams *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	streams = new(atomic.Int64)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := io.ReadFull(c, make([]byte, len(http2.ClientPreface))); err != nil {
					return
				}
				f := http2.NewFramer(c, c)
				if f.WriteSettings() != nil {
					return
				}
				for {
					frame, err := f.ReadFrame()
					if err != nil {
						return
					}
					switch frame := frame.(type) {
					case *http2.SettingsFrame:
						if !frame.IsAck() {
							_ = f.WriteSettingsAck()
						}
					case *http2.PingFrame:
						_ = f.WritePing(true, frame.Data)
					case *http2.HeadersFrame:
						streams.Add(1)
					case *http2.DataFrame:
						if frame.StreamEnded() {
							answer(f, c, frame.StreamID)
						}
					}
				}
			}()
		}
	}()
	return l.Addr().String(), streams
}

func writeTrailers(f *http2.Framer, stream uint32, fields ...string) {
	var block writer
	e := hpack.NewEncoder(&block)
	for i := 0; i+1 < len(fields); i += 2 {
		_ = e.WriteField(hpack.HeaderField{Name: fields[i], Value: fields[i+1]})
	}
	_ = f.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: block, EndHeaders: true, EndStream: true})
}

type writer []byte

func (w *writer) Write(p []byte) (int, error) {
	*w = append(*w, p...)
	return len(p), nil
}

// What proves that a call never ran, and what doesn't. grpc-go would send the proved ones again by itself, on the
// same connection: whatever it is, one stream is all that reaches the server.
func TestWhatProvesThatACallNeverRan(t *testing.T) {
	for name, c := range map[string]struct {
		answer func(f *http2.Framer, c net.Conn, stream uint32)
		want   policy.Ending
	}{
		"REFUSED_STREAM": {func(f *http2.Framer, _ net.Conn, s uint32) {
			_ = f.WriteRSTStream(s, http2.ErrCodeRefusedStream)
		}, policy.NotProcessed},
		"GOAWAY below it": {func(f *http2.Framer, c net.Conn, s uint32) {
			_ = f.WriteGoAway(0, http2.ErrCodeNo, nil)
		}, policy.NotProcessed},
		"RST INTERNAL_ERROR": {func(f *http2.Framer, _ net.Conn, s uint32) {
			_ = f.WriteRSTStream(s, http2.ErrCodeInternal)
		}, policy.ConnectionLost},
		"GOAWAY above it, then closed": {func(f *http2.Framer, c net.Conn, s uint32) {
			_ = f.WriteGoAway(s, http2.ErrCodeNo, nil)
			c.Close()
		}, policy.ConnectionLost},
		"closed": {func(_ *http2.Framer, c net.Conn, _ uint32) { c.Close() }, policy.ConnectionLost},
		"UNAVAILABLE": {func(f *http2.Framer, _ net.Conn, s uint32) {
			writeTrailers(f, s, ":status", "200", "content-type", "application/grpc", "grpc-status", "14")
		}, policy.Errored},
		"UNAVAILABLE, not processed": {func(f *http2.Framer, _ net.Conn, s uint32) {
			writeTrailers(f, s, ":status", "200", "content-type", "application/grpc", "grpc-status", "14",
				notProcessedTrailer, "1")
		}, policy.NotProcessed},
		"NOT_FOUND": {func(f *http2.Framer, _ net.Conn, s uint32) {
			writeTrailers(f, s, ":status", "200", "content-type", "application/grpc", "grpc-status", "5")
		}, policy.Served},
		"no gRPC": {func(f *http2.Framer, _ net.Conn, s uint32) {
			writeTrailers(f, s, ":status", "503", "content-type", "text/html")
		}, policy.ConnectionLost},
	} {
		t.Run(name, func(t *testing.T) {
			address, streams := serveFrames(t, c.answer)
			tr := newTransport(t, nil)
			got := send(t, tr, tr.Server(address), message(t, "1"), testbed.MaxWait)
			if got.Ending != c.want {
				t.Errorf("ending %v, want %v; status %v", got.Ending, c.want, codes.Code(got.Status))
			}
			time.Sleep(20 * time.Millisecond) // what grpc would send by itself
			if n := streams.Load(); n != 1 {
				t.Errorf("%d streams reached the server, want 1", n)
			}
		})
	}
}

// Endings over a real server.
func TestEndings(t *testing.T) {
	for act, want := range map[testbed.Act]policy.Ending{
		testbed.Serve:    policy.Served,
		testbed.Reject:   policy.NotProcessed,
		testbed.Fail:     policy.Errored,
		testbed.Busy:     policy.Errored,
		testbed.Reset:    policy.ConnectionLost,
		testbed.Garbage:  policy.ConnectionLost,
		testbed.Truncate: policy.ConnectionLost,
		testbed.Hang:     policy.TimedOut,
	} {
		t.Run(act.String(), func(t *testing.T) {
			l := new(testbed.ArrivalLog)
			n := testbed.NewGRPCNode(t, "s-0", l)
			n.Do(testbed.Always(act))
			tr := newTransport(t, nil)
			limit := testbed.MaxWait
			if act == testbed.Hang {
				limit = 300 * time.Millisecond
			}
			if got := send(t, tr, tr.Server(n.Address), message(t, "1"), limit); got.Ending != want {
				t.Errorf("ending %v, want %v", got.Ending, want)
			}
			if n := l.Len(); n != 1 {
				t.Errorf("%d arrivals, want 1", n)
			}
		})
	}
}

func TestNoConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	tr := newTransport(t, nil)
	s := tr.Server(address)
	for range 3 { // also while grpc waits before it tries again
		if got := send(t, tr, s, message(t, "1"), testbed.MaxWait); got.Ending != policy.NoConnection {
			t.Errorf("ending %v, want %v", got.Ending, policy.NoConnection)
		}
	}
}

// A machine that takes the connection and says nothing at all: no stream is ever created.
func TestConnectionThatNeverComesUp(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	tr := newTransport(t, func(c *Config) { c.DialTimeout = 200 * time.Millisecond })
	begun := time.Now()
	got := send(t, tr, tr.Server(l.Addr().String()), message(t, "1"), testbed.MaxWait)
	if took := time.Since(begun); got.Ending != policy.NoConnection || took > 5*time.Second {
		t.Errorf("ending %v after %v, want %v within the time for a connection", got.Ending, took, policy.NoConnection)
	}
}

// Cancelled, or late, before it is written: nothing goes out.
func TestCancelledOrLateCallIsNotSent(t *testing.T) {
	l := new(testbed.ArrivalLog)
	n := testbed.NewGRPCNode(t, "s-0", l)
	tr := newTransport(t, func(c *Config) { c.Clock = clock.NewAdjustable() })
	s := tr.Server(n.Address)
	if got := send(t, tr, s, message(t, "1"), testbed.MaxWait); got.Ending != policy.Served {
		t.Fatalf("ending %v, want served", got.Ending)
	}
	done := make(chan call.Result, 2)
	until := tr.cfg.Clock.Now() + time.Minute
	tr.cfg.Clock.Advance(time.Hour) // the process was stopped between the decision and the write
	s.Send(message(t, "1"), call.Within(until), func(r call.Result) { done <- r })
	if got := testbed.Wait(t, "its end", done); got.Ending == policy.Served || got.Ending == policy.TimedOut {
		t.Errorf("ending %v for a call that was late before it was written", got.Ending)
	}
	x := s.Send(message(t, "1"), call.Within(tr.cfg.Clock.Now()+time.Minute), func(r call.Result) { done <- r })
	x.Cancel()
	testbed.Wait(t, "its end", done)
	if n := len(l.Of("1")); n > 2 {
		t.Errorf("%d arrivals, the late call must not be one", n)
	}
}

// A server that lets a call time out may be partitioned: the next call opens another connection.
func TestTimeoutRetiresTheConnection(t *testing.T) {
	n := testbed.NewGRPCNode(t, "s-0", new(testbed.ArrivalLog))
	n.Do(testbed.Always(testbed.Hang))
	tr := newTransport(t, func(c *Config) { c.DialTimeout = 100 * time.Millisecond })
	s := tr.Server(n.Address)
	if got := send(t, tr, s, message(t, "1"), 400*time.Millisecond); got.Ending != policy.TimedOut {
		t.Fatalf("ending %v, want %v", got.Ending, policy.TimedOut)
	}
	n.Do(testbed.Always(testbed.Serve))
	if got := send(t, tr, s, message(t, "1"), testbed.MaxWait); got.Ending != policy.Served {
		t.Fatalf("ending %v, want served", got.Ending)
	}
	if got := tr.Counters(); got["dialled"] != 2 || got["open"] != 1 {
		t.Errorf("%v, want two dialled and one open", got)
	}
}

// At the limit the connection without a call makes room; where all have one, nothing is sent.
func TestConnectionLimit(t *testing.T) {
	l := new(testbed.ArrivalLog)
	a, b := testbed.NewGRPCNode(t, "a", l), testbed.NewGRPCNode(t, "b", l)
	tr := newTransport(t, func(c *Config) { c.MaxConns = 1 })
	sa, sb := tr.Server(a.Address), tr.Server(b.Address)
	for _, s := range []call.Server{sa, sb} {
		if got := send(t, tr, s, message(t, "1"), testbed.MaxWait); got.Ending != policy.Served {
			t.Fatalf("ending %v, want served", got.Ending)
		}
	}
	b.Do(testbed.Always(testbed.Hang))
	done := make(chan call.Result, 2)
	x := sb.Send(message(t, "1"), call.Within(tr.cfg.Clock.Now()+testbed.MaxWait), func(r call.Result) { done <- r })
	testbed.Until(t, "the call", func() bool { return l.Len() == 3 })
	if got := send(t, tr, sa, message(t, "1"), testbed.MaxWait); got.Ending != policy.NotSent {
		t.Errorf("ending %v, want %v: our own limit says nothing of the server", got.Ending, policy.NotSent)
	}
	x.Cancel()
	if got := testbed.Wait(t, "its end", done); got.Ending != policy.Cancelled {
		t.Errorf("ending %v, want %v", got.Ending, policy.Cancelled)
	}
}

func TestLoadReport(t *testing.T) {
	n := testbed.NewGRPCNode(t, "s-0", new(testbed.ArrivalLog))
	n.Load = func() string { return "TEXT inflight=7, queue=2, latency_ms=40, unheard=3" }
	tr := newTransport(t, nil)
	got := send(t, tr, tr.Server(n.Address), message(t, "1"), testbed.MaxWait)
	want := policy.Load{
		Has:      policy.HasInFlight | policy.HasQueued | policy.HasService,
		InFlight: 7, Queued: 2, Service: 40 * time.Millisecond,
	}
	if got.Load != want {
		t.Errorf("load %+v, want %+v", got.Load, want)
	}
	own := tr.loadFromORCA(&orcapb.OrcaLoadReport{CpuUtilization: 0.6, RpsFractional: 12, Eps: 2})
	if own.Busy != 0.6 || own.Served != 10 || own.Errors != 2 {
		t.Errorf("the fields that ORCA has itself: %+v", own)
	}
	if got := tr.parseLoad(metadata.Pairs(loadTrailer, "\xff\xff")); got.Has != 0 {
		t.Errorf("a report that can't be read: %+v", got)
	}
	if got := tr.loadFromORCA(&orcapb.OrcaLoadReport{NamedMetrics: map[string]float64{"inflight": -1}}); got.Has != 0 {
		t.Errorf("a value that is none: %+v", got)
	}
}

// A stream is its client's from its header on; its attempt ends with it, once.
func TestStream(t *testing.T) {
	n := testbed.NewGRPCNode(t, "s-0", new(testbed.ArrivalLog), grpc.MaxConcurrentStreams(100))
	tr := newTransport(t, nil)
	m := message(t, "stream 3")
	m.Stream = true
	results := make(chan call.Result, 4)
	tr.Server(n.Address).Send(m, call.Within(tr.cfg.Clock.Now()+testbed.MaxWait), func(r call.Result) { results <- r })
	begun := testbed.Wait(t, "its begin", results)
	s, ok := begun.Stream.(*Stream)
	if !ok || s.Header().Get("x-stream")[0] != "3" {
		t.Fatalf("begun with %+v", begun)
	}
	for range 3 {
		if _, err := s.Recv(); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := s.Recv(); err != io.EOF {
		t.Errorf("behind the last: %v, want EOF", err)
	}
	s.Close()
	if end := testbed.Wait(t, "its end", results); end.Ending != policy.Served || end.Stream != nil || len(results) > 0 {
		t.Errorf("ended with %+v and %d more", end, len(results))
	}
}

// Close ends everything, with calls and probes under way.
func TestClose(t *testing.T) {
	l := new(testbed.ArrivalLog)
	n := testbed.NewGRPCNode(t, "s-0", l)
	n.Do(testbed.Always(testbed.Hang))
	tr := New(Config{
		Clock: clock.New(), DialTimeout: time.Second, IdleTimeout: time.Minute, MaxConns: 2, ORCAProbes: true,
	})
	s := tr.Server(n.Address)
	ends := make(chan call.Result, 9)
	for range 3 {
		s.Send(message(t, "1"), call.Within(tr.cfg.Clock.Now()+testbed.MaxWait), func(r call.Result) { ends <- r })
	}
	testbed.Until(t, "the calls", func() bool { return l.Len() == 3 })
	closed := make(chan struct{})
	go func() { tr.Close(); close(closed) }()
	testbed.Wait(t, "the close", closed)
	if len(ends) != 3 || tr.Counters()["open"] != 0 {
		t.Errorf("%d ends, %v", len(ends), tr.Counters())
	}
	testbed.Until(t, "the node's connections to end", func() bool { return n.Open() == 0 })
}
