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

// Guards against writing a repeat whose connection is established too late: the repeat may be written for 100 ms, and
// opening its connection takes 700 ms.
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
		t.Errorf("late repeat ended as %v, want NotSent", ending)
	}
	attempt(t, u, hostOf(u, s), "2", testbed.MaxWait)
	if testbed.Wait(t, "a request", s.Seen).ID() != "2" {
		t.Error("the late repeat was sent")
	}
}

// slowWriter is a connection that advances the clock by 700 ms on each write, as if the process were suspended.
type slowWriter struct {
	net.Conn
	clock   clock.Clock
	written bytes.Buffer
}

func (w *slowWriter) Write(p []byte) (int, error) {
	w.clock.Advance(700 * time.Millisecond)
	return w.written.Write(p)
}

// If connections break often, the last byte of a request is delayed. Guards against sending the last byte after the
// time limit because the process was suspended during the delay: a server starts processing when it receives the last
// byte.
func TestLastByteOfLateRepeatIsNotWritten(t *testing.T) {
	s := testbed.NewStub(t, testbed.Echo)
	u := newTestTransport(t)
	u.clock = clock.NewAdjustable()
	u.connsBreakOften.Store(true)
	c, err := u.openConn(new(exchange), hostOf(u, s), u.clock.Now()+testbed.MaxWait)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Conn.Close()
	w := &slowWriter{Conn: c.Conn, clock: u.clock}
	c.Conn = w
	limits := call.Limits{SendBy: u.clock.Now() + 500*time.Millisecond, Until: u.clock.Now() + testbed.MaxWait}
	writer := requestWriter{
		transport: u, conn: c, message: testMessage("1"), limits: limits, request: encodedRequest{bytes: []byte("request")},
	}
	if err := writer.writeStart(); err == nil {
		t.Error("writeStart returned no error for a late last byte")
	}
	if got := w.written.String(); got != "reques" {
		t.Errorf("%q was written, want the request without its last byte", got)
	}
}

// Guards against a repeat that is written after its time limit because the server does not read and the send buffer is
// full.
func TestRepeatWithFullSendBufferEndsInTime(t *testing.T) {
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
	started := time.Now()
	limits := call.Limits{SendBy: u.clock.Now() + 200*time.Millisecond, Until: u.clock.Now() + testbed.MaxWait}
	h := u.Server(l.Addr().String()).(*host)
	if _, _, ending := u.roundTrip(new(exchange), h, m, limits); ending != policy.NoConnection {
		t.Errorf("repeat ended as %v, want NoConnection because the request was not written completely", ending)
	}
	if took := time.Since(started); took > testbed.MaxWait/2 {
		t.Errorf("repeat ended after %v, want 200 ms", took)
	}
}
