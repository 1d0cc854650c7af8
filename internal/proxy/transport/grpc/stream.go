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

// Stream is a server stream whose response header was received. Recv must be called from one goroutine at a time; Close
// is safe for concurrent use.
type Stream struct {
	attempt      *attempt
	ctx          context.Context
	clientStream grpc.ClientStream
	header       metadata.MD

	// firstMessage and firstErr are the result of the read by which runStream detected the start of the response.
	firstMessage    []byte
	hasFirstMessage bool
	firstErr        error
}

// Recv returns the next message, io.EOF after the last message, or the server's status as an error.
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

// Header returns the header metadata of the response.
func (s *Stream) Header() metadata.MD { return s.header }

// Trailer returns the trailer metadata of the response. It is valid once Recv has returned an error.
func (s *Stream) Trailer() metadata.MD { return s.clientStream.Trailer() }

// Close cancels the stream. It has no effect on a stream that has ended.
func (s *Stream) Close() {
	s.attempt.Cancel()
	s.attempt.finish(call.Result{Ending: policy.Cancelled})
}

// runStream sends the request of a server stream. Until the response header is received the policy may retry the
// attempt; from then on the client owns the stream.
func (a *attempt) runStream(ctx context.Context, opts []grpc.CallOption) {
	if a.message.StreamDeadline > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithDeadlineCause(ctx, a.transport.cfg.Clock.At(a.message.StreamDeadline), errTimedOut)
		context.AfterFunc(a.ctx, stop) // finish cancels a.ctx
	}
	wait := time.AfterFunc(a.until-a.transport.cfg.Clock.Now(), func() { a.cancel(errTimedOut) })
	cs, err := a.subchannel.clientConn.NewStream(ctx, &grpc.StreamDesc{ServerStreams: true}, a.message.URI, opts...)
	if err != nil {
		a.finish(a.result(ctx, err, nil, nil, nil))
		return
	}
	if err = cs.SendMsg(&a.message.Body); err == nil || errors.Is(err, io.EOF) { // io.EOF: the response has the status
		err = cs.CloseSend()
	}
	var md metadata.MD
	if err == nil {
		md, err = cs.Header()
	}
	a.mu.Lock()
	hasHeader := a.headerReceived
	a.mu.Unlock()
	st := &Stream{attempt: a, ctx: ctx, clientStream: cs, header: md}
	// statsHandler may be called after Header returns, and a trailers-only response has no header. Reading the first
	// message tells the two cases apart; Recv returns this message later.
	if err == nil && !hasHeader {
		switch err = cs.RecvMsg(&st.firstMessage); {
		case err == nil:
			st.hasFirstMessage = true
		case errors.Is(err, io.EOF): // an empty stream
			st.firstErr, err = err, nil
		}
	}
	if err != nil {
		if errors.Is(err, io.EOF) { // from SendMsg: the response has the status
			var body []byte
			err = cs.RecvMsg(&body)
		}
		a.finish(a.result(ctx, err, md, cs.Trailer(), nil))
		return
	}
	if !wait.Stop() { // the attempt timed out when the response started; only the time-out is reported
		a.finish(call.Result{Ending: policy.TimedOut})
		return
	}
	a.done(call.Result{Ending: policy.Served, Header: map[string][]string(md), Stream: st})
	// The stream also ends with its context: a stream that the client does not read must not occupy a slot or delay
	// Transport.Close. This is registered after the start of the stream was reported, so that its end is reported later.
	context.AfterFunc(ctx, func() { a.finish(call.Result{Ending: policy.Cancelled}) })
}
