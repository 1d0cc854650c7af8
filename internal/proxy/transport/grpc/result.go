package grpc

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"caperarch/internal/proxy/call"
	"caperarch/policy"
)

// notProcessedTrailer is the trailer by which a server says that it has not begun a call: the gRPC form of the
// protocol's X-Not-Processed. It counts only in a response without a header.
const notProcessedTrailer = "x-not-processed"

// deadlineMargin is how much earlier than our clock a server's may end a call whose deadline has come.
const deadlineMargin = 50 * time.Millisecond

// result is how a call ended, from what statsHandler has recorded of it.
func (a *attempt) result(ctx context.Context, err error, header, trailer metadata.MD, body []byte) call.Result {
	a.mu.Lock()
	created, unprocessed, headers, trailers := a.streamCreated, a.unprocessed, a.headerReceived, a.trailerReceived
	a.mu.Unlock()
	r := call.Result{
		Header: map[string][]string(header), Trailer: map[string][]string(trailer), Body: body,
		Load: a.transport.parseLoad(trailer),
	}
	if err == nil {
		r.Ending = policy.Served
		return r
	}
	st := status.Convert(err)
	r.Status, r.Body = int(st.Code()), encodeStatus(st)
	cause := context.Cause(ctx)
	// A server knows the deadline too, and may end the stream a moment before our own clock does.
	isTimeout := st.Code() == codes.DeadlineExceeded || st.Code() == codes.Canceled
	late := a.transport.cfg.Clock.Now() >= a.until-deadlineMargin && isTimeout
	switch {
	case late && created && !errors.Is(cause, errCancelled):
		r.Ending = policy.TimedOut
	case trailers: // the server's own status, whatever else happened
		r.Ending = endingOf(st.Code())
		if !headers && singleValue(trailer, notProcessedTrailer) == "1" {
			r.Ending = policy.NotProcessed
		}
	case errors.Is(cause, errCancelled):
		r.Ending = policy.Cancelled
	case unprocessed && created:
		r.Ending = policy.NotProcessed
	case !created && !errors.Is(cause, errNoConnection) && cause == nil && st.Code() == codes.DeadlineExceeded:
		r.Ending = policy.NotSent // sendGuard: our own lack of time, which says nothing of the server
	case !created:
		r.Ending = policy.NoConnection
	case errors.Is(cause, errTimedOut) || ctx.Err() != nil:
		r.Ending = policy.TimedOut
	default:
		r.Ending = policy.ConnectionLost
	}
	return r
}

// endingOf is what a server's status is to the policy. Most codes are a response of the application, which another
// server would give too; these say that the server could not serve.
func endingOf(c codes.Code) policy.Ending {
	switch c {
	case codes.Unavailable, codes.Internal, codes.Unknown, codes.DataLoss, codes.ResourceExhausted,
		codes.DeadlineExceeded, codes.Canceled:
		return policy.Errored
	}
	return policy.Served
}

// singleValue is the value of a field that is given once, or "".
func singleValue(md metadata.MD, name string) string {
	if v := md.Get(name); len(v) == 1 {
		return v[0]
	}
	return ""
}

// encodeStatus is a status as the client is sent it.
func encodeStatus(st *status.Status) []byte {
	b, err := proto.Marshal(st.Proto())
	if err != nil {
		return nil // its details can't be encoded again; the code is in Result.Status
	}
	return b
}
