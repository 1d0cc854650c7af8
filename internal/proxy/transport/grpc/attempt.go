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

// Why an attempt's context ended, where that was not its deadline.
var (
	errCancelled        = errors.New("called off")
	errNoConnection     = errors.New("no connection came up")
	errTransparentRetry = errors.New("grpc would send the call again by itself")
	errTimedOut         = errors.New("timed out")
)

// attempt is one attempt under way. It runs on a goroutine of its own, which Transport.Close waits for.
type attempt struct {
	transport  *Transport
	host       *host
	subchannel *subchannel
	message    *call.Message
	sendBy     time.Duration // nothing is written from then on
	until      time.Duration
	begun      time.Duration
	done       func(call.Result)
	ctx        context.Context
	cancel     context.CancelCauseFunc

	mu              sync.Mutex // guards the fields below, which statsHandler sets
	streamCreated   bool       // from then on the call may reach the server
	unprocessed     bool       // grpc knows that the server has not begun it
	headerReceived  bool       // the response has begun
	trailerReceived bool       // the server's status was received
	ended           bool
}

// attemptKey is an attempt's key in its context.
type attemptKey struct{}

// Cancel cancels the attempt.
func (a *attempt) Cancel() { a.cancel(errCancelled) }

// run sends the call over the attempt's subchannel.
func (a *attempt) run() {
	if a.transport.cfg.Clock.Now() >= a.sendBy { // the process was stopped meanwhile: that says nothing of the server
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

// limitConnecting gives the attempt up if its stream isn't created in time, until the function that it returns is
// called: of a partitioned machine no connection ever comes up, and a repeat is of no use later than it may be written.
func (a *attempt) limitConnecting() (stop func()) {
	connected := a.subchannel.clientConn.GetState().String() == "READY"
	if connected && a.sendBy >= a.until { // the deadline of the call does the same
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

// contentSubtype is the name of the messages' encoding.
func (a *attempt) contentSubtype() string {
	if a.message.Format == "" {
		return "proto"
	}
	return a.message.Format
}

// finish reports the attempt's result, once.
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
