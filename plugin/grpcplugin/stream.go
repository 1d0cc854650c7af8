package grpcplugin

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"caperarch/internal/proxy/call"
	grpctransport "caperarch/internal/proxy/transport/grpc"
	"caperarch/plugin"
)

// NewStream implements grpc.ClientConnInterface for server streams. The call begins with CloseSend; up to
// the server's header it is resent as a unary one is, from then on the stream is the caller's and nothing
// sends it again. It ends with an error from RecvMsg, with ctx, or when nobody has read it for
// ten of the longest deadlines.
func (c *Conn) NewStream(
	ctx context.Context, desc *grpc.StreamDesc, method string, opts ...grpc.CallOption,
) (grpc.ClientStream, error) {
	if desc.ClientStreams || !desc.ServerStreams {
		return nil, status.Errorf(codes.Unimplemented,
			"grpcplugin: %s: only unary calls and server streams are carried", method)
	}
	o, err := parseCallOptions(opts)
	if err != nil {
		return nil, err
	}
	spec, q, m, err := c.message(ctx, method, o)
	if err != nil {
		return nil, err
	}
	m.Stream = true
	s := &stream{conn: c, ctx: ctx, o: o, message: m, started: make(chan struct{})}
	s.start = func() {
		go func() {
			defer close(s.started)
			m.StreamDeadline = c.core.Ends(ctx)
			answer, err := c.core.Do(ctx, spec, q, m)
			s.begin(answer, err)
		}()
	}
	return s, nil
}

// stream is a server stream as generated stubs use it.
type stream struct {
	conn    *Conn
	ctx     context.Context
	o       *options
	message *call.Message
	start   func()
	once    sync.Once // of start
	started chan struct{}

	// Set before started is closed, and not changed after it.
	upstream call.Stream
	recv     *grpctransport.Stream
	header   metadata.MD
	err      error // the call has no stream: its result
	unwatch  func() bool
	idle     *time.Timer // gives up a stream that nobody reads

	sent bool // the message; for the caller's sending goroutine alone

	mu       sync.Mutex // guards the fields below
	result   error      // of RecvMsg; nil: the stream has not ended
	finished bool
}

// begin sets the stream by the call's answer.
func (s *stream) begin(a call.Answer, err error) {
	switch {
	case err != nil:
		s.err = asStatus(err)
		if a.LastResult != nil {
			s.header = metadata.MD(a.LastResult.Header)
		}
	case a.Stream == nil: // a status at once, with no stream
		s.err = io.EOF
		if a.Status != int(codes.OK) {
			s.err = decodeStatus(a.Status, a.Body).Err()
		}
	default:
		s.upstream, s.header = a.Stream, metadata.MD(a.Header)
		s.recv = a.Stream.(interface{ Unwrap() call.Stream }).Unwrap().(*grpctransport.Stream)
		s.unwatch = context.AfterFunc(s.ctx, s.upstream.Close)
		s.idle = time.AfterFunc(s.conn.abandon, s.upstream.Close)
	}
	if s.o.header != nil {
		*s.o.header = s.header
	}
}

// SendMsg sets the one message of the call.
func (s *stream) SendMsg(v any) error {
	if s.sent {
		return status.Error(codes.Internal, "grpcplugin: SendMsg called a second time on a server stream")
	}
	body, err := s.o.encode(v)
	if err != nil {
		return err
	}
	s.message.Body, s.sent = body, true
	return nil
}

// CloseSend starts the call.
func (s *stream) CloseSend() error {
	if !s.sent {
		return status.Error(codes.Internal, "grpcplugin: CloseSend before the call's message")
	}
	s.once.Do(s.start)
	return nil
}

// Header waits for the header metadata.
func (s *stream) Header() (metadata.MD, error) {
	if err := s.CloseSend(); err != nil {
		return nil, err
	}
	<-s.started
	if s.err != nil && !errors.Is(s.err, io.EOF) {
		return s.header, s.err
	}
	return s.header, nil
}

// Trailer is the trailer metadata, once RecvMsg has returned an error.
func (s *stream) Trailer() metadata.MD {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.result == nil || s.recv == nil {
		return nil
	}
	return s.recv.Trailer()
}

// Context is the caller's.
func (s *stream) Context() context.Context { return s.ctx }

// RecvMsg waits for the next message.
func (s *stream) RecvMsg(v any) error {
	if err := s.CloseSend(); err != nil {
		return err
	}
	<-s.started
	s.mu.Lock()
	result := s.result
	s.mu.Unlock()
	if result != nil {
		return result
	}
	if s.err != nil {
		return s.finish(s.err)
	}
	s.idle.Stop()
	body, err := s.recv.Recv()
	if err == nil {
		err = s.o.decode(body, v)
	}
	if err == nil {
		s.idle.Reset(s.conn.abandon)
		return nil
	}
	if ended := s.ctx.Err(); ended != nil {
		err = asStatus(&plugin.FailedError{Cause: ended})
	} else if status.Code(err) == codes.Unavailable { // it had started, so it may have run
		err = mayHaveRun(status.Convert(err)).Err()
	}
	return s.finish(err)
}

// finish ends the stream with what RecvMsg returns from now on.
func (s *stream) finish(err error) error {
	s.mu.Lock()
	first := !s.finished
	s.result, s.finished = err, true
	s.mu.Unlock()
	if !first {
		return err
	}
	if s.upstream != nil {
		s.unwatch()
		s.idle.Stop()
		s.upstream.Close()
	}
	if s.o.trailer != nil && s.recv != nil {
		*s.o.trailer = s.recv.Trailer()
	}
	reported := err
	if errors.Is(err, io.EOF) {
		reported = nil
	}
	s.o.finished(reported)
	return err
}
