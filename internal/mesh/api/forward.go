package api

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"caperarch/internal/mesh/errs"
)

const (
	// forwardTimeout bounds the time until a response begins. The caller gives up on this machine after
	// one second without a response, so an error has to be sent before that.
	forwardTimeout = 900 * time.Millisecond
	// timeoutPerByte is added to forwardTimeout and hedgeDelay for each byte of the request body, since
	// callers wait longer if the body is large.
	timeoutPerByte = time.Microsecond
	// hedgeDelay is the time after which a request that has no response is also sent to the next core
	// machine. Without the hedge, a frozen or unreachable core machine would use up forwardTimeout. The
	// delay is longer than a change takes that all sidecars apply promptly.
	hedgeDelay = 450 * time.Millisecond
	// responseTimeout bounds the time to receive a response after it has begun: a large configuration
	// takes several round trips.
	responseTimeout = 2 * time.Second
)

// sendFunc sends a request to the core machine at the address.
type sendFunc[Resp any] func(ctx context.Context, address string) (*Resp, error)

// result is the response or the error of one core machine.
type result[Resp any] struct {
	response *Resp
	err      error
}

// isFinal reports whether the result ends the request: the request was answered, or it was rejected by a
// decision that holds for all core machines.
func (r result[Resp]) isFinal() bool {
	return r.err == nil || isRejection(r.err)
}

// forward sends a request to the core machines in order. The next machine receives the request when a
// send fails, or when the newest send has had no result for hedgeDelay. forward returns the first final
// result, or the last error if there is no final result. The error is of kind NoQuorum if there are no
// addresses, and DeadlineExceeded if no machine answers in time. extraTime is added to forwardTimeout
// and hedgeDelay. Sends that are in progress when forward returns are cancelled.
func forward[Resp any](
	ctx context.Context, addresses []string, extraTime time.Duration, send sendFunc[Resp],
) (*Resp, error) {
	var responseBegun atomic.Bool
	trace := &httptrace.ClientTrace{GotFirstResponseByte: func() { responseBegun.Store(true) }}
	ctx, cancel := context.WithCancel(httptrace.WithClientTrace(ctx, trace))
	defer cancel()
	deadline := time.NewTimer(forwardTimeout + extraTime)
	defer deadline.Stop()
	sends := newHedgedSends(addresses, hedgeDelay+extraTime, send)
	defer sends.stop()

	sends.startNext(ctx)
	err := errs.New(errs.NoQuorum, "no core member is known")
	for sends.pending > 0 {
		select {
		case r := <-sends.results:
			sends.pending--
			if r.isFinal() {
				return r.response, r.err
			}
			err = r.err
			sends.startNext(ctx)
		case <-sends.hedgeTimer.C:
			sends.startNext(ctx)
		case <-deadline.C:
			if !responseBegun.Swap(false) {
				return nil, errs.New(errs.DeadlineExceeded, "no core member answers")
			}
			deadline.Reset(responseTimeout)
		}
	}
	return nil, err
}

// hedgedSends is the state of the sends of one request to several core machines. Only the goroutine that
// runs forward uses it.
type hedgedSends[Resp any] struct {
	send       sendFunc[Resp]
	remaining  []string // addresses to which the request has not been sent
	pending    int      // number of sends without a result
	results    chan result[Resp]
	delay      time.Duration
	hedgeTimer *time.Timer // fires when the newest send has had no result for delay
}

func newHedgedSends[Resp any](
	addresses []string, delay time.Duration, send sendFunc[Resp],
) *hedgedSends[Resp] {
	return &hedgedSends[Resp]{
		send:      send,
		remaining: addresses,
		// One slot for each send, so that no send blocks after forward has returned.
		results:    make(chan result[Resp], len(addresses)),
		delay:      delay,
		hedgeTimer: time.NewTimer(delay),
	}
}

// startNext starts a send to the next address, if there is one.
func (s *hedgedSends[Resp]) startNext(ctx context.Context) {
	if len(s.remaining) == 0 {
		return
	}
	address := s.remaining[0]
	s.remaining = s.remaining[1:]
	s.pending++
	s.hedgeTimer.Reset(s.delay)
	go func() {
		response, err := s.send(ctx, address)
		s.results <- result[Resp]{response, err}
	}()
}

// stop stops the hedge timer. The sends end when their context ends.
func (s *hedgedSends[Resp]) stop() { s.hedgeTimer.Stop() }
