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

// notProcessedTrailer is the trailer with which a server reports that it did not process a call, the gRPC equivalent of
// the HTTP field X-Not-Processed. It is accepted only in a trailers-only response.
const notProcessedTrailer = "x-not-processed"

// deadlineMargin is how long before the deadline on this machine's clock the server may end a call as timed out.
const deadlineMargin = 50 * time.Millisecond

// result returns the attempt's result, based on the call's error and the stream events that statsHandler recorded.
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
	// The server knows the deadline too, and may end the stream shortly before the deadline on this machine's clock.
	isTimeout := st.Code() == codes.DeadlineExceeded || st.Code() == codes.Canceled
	late := a.transport.cfg.Clock.Now() >= a.until-deadlineMargin && isTimeout
	switch {
	case late && created && !errors.Is(cause, errCancelled):
		r.Ending = policy.TimedOut
	case trailers: // the server's own status takes precedence over the causes below
		r.Ending = endingOf(st.Code())
		if !headers && singleValue(trailer, notProcessedTrailer) == "1" {
			r.Ending = policy.NotProcessed
		}
	case errors.Is(cause, errCancelled):
		r.Ending = policy.Cancelled
	case unprocessed && created:
		r.Ending = policy.NotProcessed
	case !created && !errors.Is(cause, errNoConnection) && cause == nil && st.Code() == codes.DeadlineExceeded:
		r.Ending = policy.NotSent // rejected by sendGuard as late, which is not the server's failure
	case !created:
		r.Ending = policy.NoConnection
	case errors.Is(cause, errTimedOut) || ctx.Err() != nil:
		r.Ending = policy.TimedOut
	default:
		r.Ending = policy.ConnectionLost
	}
	return r
}

// endingOf returns the ending that a server's status code means to the policy. The codes listed here report that the
// server failed; all other codes are responses of the application, which another server would return too.
func endingOf(c codes.Code) policy.Ending {
	switch c {
	case codes.Unavailable, codes.Internal, codes.Unknown, codes.DataLoss, codes.ResourceExhausted,
		codes.DeadlineExceeded, codes.Canceled:
		return policy.Errored
	}
	return policy.Served
}

// singleValue returns the value of a metadata key that has exactly one value, or "".
func singleValue(md metadata.MD, name string) string {
	if v := md.Get(name); len(v) == 1 {
		return v[0]
	}
	return ""
}

// encodeStatus returns a status in the encoding in which the client receives it.
func encodeStatus(st *status.Status) []byte {
	b, err := proto.Marshal(st.Proto())
	if err != nil {
		return nil // the details cannot be encoded again; Result.Status still has the code
	}
	return b
}
