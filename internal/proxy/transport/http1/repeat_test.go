package http1

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	"caperarch/internal/lab/testbed"
	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/clock"
	"caperarch/policy"
)

// A repeat may be written for 100 ms. The connection that it needs comes up when 700 ms have passed: nothing is written.
func TestRepeatWhoseConnectionOpensLateIsNotWritten(t *testing.T) {
	s := testbed.NewStub(t, testbed.Echo)
	u := newTestTransport(t)
	u.clock = clock.NewAdjustable()
	u.dial = func(ctx context.Context, address string) (net.Conn, error) {
		c, err := u.dialSystem(ctx, address)
		u.clock.Advance(700 * time.Millisecond)
		return c, err
	}
	limits := call.Limits{SendBy: u.clock.Now() + 100*time.Millisecond, Until: u.clock.Now() + testbed.MaxWait}
	if _, _, ending := u.roundTrip(new(exchange), hostOf(u, s), testMessage("1"), limits); ending != policy.NotSent {
		t.Errorf("ending %v, want NotSent: our own delay is no word on the server", ending)
	}
	attempt(t, u, hostOf(u, s), "2", testbed.MaxWait)
	if testbed.Wait(t, "an arrival", s.Seen).ID() != "2" {
		t.Error("the late repeat went out")
	}
}

// slowWriter is a connection whose writes find a stopped process: the clock is ahead behind each.
type slowWriter struct {
	net.Conn
	clock   clock.Clock
	written bytes.Buffer
}

func (w *slowWriter) Write(p []byte) (int, error) {
	w.clock.Advance(700 * time.Millisecond)
	return w.written.Write(p)
}

// Where connections break, the last byte is kept back for a moment. The process is stopped just then: a server begins
// with the last byte, so it must not follow any more.
func TestLastByteOfLateRepeatIsNotWritten(t *testing.T) {
	s := testbed.NewStub(t, testbed.Echo)
	u := newTestTransport(t)
	u.clock = clock.NewAdjustable()
	u.connsBreak.Store(true)
	c, err := u.openConn(new(exchange), hostOf(u, s), u.clock.Now()+testbed.MaxWait)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Conn.Close()
	w := &slowWriter{Conn: c.Conn, clock: u.clock}
	c.Conn = w
	limits := call.Limits{SendBy: u.clock.Now() + 500*time.Millisecond, Until: u.clock.Now() + testbed.MaxWait}
	if err := u.writeRequest(c, []byte("request"), true, limits); err == nil {
		t.Error("no error, want the late last byte reported")
	}
	if got := w.written.String(); got != "reques" {
		t.Errorf("%q was written, want all but the last byte", got)
	}
}

// A server that reads nothing: what is not written by the time that a repeat has is not written later.
func TestRepeatBehindAFullBufferIsGivenUpInTime(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	u := newTestTransport(t)
	u.dial = func(ctx context.Context, address string) (net.Conn, error) {
		c, err := u.dialSystem(ctx, address)
		if err == nil {
			err = c.(*net.TCPConn).SetWriteBuffer(4 << 10)
		}
		return c, err
	}
	m := testMessage("1")
	m.Body = bytes.Repeat([]byte("x"), 32<<20)
	begun := time.Now()
	limits := call.Limits{SendBy: u.clock.Now() + 200*time.Millisecond, Until: u.clock.Now() + testbed.MaxWait}
	h := u.Server(l.Addr().String()).(*host)
	if _, _, ending := u.roundTrip(new(exchange), h, m, limits); ending != policy.NoConnection {
		t.Errorf("ending %v, want NoConnection: it was never whole", ending)
	}
	if took := time.Since(begun); took > testbed.MaxWait/2 {
		t.Errorf("given up after %v, it had 200 ms", took)
	}
}
