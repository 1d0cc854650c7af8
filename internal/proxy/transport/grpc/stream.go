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

// Stream is a server's stream that has begun. Recv is called from one goroutine at a time; Close from any.
type Stream struct {
	attempt      *attempt
	ctx          context.Context
	clientStream grpc.ClientStream
	header       metadata.MD

	// What was read before the stream was known to have begun.
	firstMessage    []byte
	hasFirstMessage bool
	firstErr        error
}

// Recv returns the next message, io.EOF behind the last one, or the server's status as an error.
func (s *Stream) Recv() ([]byte, error) {
	if s.hasFirstMessage {
		s.hasFirstMessage = false
		return s.firstMessage, nil
	}
	var body []byte
	err := s.firstErr
	if err == nil {
		err = s.clientStream.RecvMsg(&body)
	}
	if err == nil {
		return body, nil
	}
	end := err
	if errors.Is(err, io.EOF) {
		end = nil
	}
	s.attempt.finish(s.attempt.result(s.ctx, end, s.header, s.clientStream.Trailer(), nil))
	return nil, err
}

// Header is the header metadata.
func (s *Stream) Header() metadata.MD { return s.header }

// Trailer is the trailer metadata, once Recv has returned an error.
func (s *Stream) Trailer() metadata.MD { return s.clientStream.Trailer() }

// Close cancels the stream, unless it has ended.
func (s *Stream) Close() {
	s.attempt.Cancel()
	s.attempt.finish(call.Result{Ending: policy.Cancelled})
}

// runStream begins a server stream: up to its header it is an attempt as any other, then it belongs to its client.
func (a *attempt) runStream(ctx context.Context, opts []grpc.CallOption) {
	if a.message.StreamDeadline > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithDeadlineCause(ctx, a.transport.cfg.Clock.At(a.message.StreamDeadline), errTimedOut)
		context.AfterFunc(a.ctx, stop) // which finish cancels
	}
	wait := time.AfterFunc(a.until-a.transport.cfg.Clock.Now(), func() { a.cancel(errTimedOut) })
	cs, err := a.subchannel.clientConn.NewStream(ctx, &grpc.StreamDesc{ServerStreams: true}, a.message.URI, opts...)
	if err != nil {
		a.finish(a.result(ctx, err, nil, nil, nil))
		return
	}
	if err = cs.SendMsg(&a.message.Body); err == nil || errors.Is(err, io.EOF) { // EOF: its status comes with the response
		err = cs.CloseSend()
	}
	var md metadata.MD
	if err == nil {
		md, err = cs.Header()
	}
	a.mu.Lock()
	begun := a.headerReceived
	a.mu.Unlock()
	st := &Stream{attempt: a, ctx: ctx, clientStream: cs, header: md}
	// statsHandler's report may lag behind Header itself, and a response of trailers alone has no header: the first
	// message shows which it is, and is kept.
	if err == nil && !begun {
		switch err = cs.RecvMsg(&st.firstMessage); {
		case err == nil:
			st.hasFirstMessage = true
		case errors.Is(err, io.EOF): // an empty stream
			st.firstErr, err = err, nil
		}
	}
	if err != nil {
		if errors.Is(err, io.EOF) { // SendMsg's: the status comes with the response
			var body []byte
			err = cs.RecvMsg(&body)
		}
		a.finish(a.result(ctx, err, md, cs.Trailer(), nil))
		return
	}
	if !wait.Stop() { // it timed out as it began: only one of both is reported
		a.finish(call.Result{Ending: policy.TimedOut})
		return
	}
	a.done(call.Result{Ending: policy.Served, Header: map[string][]string(md), Stream: st})
	// After its begin was reported, or its end could come first. It ends with its context too: a stream that nobody
	// reads must not occupy its slot, nor keep Close waiting.
	context.AfterFunc(ctx, func() { a.finish(call.Result{Ending: policy.Cancelled}) })
}
