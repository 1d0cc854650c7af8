package grpc

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"caperarch/internal/proxy/call"
	"caperarch/policy"
)

// notProcessed is the trailer by which a server says that it has not begun a call: the gRPC form of the
// protocol's X-Not-Processed. It counts in an answer of trailers alone.
const notProcessed = "x-not-processed"

// deadlineMargin is how much earlier than ours a server's clock may end a call whose time is up.
const deadlineMargin = 50 * time.Millisecond

// why an attempt's context ended, where that was not its time.
var (
	errCalledOff = errors.New("called off")
	errNoConn    = errors.New("no connection came up")
	errNotAgain  = errors.New("grpc would send the call again by itself")
	errTimedOut  = errors.New("timed out")
)

// attempt is one under way, as grpc's own signals tell of it.
type attempt struct {
	t      *Transport
	h      *host
	sub    *subchannel
	m      *call.Message
	until  time.Duration
	begun  time.Duration
	done   func(call.Result)
	ctx    context.Context
	cancel context.CancelCauseFunc

	mu          sync.Mutex
	created     bool // a stream was created: from then on the call may reach the server
	unprocessed bool // grpc knows that the server has not begun it
	headers     bool // the answer has begun
	trailers    bool // the server's status came
	ended       bool
}

type attemptKey struct{}

// Cancel gives the attempt up.
func (a *attempt) Cancel() { a.cancel(errCalledOff) }

// signals hears what grpc does with each stream.
type signals struct{}

// TagRPC implements stats.Handler.
func (signals) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// TagConn implements stats.Handler.
func (signals) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (signals) HandleConn(context.Context, stats.ConnStats) {}

// HandleRPC implements stats.Handler.
func (signals) HandleRPC(ctx context.Context, s stats.RPCStats) {
	a, _ := ctx.Value(attemptKey{}).(*attempt)
	if a == nil {
		return
	}
	switch s := s.(type) {
	case *stats.Begin:
		// grpc-go repeats a stream by itself only where nothing of it was written or the server said that it
		// did not process it (REFUSED_STREAM, or above the last id of a GOAWAY): that is the proof. Whether it is
		// sent again is the module's to say, so the repeat ends here; guard keeps it off the wire.
		if s.IsTransparentRetryAttempt {
			a.mu.Lock()
			a.unprocessed = true
			a.mu.Unlock()
			a.cancel(errNotAgain)
		}
	case *stats.OutHeader:
		a.mu.Lock()
		a.created = true
		a.mu.Unlock()
	case *stats.InHeader:
		a.mu.Lock()
		a.headers = true
		a.mu.Unlock()
	case *stats.InTrailer:
		a.mu.Lock()
		a.trailers = true
		a.mu.Unlock()
	}
}

// guard is asked for credentials before a stream's head is written: the last moment at which a call that
// is called off or late, or that grpc would repeat, can be held back.
type guard struct{ t *Transport }

// GetRequestMetadata implements credentials.PerRPCCredentials.
func (g guard) GetRequestMetadata(ctx context.Context, _ ...string) (map[string]string, error) {
	a, _ := ctx.Value(attemptKey{}).(*attempt)
	if a == nil {
		return nil, nil // a probe
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.unprocessed || a.ctx.Err() != nil:
		return nil, status.Error(codes.Canceled, "called off before it was written")
	case g.t.cfg.Clock.Now() >= a.until:
		return nil, status.Error(codes.DeadlineExceeded, "its time was up before it was written")
	}
	return nil, nil
}

// RequireTransportSecurity implements credentials.PerRPCCredentials: nothing secret is given away.
func (guard) RequireTransportSecurity() bool { return false }

// run carries the attempt out, over the subchannel that it holds.
func (a *attempt) run() {
	if a.t.cfg.Clock.Now() >= a.until { // the process was stopped since it was decided: no word on the server
		a.end(call.Result{Ending: policy.NotSent})
		return
	}
	if a.sub.cc.GetState().String() != "READY" { // a machine that is cut off: no connection ever comes up
		timer := time.AfterFunc(a.t.cfg.DialTimeout, func() {
			a.mu.Lock()
			created := a.created
			a.mu.Unlock()
			if !created {
				a.cancel(errNoConn)
			}
		})
		defer timer.Stop()
	}
	ctx := metadata.NewOutgoingContext(a.ctx, metadata.MD(a.m.Header))
	opts := []grpc.CallOption{grpc.ForceCodecV2(raw{a.format()})}
	if a.m.Host != "" {
		opts = append(opts, grpc.CallAuthority(a.m.Host))
	}
	if a.m.Stream {
		a.stream(ctx, opts)
		return
	}
	ctx, stop := context.WithDeadlineCause(ctx, a.t.cfg.Clock.At(a.until), errTimedOut)
	defer stop()
	var body []byte
	var header, trailer metadata.MD
	err := a.sub.cc.Invoke(ctx, a.m.URI, &a.m.Body, &body, append(opts, grpc.Header(&header), grpc.Trailer(&trailer))...)
	a.end(a.result(ctx, err, header, trailer, body))
}

func (a *attempt) format() string {
	if a.m.Format == "" {
		return "proto"
	}
	return a.m.Format
}

// end hands the attempt's end over, once.
func (a *attempt) end(r call.Result) {
	a.mu.Lock()
	first := !a.ended
	a.ended = true
	a.mu.Unlock()
	if !first {
		return
	}
	a.t.release(a, r.Ending)
	a.done(r)
	a.cancel(nil)
	a.t.running.Done()
}

// result says how a call ended from what grpc told of it.
func (a *attempt) result(ctx context.Context, err error, header, trailer metadata.MD, body []byte) call.Result {
	a.mu.Lock()
	created, unprocessed, headers, trailers := a.created, a.unprocessed, a.headers, a.trailers
	a.mu.Unlock()
	r := call.Result{Header: map[string][]string(header), Trailer: map[string][]string(trailer), Body: body, Load: a.t.load(trailer)}
	if err == nil {
		r.Ending = policy.Served
		return r
	}
	st := status.Convert(err)
	r.Status, r.Body = int(st.Code()), encodeStatus(st)
	cause := context.Cause(ctx)
	// A server is told the time too, and may end the stream a moment before our own clock does.
	late := a.t.cfg.Clock.Now() >= a.until-deadlineMargin && (st.Code() == codes.DeadlineExceeded || st.Code() == codes.Canceled)
	switch {
	case late && created && !errors.Is(cause, errCalledOff):
		r.Ending = policy.TimedOut
	case trailers: // the server's own word, whatever else went on
		r.Ending = fromStatus(st.Code())
		if !headers && only(trailer, notProcessed) == "1" {
			r.Ending = policy.NotProcessed
		}
	case errors.Is(cause, errCalledOff):
		r.Ending = policy.Cancelled
	case unprocessed && created:
		r.Ending = policy.NotProcessed
	case !created && !errors.Is(cause, errNoConn) && cause == nil && st.Code() == codes.DeadlineExceeded:
		r.Ending = policy.NotSent // held back by guard: our own lack of time, no word on the server
	case !created:
		r.Ending = policy.NoConnection
	case errors.Is(cause, errTimedOut) || ctx.Err() != nil:
		r.Ending = policy.TimedOut
	default:
		r.Ending = policy.ConnectionLost
	}
	return r
}

// fromStatus says what a server's status is to the module. Most codes are an answer of the application,
// which another server would give too; these tell of a server that could not serve.
func fromStatus(c codes.Code) policy.Ending {
	switch c {
	case codes.Unavailable, codes.Internal, codes.Unknown, codes.DataLoss, codes.ResourceExhausted, codes.DeadlineExceeded, codes.Canceled:
		return policy.Errored
	}
	return policy.Served
}

func only(md metadata.MD, name string) string {
	if v := md.Get(name); len(v) == 1 {
		return v[0]
	}
	return ""
}

func encodeStatus(st *status.Status) []byte {
	b, err := proto.Marshal(st.Proto())
	if err != nil {
		return nil // of details that can't be encoded again: the code is still there
	}
	return b
}
