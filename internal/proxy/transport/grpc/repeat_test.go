package grpc

import (
	"context"
	"net"
	"testing"
	"time"

	"caperarch/internal/lab/testbed"
	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/clock"
	"caperarch/policy"
)

// A repeat has a time limit for writing the request that is shorter than its time limit for the response. Guards
// against a request that is written after the first limit because the process was suspended, both over an open
// connection and over a connection that has yet to be opened.
func TestLateRepeatIsNotSent(t *testing.T) {
	for _, connected := range []bool{true, false} {
		l := new(testbed.ArrivalLog)
		n := testbed.NewGRPCNode(t, "s-0", l)
		tr := newTransport(t, func(c *Config) { c.Clock = clock.NewAdjustable() })
		s := tr.Server(n.Address)
		if connected {
			send(t, tr, s, message(t, "1"), testbed.MaxWait)
		}
		before := l.Len()
		now := tr.cfg.Clock.Now()
		limits := call.Limits{SendBy: now + 300*time.Millisecond, Until: now + time.Minute}
		tr.cfg.Clock.Advance(700 * time.Millisecond)
		done := make(chan call.Result, 1)
		s.Send(message(t, "1"), limits, func(r call.Result) { done <- r })
		if got := testbed.Wait(t, "the result of the late repeat", done); got.Ending != policy.NotSent {
			t.Errorf("connected %v: late repeat ended as %v, want NotSent", connected, got.Ending)
		}
		if l.Len() > before {
			t.Errorf("connected %v: the late repeat reached the server", connected)
		}
	}
}

// sendGuard checks the clock once the connection is established, so it rejects a call that became late because the
// process was suspended while the connection was being opened.
func TestRepeatIsNotSentOnceItsConnectionIsUpTooLate(t *testing.T) {
	tr := newTransport(t, func(c *Config) { c.Clock = clock.NewAdjustable() })
	now := tr.cfg.Clock.Now()
	a := &attempt{transport: tr, ctx: t.Context(), sendBy: now + 300*time.Millisecond, until: now + time.Minute}
	tr.cfg.Clock.Advance(700 * time.Millisecond)
	if _, err := (sendGuard{tr}).GetRequestMetadata(context.WithValue(t.Context(), attemptKey{}, a)); err == nil {
		t.Error("GetRequestMetadata returned no error for a late repeat, so its header would be written")
	}
}

// Guards against a repeat that waits for a connection for longer than the request may be written, which delays the
// response to the client.
func TestRepeatDoesNotWaitForAConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	tr := newTransport(t, func(c *Config) { c.DialTimeout = testbed.MaxWait })
	started, now := time.Now(), tr.cfg.Clock.Now()
	limits := call.Limits{SendBy: now + 200*time.Millisecond, Until: now + testbed.MaxWait}
	done := make(chan call.Result, 1)
	tr.Server(l.Addr().String()).Send(message(t, "1"), limits, func(r call.Result) { done <- r })
	got := testbed.Wait(t, "the result of the repeat", done)
	if took := time.Since(started); got.Ending != policy.NoConnection || took > testbed.MaxWait/2 {
		t.Errorf("repeat ended as %v after %v, want NoConnection after 200 ms", got.Ending, took)
	}
}
