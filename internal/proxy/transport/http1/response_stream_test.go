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

// With a dialect, a server may pause within a response until the request's deadline, or for StallTimeout if that is
// longer. Without a dialect, the server may pause for StallTimeout.
func TestPauseWithinAResponse(t *testing.T) {
	for _, c := range []struct {
		dialect                     *Dialect
		requestTimeout, wantTimeout time.Duration
	}{
		{new(Dialect), time.Minute, time.Minute},
		{new(Dialect), time.Second, stream.StallTimeout},
		{nil, time.Minute, stream.StallTimeout},
	} {
		synctest.Test(t, func(t *testing.T) {
			u := &Transport{clock: clock.New(), dialect: c.dialect}
			client, server := net.Pipe()
			defer server.Close()
			k := &conn{Conn: client}
			k.limited.R = client
			s := streamOf(k.streamResponse(u, &http.Response{Body: connBody{client}}, nil, u.clock.Now()+c.requestTimeout))
			go func() {
				time.Sleep(c.wantTimeout - time.Millisecond)
				_, _ = server.Write([]byte("x"))
			}()
			b := make([]byte, 8)
			if n, err := s.Read(b); n != 1 || err != nil {
				t.Errorf("%+v: Read returned %d bytes with error %v, want 1 byte", c, n, err)
			}
			s.deadline = time.Now().Add(c.requestTimeout)
			if c.dialect == nil {
				s.deadline = time.Time{}
			}
			before := time.Now()
			if _, err := s.Read(b); err == nil || time.Since(before) != c.wantTimeout {
				t.Errorf("%+v: Read returned after %v with error %v, want a time-out", c, time.Since(before), err)
			}
			if got := <-s.ending; got != policy.ConnectionLost {
				t.Errorf("%+v: stream ended as %v, want ConnectionLost", c, got)
			}
		})
	}
}

// connBody is a response body that reads from a connection.
type connBody struct{ net.Conn }
