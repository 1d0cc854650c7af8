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

// NewStream implements grpc.ClientConnInterface for server streams. CloseSend starts the call. Until a server's header
// is received, the call is retried like a unary call. After that it is not retried. The stream ends when RecvMsg
// returns an error, when ctx ends, or when the caller has not read a message for ten times the longest class deadline.
func (c *Conn) NewStream(
	ctx context.Context, desc *grpc.StreamDesc, method string, opts ...grpc.CallOption,
) (grpc.ClientStream, error) {
	if desc.ClientStreams || !desc.ServerStreams {
		return nil, status.Errorf(codes.Unimplemented,
			"grpcplugin: %s: only unary calls and server streams are supported", method)
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

// stream implements grpc.ClientStream for a server stream.
type stream struct {
	conn    *Conn
	ctx     context.Context
	o       *options
	message *call.Message
	start   func()
	once    sync.Once     // calls start
	started chan struct{} // closed when the call has an answer or its stream has begun

	// The fields below are set before started is closed and do not change afterwards.
	upstream  call.Stream
	recv      *grpctransport.Stream
	header    metadata.MD
	err       error       // result of a call that has no stream
	stopWatch func() bool // unregisters the function that closes the stream when ctx ends
	unread    *time.Timer // closes the stream if the caller stops reading

	sent bool // SendMsg has set the message; used only by the caller's sending goroutine

	mu       sync.Mutex // guards the fields below
	result   error      // final result of RecvMsg; nil: the stream has not ended
	finished bool       // finish has released the stream
}

// begin initialises the stream from the answer of the call.
func (s *stream) begin(a call.Answer, err error) {
	switch {
	case err != nil:
		s.err = asStatus(err)
		if a.LastResult != nil {
			s.header = metadata.MD(a.LastResult.Header)
		}
	case a.Stream == nil: // the server sent a status without a stream
		s.err = io.EOF
		if a.Status != int(codes.OK) {
			s.err = decodeStatus(a.Status, a.Body).Err()
		}
	default:
		s.upstream, s.header = a.Stream, metadata.MD(a.Header)
		s.recv = a.Stream.(interface{ Unwrap() call.Stream }).Unwrap().(*grpctransport.Stream)
		s.stopWatch = context.AfterFunc(s.ctx, s.upstream.Close)
		s.unread = time.AfterFunc(s.conn.unreadStreamTimeout, s.upstream.Close)
	}
	if s.o.header != nil {
		*s.o.header = s.header
	}
}

// SendMsg sets the request message of the call. A server stream has only one.
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
		return status.Error(codes.Internal, "grpcplugin: CloseSend called before SendMsg on a server stream")
	}
	s.once.Do(s.start)
	return nil
}

// Header starts the call if necessary, and waits for the header metadata.
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

// Trailer returns the trailer metadata after RecvMsg has returned an error, and nil before.
func (s *stream) Trailer() metadata.MD {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.result == nil || s.recv == nil {
		return nil
	}
	return s.recv.Trailer()
}

// Context returns the context of the caller.
func (s *stream) Context() context.Context { return s.ctx }

// RecvMsg starts the call if necessary, and waits for the next message.
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
	s.unread.Stop()
	body, err := s.recv.Recv()
	if err == nil {
		err = s.o.decode(body, v)
	}
	if err == nil {
		s.unread.Reset(s.conn.unreadStreamTimeout)
		return nil
	}
	if ended := s.ctx.Err(); ended != nil {
		err = asStatus(&plugin.FailedError{Cause: ended})
	} else if status.Code(err) == codes.Unavailable { // the stream had begun, so the call may have run
		err = replaceUnavailable(status.Convert(err)).Err()
	}
	return s.finish(err)
}

// finish ends the stream. RecvMsg returns err from now on. The first call releases the resources of the stream.
func (s *stream) finish(err error) error {
	s.mu.Lock()
	first := !s.finished
	s.result, s.finished = err, true
	s.mu.Unlock()
	if !first {
		return err
	}
	if s.upstream != nil {
		s.stopWatch()
		s.unread.Stop()
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
