package http1

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"caperarch/internal/proxy/clock"
	"caperarch/internal/proxy/stream"
	"caperarch/policy"
)

// In a dialect a server may pause in the middle of a response for as long as its request has; without one for
// StallTimeout.
func TestPauseWithinAResponse(t *testing.T) {
	for _, c := range []struct {
		dialect       *Dialect
		has, patience time.Duration
	}{
		{new(Dialect), time.Minute, time.Minute},
		{new(Dialect), time.Second, stream.StallTimeout},
		{nil, time.Minute, stream.StallTimeout},
	} {
		synctest.Test(t, func(t *testing.T) {
			u := &Transport{clock: clock.New(), dialect: c.dialect}
			here, there := net.Pipe()
			defer there.Close()
			k := &conn{Conn: here}
			k.limited.R = here
			s := streamOf(k.streamResponse(u, &http.Response{Body: connBody{here}}, nil, u.clock.Now()+c.has))
			go func() {
				time.Sleep(c.patience - time.Millisecond)
				_, _ = there.Write([]byte("x"))
			}()
			b := make([]byte, 8)
			if n, err := s.Read(b); n != 1 || err != nil {
				t.Errorf("%+v: %d bytes, %v", c, n, err)
			}
			s.deadline = time.Now().Add(c.has)
			if c.dialect == nil {
				s.deadline = time.Time{}
			}
			before := time.Now()
			if _, err := s.Read(b); err == nil || time.Since(before) != c.patience {
				t.Errorf("%+v: given up after %v, %v", c, time.Since(before), err)
			}
			if how := <-s.ending; how != policy.ConnectionLost {
				t.Errorf("%+v: ended as %v", c, how)
			}
		})
	}
}

// overConn is a body over a connection.
type connBody struct{ net.Conn }
