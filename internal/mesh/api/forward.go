package api

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"caperarch/internal/mesh/errs"
)

const (
	// forwardTimeout bounds a request until a response begins: its caller gives up on this machine
	// after a second without one, and is answered before that.
	forwardTimeout = 900 * time.Millisecond
	// timePerByte is added for each byte of the body, as callers wait longer behind large bodies.
	timePerByte = time.Microsecond
	// hedgeDelay is how long a core machine may take before the next one is asked besides: one that
	// is frozen or unreachable would use up all the time otherwise. It is longer than a change
	// takes that all sidecars apply at once.
	hedgeDelay = 450 * time.Millisecond
	// responseTimeout bounds a response once it has begun: a large configuration takes several round trips.
	responseTimeout = 2 * time.Second
)

// sendFunc sends a request to one core machine.
type sendFunc[Resp any] func(ctx context.Context, address string) (*Resp, error)

// result is what one member answered.
type result[Resp any] struct {
	response *Resp
	err      error
}

// decides reports whether no other member is to be asked: the request is answered, or rejected finally.
func (r result[Resp]) decides() bool {
	return r.err == nil || isRejection(r.err)
}

// forward sends a request to the members in order: to the next one as soon as one fails, or has not
// answered within hedgeDelay. It returns the first result that decides, or else the last error,
// NoQuorum if there are no members, and DeadlineExceeded if none answers in time. extraTime is
// added to the timeouts. Sends that are still under way when it returns are cancelled.
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
			if r.decides() {
				return r.response, r.err
			}
			err = r.err
			sends.startNext(ctx)
		case <-sends.hedge.C:
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

// hedgedSends are the sends of one request to several members. It belongs to the goroutine of forward.
type hedgedSends[Resp any] struct {
	send      sendFunc[Resp]
	remaining []string // members not asked yet
	pending   int      // sends without a result
	results   chan result[Resp]
	delay     time.Duration
	hedge     *time.Timer // fires when the newest send has had no result for delay
}

func newHedgedSends[Resp any](
	addresses []string, delay time.Duration, send sendFunc[Resp],
) *hedgedSends[Resp] {
	return &hedgedSends[Resp]{
		send:      send,
		remaining: addresses,
		results:   make(chan result[Resp], len(addresses)), // so that no send blocks after forward has returned
		delay:     delay,
		hedge:     time.NewTimer(delay),
	}
}

// startNext sends the request to the next member, if one remains.
func (s *hedgedSends[Resp]) startNext(ctx context.Context) {
	if len(s.remaining) == 0 {
		return
	}
	address := s.remaining[0]
	s.remaining = s.remaining[1:]
	s.pending++
	s.hedge.Reset(s.delay)
	go func() {
		response, err := s.send(ctx, address)
		s.results <- result[Resp]{response, err}
	}()
}

// stop ends the timer. The sends end with their context.
func (s *hedgedSends[Resp]) stop() { s.hedge.Stop() }
