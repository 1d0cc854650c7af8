package grpc

import (
	"context"
	"errors"
	"io"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"

	"caperarch/internal/proxy/call"
	"caperarch/policy"
)

// Stream is a server's stream that has begun. Recv is called from one goroutine at a time.
type Stream struct {
	a   *attempt
	ctx context.Context
	cs  grpc.ClientStream
	md  metadata.MD

	// What was read before it was known to have begun.
	early    []byte
	hasEarly bool
	earlyEnd error
}

// Recv returns the next message, io.EOF behind the last one, or the server's status as an error.
func (s *Stream) Recv() ([]byte, error) {
	if s.hasEarly {
		s.hasEarly = false
		return s.early, nil
	}
	var body []byte
	err := s.earlyEnd
	if err == nil {
		err = s.cs.RecvMsg(&body)
	}
	if err == nil {
		return body, nil
	}
	end := err
	if errors.Is(err, io.EOF) {
		end = nil
	}
	s.a.end(s.a.result(s.ctx, end, s.md, s.cs.Trailer(), nil))
	return nil, err
}

// Header is the header metadata.
func (s *Stream) Header() metadata.MD { return s.md }

// Trailer is the trailer metadata, once Recv has returned an error.
func (s *Stream) Trailer() metadata.MD { return s.cs.Trailer() }

// Close gives the stream up; one that has ended is passed over.
func (s *Stream) Close() {
	s.a.Cancel()
	s.a.end(call.Result{Ending: policy.Cancelled})
}

// stream begins a server stream: up to its header it is an attempt as any other, then it is its client's.
func (a *attempt) stream(ctx context.Context, opts []grpc.CallOption) {
	if a.m.StreamDeadline > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithDeadlineCause(ctx, a.t.cfg.Clock.At(a.m.StreamDeadline), errTimedOut)
		context.AfterFunc(a.ctx, stop) // which end cancels
	}
	wait := time.AfterFunc(a.until-a.t.cfg.Clock.Now(), func() { a.cancel(errTimedOut) })
	cs, err := a.sub.cc.NewStream(ctx, &grpc.StreamDesc{ServerStreams: true}, a.m.URI, opts...)
	if err != nil {
		a.end(a.result(ctx, err, nil, nil, nil))
		return
	}
	if err = cs.SendMsg(&a.m.Body); err == nil || errors.Is(err, io.EOF) { // EOF: its status comes with the answer
		err = cs.CloseSend()
	}
	var md metadata.MD
	if err == nil {
		md, err = cs.Header()
	}
	a.mu.Lock()
	begun := a.headers
	a.mu.Unlock()
	st := &Stream{a: a, ctx: ctx, cs: cs, md: md}
	// The word on the header may lag behind Header itself, and an answer of trailers alone has none: the next
	// message tells, and it is kept.
	if err == nil && !begun {
		switch err = cs.RecvMsg(&st.early); {
		case err == nil:
			st.hasEarly = true
		case errors.Is(err, io.EOF): // an empty stream
			st.earlyEnd, err = err, nil
		}
	}
	if err != nil {
		if errors.Is(err, io.EOF) { // SendMsg's: the status comes with the answer
			var body []byte
			err = cs.RecvMsg(&body)
		}
		a.end(a.result(ctx, err, md, cs.Trailer(), nil))
		return
	}
	if !wait.Stop() { // its time ended as it began: one of both
		a.end(call.Result{Ending: policy.TimedOut})
		return
	}
	a.done(call.Result{Ending: policy.Served, Header: map[string][]string(md), Stream: st})
	// Behind its begin, or its end could come first. It ends with its context too: a stream that nobody reads must not keep its slot, nor Close waiting.
	context.AfterFunc(ctx, func() { a.end(call.Result{Ending: policy.Cancelled}) })
}
