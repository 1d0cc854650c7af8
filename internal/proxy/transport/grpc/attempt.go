package grpc

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"

	"caperarch/internal/proxy/call"
	"caperarch/policy"
)

// Causes of a cancelled attempt context other than its deadline.
var (
	errCancelled        = errors.New("called off")
	errNoConnection     = errors.New("no connection to the server was established in time")
	errTransparentRetry = errors.New("grpc-go started a transparent retry")
	errTimedOut         = errors.New("timed out")
)

// attempt is one attempt in flight. It runs on its own goroutine, and Transport.Close waits for that goroutine.
type attempt struct {
	transport  *Transport
	host       *host
	subchannel *subchannel
	message    *call.Message
	sendBy     time.Duration // the request is not written at or after this time
	until      time.Duration // the attempt times out at this time
	started    time.Duration // time at which Send was called
	done       func(call.Result)
	ctx        context.Context
	cancel     context.CancelCauseFunc

	mu              sync.Mutex // guards the fields below, which statsHandler sets
	streamCreated   bool       // the call may have reached the server
	unprocessed     bool       // grpc-go knows that the server did not process the call
	headerReceived  bool       // the response header was received
	trailerReceived bool       // the server's status was received
	ended           bool       // the result was reported
}

// attemptKey is the context key under which an attempt's context holds the attempt.
type attemptKey struct{}

func (a *attempt) Cancel() { a.cancel(errCancelled) }

// run sends the call over the attempt's subchannel.
func (a *attempt) run() {
	if a.transport.cfg.Clock.Now() >= a.sendBy { // the process was suspended, which is not the server's failure
		a.finish(call.Result{Ending: policy.NotSent})
		return
	}
	defer a.limitConnecting()()
	ctx := metadata.NewOutgoingContext(a.ctx, metadata.MD(a.message.Header))
	opts := []grpc.CallOption{grpc.ForceCodecV2(rawCodec{a.contentSubtype()})}
	if a.message.Host != "" {
		opts = append(opts, grpc.CallAuthority(a.message.Host))
	}
	if a.message.Stream {
		a.runStream(ctx, opts)
		return
	}
	ctx, stop := context.WithDeadlineCause(ctx, a.transport.cfg.Clock.At(a.until), errTimedOut)
	defer stop()
	var body []byte
	var header, trailer metadata.MD
	opts = append(opts, grpc.Header(&header), grpc.Trailer(&trailer))
	err := a.subchannel.clientConn.Invoke(ctx, a.message.URI, &a.message.Body, &body, opts...)
	a.finish(a.result(ctx, err, header, trailer, body))
}

// limitConnecting cancels the attempt if its stream is not created in time: connecting to a partitioned machine never
// succeeds, and a repeat must not be written after its sendBy time. Calling stop ends the limit.
func (a *attempt) limitConnecting() (stop func()) {
	connected := a.subchannel.clientConn.GetState().String() == "READY"
	if connected && a.sendBy >= a.until { // the deadline of the call has the same effect
		return func() {}
	}
	within := a.sendBy - a.transport.cfg.Clock.Now()
	if !connected {
		within = min(within, a.transport.cfg.DialTimeout)
	}
	timer := time.AfterFunc(within, func() {
		a.mu.Lock()
		created := a.streamCreated
		a.mu.Unlock()
		if !created {
			a.cancel(errNoConnection)
		}
	})
	return func() { timer.Stop() }
}

// contentSubtype returns the gRPC content subtype, which names the encoding of the messages.
func (a *attempt) contentSubtype() string {
	if a.message.Format == "" {
		return "proto"
	}
	return a.message.Format
}

// finish reports the attempt's result. Only the first call has an effect.
func (a *attempt) finish(r call.Result) {
	a.mu.Lock()
	first := !a.ended
	a.ended = true
	a.mu.Unlock()
	if !first {
		return
	}
	a.transport.release(a, r.Ending)
	a.done(r)
	a.cancel(nil)
	a.transport.running.Done()
}
