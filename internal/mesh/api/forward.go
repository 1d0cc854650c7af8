package api

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"caperarch/internal/mesh/config"
	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/rpc"
	"caperarch/meshapi"
)

const (
	// forwardTimeout bounds a call that is passed on: its caller goes on to another machine after a second of silence,
	// and is told before that to do so.
	forwardTimeout = 900 * time.Millisecond
	// timePerByte is added for each byte that goes on, as callers wait longer behind large bodies.
	timePerByte = time.Microsecond
	// hedgeDelay is how long one core member may say nothing before the next one is asked beside it: a machine that is
	// frozen or lost takes the whole call otherwise. It is more than a change takes that all sidecars apply at once.
	hedgeDelay = 450 * time.Millisecond
	// responseTimeout is what an answer has to come whole once it has begun: a large configuration takes several round trips.
	responseTimeout = 2 * time.Second
)

// Forwarder is an OperatorHandler that passes calls on to core members until one settles them. A member that fails or says
// nothing may have taken the call: it is sent on all the same, as a change that was taken before is acknowledged again,
// and what is refused in the log's order is refused there wherever it is asked.
type Forwarder struct {
	Client    *http.Client
	Addresses func() []string // internal addresses, in the order in which they are tried
}

// Change passes a change on. A body that can't be read is refused here.
func (f Forwarder) Change(r *http.Request, replace bool, body []byte) (*meshapi.ChangeResponse, error) {
	version, err := config.ParseVersion(body)
	if err != nil {
		return nil, err
	}
	path := meshapi.UpdatePath
	if replace {
		path = meshapi.ReplacePath
	}
	extraTime := time.Duration(len(body)) * timePerByte
	return forward(r.Context(), f.Addresses(), extraTime, func(ctx context.Context, address string) (*meshapi.ChangeResponse, error) {
		response, err := rpc.Post[meshapi.ChangeResponse](ctx, f.Client, "http://"+address+path, body)
		return CheckForwarded(version, response, err)
	})
}

// Describe passes a reading on.
func (f Forwarder) Describe(r *http.Request) (*json.RawMessage, error) {
	return forward(r.Context(), f.Addresses(), 0, func(ctx context.Context, address string) (*json.RawMessage, error) {
		return FetchDocument(ctx, f.Client, "http://"+address+meshapi.DescribePath)
	})
}

// result is what one member answered.
type result[A any] struct {
	response *A
	err      error
}

// decides says whether no other member is to be asked: the call is done, or refused for good.
func (a result[A]) decides() bool {
	return a.err == nil || isRejection(a.err)
}

// forward asks members in order: the next one as soon as one can't settle the call, or says nothing for a while. The
// first answer that settles it is given; with none in time it is unclear what became of it. longer is what the times are
// stretched by.
func forward[A any](ctx context.Context, addresses []string, extraTime time.Duration, ask func(ctx context.Context, address string) (*A, error)) (*A, error) {
	var responseBegun atomic.Bool // an answer has
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() { responseBegun.Store(true) }})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results, asked, open := make(chan result[A], len(addresses)), 0, 0
	end, silent := time.NewTimer(forwardTimeout+extraTime), time.NewTimer(0)
	defer end.Stop()
	defer silent.Stop()
	askNext := func() {
		if asked == len(addresses) {
			return
		}
		address := addresses[asked]
		asked, open = asked+1, open+1
		silent.Reset(hedgeDelay + extraTime)
		go func() {
			response, err := ask(ctx, address)
			results <- result[A]{response, err}
		}()
	}
	err := errs.New(errs.NoQuorum, "no core member is known")
	for askNext(); open > 0; {
		select {
		case a := <-results:
			if open--; a.decides() {
				return a.response, a.err
			}
			err = a.err
			askNext()
		case <-silent.C:
			askNext()
		case <-end.C:
			if !responseBegun.Swap(false) {
				return nil, errs.New(errs.DeadlineExceeded, "no core member answers")
			}
			end.Reset(responseTimeout)
		}
	}
	return nil, err
}
