package grpc

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"
)

// statsHandler records the events of each attempt's stream that grpc-go reports.
type statsHandler struct{}

// TagRPC implements stats.Handler.
func (statsHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// TagConn implements stats.Handler.
func (statsHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (statsHandler) HandleConn(context.Context, stats.ConnStats) {}

// HandleRPC implements stats.Handler.
func (statsHandler) HandleRPC(ctx context.Context, s stats.RPCStats) {
	a, _ := ctx.Value(attemptKey{}).(*attempt)
	if a == nil {
		return
	}
	switch s := s.(type) {
	case *stats.Begin:
		// grpc-go retries a stream transparently only if nothing of the stream was written, or if the server reported
		// that it did not process the stream (REFUSED_STREAM, or a stream id above the last id of a GOAWAY). So a
		// transparent retry proves that the call was not processed. The policy decides on every retry, so the attempt
		// is cancelled here, and sendGuard keeps the retry from being written.
		if s.IsTransparentRetryAttempt {
			a.mu.Lock()
			a.unprocessed = true
			a.mu.Unlock()
			a.cancel(errTransparentRetry)
		}
	case *stats.OutHeader:
		a.mu.Lock()
		a.streamCreated = true
		a.mu.Unlock()
	case *stats.InHeader:
		a.mu.Lock()
		a.headerReceived = true
		a.mu.Unlock()
	case *stats.InTrailer:
		a.mu.Lock()
		a.trailerReceived = true
		a.mu.Unlock()
	}
}

// sendGuard rejects calls that are cancelled or late and transparent retries of grpc-go. It implements per-call
// credentials because grpc-go requests these immediately before it writes a stream's header, which is the last moment
// at which a call can be kept from being sent.
type sendGuard struct{ t *Transport }

// GetRequestMetadata implements credentials.PerRPCCredentials.
func (g sendGuard) GetRequestMetadata(ctx context.Context, _ ...string) (map[string]string, error) {
	a, _ := ctx.Value(attemptKey{}).(*attempt)
	if a == nil {
		return nil, nil // the call is a probe
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.unprocessed || a.ctx.Err() != nil:
		return nil, status.Error(codes.Canceled, "called off before it was written")
	case g.t.cfg.Clock.Now() >= a.sendBy:
		return nil, status.Error(codes.DeadlineExceeded, "its time was up before it was written")
	}
	return nil, nil
}

// RequireTransportSecurity implements credentials.PerRPCCredentials. The credentials are empty, so nothing is secret.
func (sendGuard) RequireTransportSecurity() bool { return false }
