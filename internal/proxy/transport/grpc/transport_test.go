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
	return testbed.Wait(t, "the result of an attempt", done)
}

// serveFrames starts a server that reads and writes HTTP/2 frames. It calls answer with the id of each stream whose
// request was received completely, and counts the streams.
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
	var block byteWriter
	e := hpack.NewEncoder(&block)
	for i := 0; i+1 < len(fields); i += 2 {
		_ = e.WriteField(hpack.HeaderField{Name: fields[i], Value: fields[i+1]})
	}
	_ = f.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: block, EndHeaders: true, EndStream: true})
}

type byteWriter []byte

func (w *byteWriter) Write(p []byte) (int, error) {
	*w = append(*w, p...)
	return len(p), nil
}

// Only REFUSED_STREAM, a GOAWAY with a lower stream id and the not-processed trailer prove that the server did not
// process a call. grpc-go retries transparently after the first two; guards against a retry that reaches the server.
func TestProofOfUnprocessedCall(t *testing.T) {
	for name, c := range map[string]struct {
		answer func(f *http2.Framer, c net.Conn, stream uint32)
		want   policy.Ending
	}{
		"REFUSED_STREAM": {func(f *http2.Framer, _ net.Conn, s uint32) {
			_ = f.WriteRSTStream(s, http2.ErrCodeRefusedStream)
		}, policy.NotProcessed},
		"GOAWAY below the stream": {func(f *http2.Framer, c net.Conn, s uint32) {
			_ = f.WriteGoAway(0, http2.ErrCodeNo, nil)
		}, policy.NotProcessed},
		"RST INTERNAL_ERROR": {func(f *http2.Framer, _ net.Conn, s uint32) {
			_ = f.WriteRSTStream(s, http2.ErrCodeInternal)
		}, policy.ConnectionLost},
		"GOAWAY with the stream, then closed": {func(f *http2.Framer, c net.Conn, s uint32) {
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
		"not gRPC": {func(f *http2.Framer, _ net.Conn, s uint32) {
			writeTrailers(f, s, ":status", "503", "content-type", "text/html")
		}, policy.ConnectionLost},
	} {
		t.Run(name, func(t *testing.T) {
			address, streams := serveFrames(t, c.answer)
			tr := newTransport(t, nil)
			got := send(t, tr, tr.Server(address), message(t, "1"), testbed.MaxWait)
			if got.Ending != c.want {
				t.Errorf("attempt ended as %v, want %v; status %v", got.Ending, c.want, codes.Code(got.Status))
			}
			time.Sleep(20 * time.Millisecond) // time for a transparent retry of grpc-go to arrive
			if n := streams.Load(); n != 1 {
				t.Errorf("%d streams reached the server, want 1", n)
			}
		})
	}
}

// Checks the ending of an attempt for each behaviour of a grpc-go server.
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
				t.Errorf("attempt ended as %v, want %v", got.Ending, want)
			}
			if n := l.Len(); n != 1 {
				t.Errorf("%d requests reached the server, want 1", n)
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
	for range 3 { // the later calls are made while grpc-go waits before it reconnects
		if got := send(t, tr, s, message(t, "1"), testbed.MaxWait); got.Ending != policy.NoConnection {
			t.Errorf("attempt to a closed port ended as %v, want %v", got.Ending, policy.NoConnection)
		}
	}
}

// Guards against an attempt that waits until its deadline for a server that accepts TCP connections but sends no HTTP/2
// frames. No stream is created on such a connection.
func TestServerWithoutHTTP2(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	tr := newTransport(t, func(c *Config) { c.DialTimeout = 200 * time.Millisecond })
	started := time.Now()
	got := send(t, tr, tr.Server(l.Addr().String()), message(t, "1"), testbed.MaxWait)
	if took := time.Since(started); got.Ending != policy.NoConnection || took > 5*time.Second {
		t.Errorf("attempt ended as %v after %v, want %v within DialTimeout", got.Ending, took, policy.NoConnection)
	}
}

// Guards against writing a request that was cancelled, or whose deadline has passed, before it was written.
func TestCancelledOrLateCallIsNotSent(t *testing.T) {
	l := new(testbed.ArrivalLog)
	n := testbed.NewGRPCNode(t, "s-0", l)
	tr := newTransport(t, func(c *Config) { c.Clock = clock.NewAdjustable() })
	s := tr.Server(n.Address)
	if got := send(t, tr, s, message(t, "1"), testbed.MaxWait); got.Ending != policy.Served {
		t.Fatalf("first attempt ended as %v, want Served", got.Ending)
	}
	done := make(chan call.Result, 2)
	until := tr.cfg.Clock.Now() + time.Minute
	tr.cfg.Clock.Advance(time.Hour) // the process is suspended between the decision to send and the write
	s.Send(message(t, "1"), call.Within(until), func(r call.Result) { done <- r })
	if got := testbed.Wait(t, "the result of the late call", done); got.Ending == policy.Served ||
		got.Ending == policy.TimedOut {
		t.Errorf("late call ended as %v, want an ending that proves that it was not sent", got.Ending)
	}
	x := s.Send(message(t, "1"), call.Within(tr.cfg.Clock.Now()+time.Minute), func(r call.Result) { done <- r })
	x.Cancel()
	testbed.Wait(t, "the result of the cancelled call", done)
	if n := len(l.Of("1")); n > 2 {
		t.Errorf("%d requests reached the server, want at most 2 because the late call is not sent", n)
	}
}

// A server may be partitioned when a call times out, so the next call opens a new connection.
func TestTimeoutRetiresTheConnection(t *testing.T) {
	n := testbed.NewGRPCNode(t, "s-0", new(testbed.ArrivalLog))
	n.Do(testbed.Always(testbed.Hang))
	tr := newTransport(t, func(c *Config) { c.DialTimeout = 100 * time.Millisecond })
	s := tr.Server(n.Address)
	if got := send(t, tr, s, message(t, "1"), 400*time.Millisecond); got.Ending != policy.TimedOut {
		t.Fatalf("attempt at a hanging server ended as %v, want %v", got.Ending, policy.TimedOut)
	}
	n.Do(testbed.Always(testbed.Serve))
	if got := send(t, tr, s, message(t, "1"), testbed.MaxWait); got.Ending != policy.Served {
		t.Fatalf("attempt after the time-out ended as %v, want Served", got.Ending)
	}
	if got := tr.Counters(); got["dialled"] != 2 || got["open"] != 1 {
		t.Errorf("counters are %v, want two connections dialled and one open", got)
	}
}

// At the connection limit, a connection without calls is closed in favour of the new one. If all connections have
// calls, nothing is sent.
func TestConnectionLimit(t *testing.T) {
	l := new(testbed.ArrivalLog)
	a, b := testbed.NewGRPCNode(t, "a", l), testbed.NewGRPCNode(t, "b", l)
	tr := newTransport(t, func(c *Config) { c.MaxConns = 1 })
	sa, sb := tr.Server(a.Address), tr.Server(b.Address)
	for _, s := range []call.Server{sa, sb} {
		if got := send(t, tr, s, message(t, "1"), testbed.MaxWait); got.Ending != policy.Served {
			t.Fatalf("attempt ended as %v, want Served", got.Ending)
		}
	}
	b.Do(testbed.Always(testbed.Hang))
	done := make(chan call.Result, 2)
	x := sb.Send(message(t, "1"), call.Within(tr.cfg.Clock.Now()+testbed.MaxWait), func(r call.Result) { done <- r })
	testbed.Until(t, "the call to arrive", func() bool { return l.Len() == 3 })
	if got := send(t, tr, sa, message(t, "1"), testbed.MaxWait); got.Ending != policy.NotSent {
		t.Errorf("attempt at the connection limit ended as %v, want %v", got.Ending, policy.NotSent)
	}
	x.Cancel()
	if got := testbed.Wait(t, "the result of the cancelled call", done); got.Ending != policy.Cancelled {
		t.Errorf("cancelled call ended as %v, want %v", got.Ending, policy.Cancelled)
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
	fromFields := tr.loadFromORCA(&orcapb.OrcaLoadReport{CpuUtilization: 0.6, RpsFractional: 12, Eps: 2})
	if fromFields.Busy != 0.6 || fromFields.Served != 10 || fromFields.Errors != 2 {
		t.Errorf("load from ORCA's own fields is %+v, want Busy 0.6, Served 10, Errors 2", fromFields)
	}
	if got := tr.parseLoad(metadata.Pairs(loadTrailer, "\xff\xff")); got.Has != 0 {
		t.Errorf("load from a malformed report is %+v, want no fields", got)
	}
	if got := tr.loadFromORCA(&orcapb.OrcaLoadReport{NamedMetrics: map[string]float64{"inflight": -1}}); got.Has != 0 {
		t.Errorf("load from a negative in-flight count is %+v, want no fields", got)
	}
}

// An attempt reports the start of its stream when the header is received, and reports exactly one result when the
// stream ends.
func TestStream(t *testing.T) {
	n := testbed.NewGRPCNode(t, "s-0", new(testbed.ArrivalLog), grpc.MaxConcurrentStreams(100))
	tr := newTransport(t, nil)
	m := message(t, "stream 3")
	m.Stream = true
	results := make(chan call.Result, 4)
	tr.Server(n.Address).Send(m, call.Within(tr.cfg.Clock.Now()+testbed.MaxWait), func(r call.Result) { results <- r })
	started := testbed.Wait(t, "the start of the stream", results)
	s, ok := started.Stream.(*Stream)
	if !ok || s.Header().Get("x-stream")[0] != "3" {
		t.Fatalf("first result is %+v, want a stream with the header x-stream: 3", started)
	}
	for range 3 {
		if _, err := s.Recv(); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := s.Recv(); err != io.EOF {
		t.Errorf("Recv after the last message returned %v, want io.EOF", err)
	}
	s.Close()
	if last := testbed.Wait(t, "the end of the stream", results); last.Ending != policy.Served ||
		last.Stream != nil || len(results) > 0 {
		t.Errorf("stream ended with %+v and %d more results, want Served and no more", last, len(results))
	}
}

// Close ends calls that are in flight and closes their connections.
func TestClose(t *testing.T) {
	l := new(testbed.ArrivalLog)
	n := testbed.NewGRPCNode(t, "s-0", l)
	n.Do(testbed.Always(testbed.Hang))
	tr := New(Config{
		Clock: clock.New(), DialTimeout: time.Second, IdleTimeout: time.Minute, MaxConns: 2, ORCAProbes: true,
	})
	s := tr.Server(n.Address)
	results := make(chan call.Result, 9)
	for range 3 {
		s.Send(message(t, "1"), call.Within(tr.cfg.Clock.Now()+testbed.MaxWait), func(r call.Result) { results <- r })
	}
	testbed.Until(t, "the calls to arrive", func() bool { return l.Len() == 3 })
	closed := make(chan struct{})
	go func() { tr.Close(); close(closed) }()
	testbed.Wait(t, "Close to return", closed)
	if len(results) != 3 || tr.Counters()["open"] != 0 {
		t.Errorf("%d results with counters %v, want 3 results and no open connection", len(results), tr.Counters())
	}
	testbed.Until(t, "the server's connections to close", func() bool { return n.Open() == 0 })
}
