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

// A repeat may be written for some time, and its answer waited for longer. The process is stopped in between: nothing
// goes out, over a connection that stands or over one that has to be opened.
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
		if got := testbed.Wait(t, "its end", done); got.Ending != policy.NotSent {
			t.Errorf("connected %v: ending %v, want NotSent", connected, got.Ending)
		}
		if l.Len() > before {
			t.Errorf("connected %v: the late repeat arrived", connected)
		}
	}
}

// The last look at the clock comes when the connection is up: a stop between the decision and that moment is noticed.
func TestRepeatIsNotSentOnceItsConnectionIsUpTooLate(t *testing.T) {
	tr := newTransport(t, func(c *Config) { c.Clock = clock.NewAdjustable() })
	now := tr.cfg.Clock.Now()
	a := &attempt{transport: tr, ctx: t.Context(), sendBy: now + 300*time.Millisecond, until: now + time.Minute}
	tr.cfg.Clock.Advance(700 * time.Millisecond)
	if _, err := (sendGuard{tr}).GetRequestMetadata(context.WithValue(t.Context(), attemptKey{}, a)); err == nil {
		t.Error("no error: the header would be written")
	}
}

// A connection that never comes up is not waited for longer than a repeat may be written: its caller waits.
func TestRepeatDoesNotWaitForAConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	tr := newTransport(t, func(c *Config) { c.DialTimeout = testbed.MaxWait })
	begun, now := time.Now(), tr.cfg.Clock.Now()
	limits := call.Limits{SendBy: now + 200*time.Millisecond, Until: now + testbed.MaxWait}
	done := make(chan call.Result, 1)
	tr.Server(l.Addr().String()).Send(message(t, "1"), limits, func(r call.Result) { done <- r })
	got := testbed.Wait(t, "its end", done)
	if took := time.Since(begun); got.Ending != policy.NoConnection || took > testbed.MaxWait/2 {
		t.Errorf("ending %v after %v, want NoConnection: it had 200 ms", got.Ending, took)
	}
}
