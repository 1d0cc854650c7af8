package meshclient

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperarch/meshapi"
)

// response is what the stand-in answers to one request; status 0: nothing until the request is cancelled, -1: no
// connection comes up.
type response struct {
	status       int
	header       http.Header
	body         string
	byteInterval time.Duration // between the bytes of the body
}

// slowBody is a body whose bytes come one by one, until the request is cancelled.
type slowBody struct {
	io.Reader
	byteInterval time.Duration
	ctx          context.Context
}

func (b *slowBody) Read(p []byte) (int, error) {
	time.Sleep(b.byteInterval) // of the bubble's time
	if b.ctx.Err() != nil {
		return 0, b.ctx.Err()
	}
	return b.Reader.Read(p[:1])
}

// scriptedTransport stands in for the machines. It answers each request with the next of its responses, and records
// the requests.
type scriptedTransport struct {
	startedAt time.Time

	mu        sync.Mutex
	responses []response
	calls     []string // address, method and path
	bodies    []string
	times     []time.Duration // since startedAt
}

func (s *scriptedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	next := s.record(r, body)
	switch next.status {
	case -1:
		return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
	case 0:
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	if next.header == nil {
		next.header = http.Header{}
	}
	return &http.Response{
		StatusCode: next.status,
		Status:     fmt.Sprint(next.status),
		Header:     next.header,
		Body:       io.NopCloser(&slowBody{strings.NewReader(next.body), next.byteInterval, r.Context()}),
		Request:    r,
	}, nil
}

// record records a request and takes the next response; after the last one the answer is 200.
func (s *scriptedTransport) record(r *http.Request, body []byte) response {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, r.URL.Host+" "+r.URL.Path)
	s.bodies = append(s.bodies, string(body))
	s.times = append(s.times, time.Since(s.startedAt))
	if len(s.responses) == 0 {
		return response{status: 200, body: `{"configVersion":7}`}
	}
	next := s.responses[0]
	s.responses = s.responses[1:]
	return next
}

// runScript runs a test in virtual time with a client of three machines that starts at the first.
func runScript(t *testing.T, responses []response, run func(ctx context.Context, s *scriptedTransport, c *Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedTransport{responses: responses, startedAt: time.Now()}
		c := &Client{Addresses: []string{"a:1", "b:1", "c:1"}, HTTP: &http.Client{Transport: s}}
		c.once.Do(c.start)
		c.current = 0
		run(t.Context(), s, c)
	})
}

func redirectTo(location string) http.Header { return http.Header{"Location": {location}} }

func TestClient(t *testing.T) {
	change := Document{ConfigVersion: 7, BaseVersion: 5}
	Convey("A call goes on unchanged after a failure, silence, a promise and redirects, with pauses that grow, until one settles it", t, func(c C) {
		runScript(t, []response{
			{status: 503}, {}, {status: 429, header: http.Header{"Retry-After": {"1.5"}}},
			{status: 307, header: redirectTo("http://d:1/x")}, {status: 307, header: redirectTo("/y")}, {status: 307, header: redirectTo("/z")},
			{status: 200, body: `{"configVersion":8}`, byteInterval: idleTimeout + time.Millisecond}, {status: -1}, {status: 307, header: redirectTo("http://d:1/x")},
			{status: 200, body: `{"configVersion":7}`, byteInterval: idleTimeout - time.Millisecond}, // it moves
		}, func(ctx context.Context, s *scriptedTransport, client *Client) {
			version, err := client.Replace(ctx, change)
			c.So(err, ShouldBeNil)
			c.So(version, ShouldEqual, 7)
			path := " /api/configuration/replace"
			c.So(s.calls, ShouldResemble, []string{"a:1" + path, "b:1" + path, "c:1" + path, "a:1" + path, "d:1 /x", "d:1 /y", "b:1" + path, "c:1" + path, "a:1" + path, "d:1 /x"})
			for _, sent := range s.bodies {
				c.So(sent, ShouldEqual, `{"configVersion":7,"baseVersion":5,"resources":[]}`)
			}
			c.So(s.times[2]-s.times[1], ShouldBeBetween, idleTimeout+minBackoff-time.Millisecond, idleTimeout+2*minBackoff+time.Millisecond) // the body has its microseconds
			c.So(s.times[3]-s.times[2], ShouldEqual, 1500*time.Millisecond)
			c.So(s.times[8]-s.times[7], ShouldBeBetween, 8*minBackoff, 32*minBackoff)
			_, err = client.NodeStatus(ctx) // the last address that answered is asked first
			c.So(err, ShouldBeNil)
			c.So(s.calls[10], ShouldEqual, "a:1 /api/view")
		})
	})

	Convey("Each refusal has its kind, and ends the call at once or at the third try", t, func(c C) {
		for _, x := range []struct {
			status int
			fault  string
			kind   Kind
			tries  int
		}{
			{400, "Invalid", Invalid, 1}, {400, "Unreadable", Invalid, 1}, {400, "", Invalid, 1}, {409, "", Invalid, 1}, {412, "Stale", Stale, 1},
			{413, "", TooLarge, 1}, {422, "", Invalid, 1}, {404, "Unknown", NotFound, 3}, {403, "", Rejected, 3},
		} {
			answer := response{status: x.status, header: http.Header{"X-Mesh-Fault": {x.fault}}, body: `{"errorMessage":"as said"}`}
			runScript(t, []response{answer, answer, answer, answer}, func(ctx context.Context, s *scriptedTransport, client *Client) {
				_, err := client.Update(ctx, Change{ConfigVersion: 7})
				var e *Error
				c.So(errors.As(err, &e), ShouldBeTrue)
				c.So(errors.Is(err, x.kind), ShouldBeTrue)
				c.So([]any{e.Kind, KindOf(err), e.Status, e.ServerKind, e.Message, len(s.calls)}, ShouldResemble, []any{x.kind, x.kind, x.status, x.fault, "as said", x.tries})
			})
		}
	})

	Convey("When the time runs out, it is said whether anything may have been taken", t, func(c C) {
		for kind, steps := range map[Kind][]response{Unreachable: {{status: -1}, {status: -1}, {status: -1}}, Undetermined: {{status: -1}, {status: 503}, {status: -1}}} {
			runScript(t, steps, func(ctx context.Context, _ *scriptedTransport, client *Client) {
				ctx, cancel := context.WithTimeout(ctx, 120*time.Millisecond)
				defer cancel()
				_, err := client.Replace(ctx, change)
				c.So(errors.Is(err, kind), ShouldBeTrue)
				c.So(errors.Is(err, context.DeadlineExceeded), ShouldBeTrue)
			})
		}
		_, err := new(Client).NodeStatus(t.Context())
		c.So(errors.Is(err, InvalidUsage), ShouldBeTrue)
	})

	Convey("Change starts again from what is in place when another came in between", t, func(c C) {
		runScript(t, []response{
			{status: 200, body: `{"configVersion":5,"resources":[]}`}, {status: 412},
			{status: 200, body: `{"configVersion":6,"resources":[{"resourceType":"limits","metadata":{}}]}`}, {status: 200, body: `{"configVersion":7}`},
		}, func(ctx context.Context, s *scriptedTransport, client *Client) {
			var seen []int
			version, err := client.Change(ctx, func(doc Document) (Change, error) {
				seen = append(seen, len(doc.Resources))
				return Change{Remove: Removal{Routes: []string{"r"}}}, nil
			})
			c.So(err, ShouldBeNil)
			c.So(version, ShouldEqual, 7)
			c.So(seen, ShouldResemble, []int{0, 1})
			c.So(s.bodies[3], ShouldEqual, `{"configVersion":7,"baseVersion":6,"upsert":{"resources":[]},"remove":{"routes":["r"]}}`)
		})
	})
}

func TestHeartbeats(t *testing.T) {
	Convey("Heartbeats go on to the next machine when none acknowledges, keep to the endpoint they are given until it fails, and take leave in order", t, func(c C) {
		runScript(t, []response{
			{status: 200, body: `{"heartbeatEndpoint":"e:1"}`}, {status: 200}, {}, // a, e, e is silent
			{status: 200, body: strings.Repeat(" ", maxAcknowledgementBytes+1)}, {status: 500}, {status: 200}, // a's is too long, b fails, c acknowledges
			{status: 500}, {status: 200, body: "{}"}, // the leaving: c fails, a acknowledges
		}, func(ctx context.Context, s *scriptedTransport, client *Client) {
			failed := 0
			b := &Heartbeats{
				Client: client, Instance: Instance{ID: "i/1", Service: "s", Address: "10.0.0.1:80", Slots: 3, Warmup: 3 * time.Second},
				Interval: 2 * time.Second, DrainTimeout: 5 * time.Second, OnError: func(error) { failed++ },
			}
			ended := make(chan error, 1)
			go func() { ended <- b.Run(ctx) }()
			time.Sleep(6 * time.Second) // of the bubble's time
			synctest.Wait()
			before := len(s.calls)
			asked := time.Since(s.startedAt)
			c.So(b.Drain(ctx), ShouldBeNil)
			c.So(<-ended, ShouldBeNil)

			c.So(before, ShouldEqual, 6)
			c.So(failed, ShouldEqual, 4)
			var hosts string
			drainedAt := time.Duration(0)
			for i, call := range s.calls[:len(s.calls)-1] {
				host, path, _ := strings.Cut(call, ":1 ")
				hosts += host
				c.So(path, ShouldEqual, "/api/instances/i/1/heartbeat")
				var said meshapi.HeartbeatRequest
				c.So(json.Unmarshal([]byte(s.bodies[i]), &said), ShouldBeNil)
				c.So(said.Status.CallSequence, ShouldEqual, i+1)
				state, warmup := "ready", max(0, 3-s.times[i].Seconds())
				if i >= before {
					state = "draining"
				}
				c.So(said.Status.State, ShouldEqual, state)
				c.So(said.Status.WarmupRemainingS, ShouldAlmostEqual, warmup)
				if i == before+1 {
					drainedAt = s.times[i]
				}
			}
			c.So(hosts, ShouldStartWith, "aeeabcca")
			c.So(len(hosts), ShouldBeGreaterThan, 9)  // it beats while it serves on
			c.So(s.times[before], ShouldEqual, asked) // the leaving is said at once
			last := len(s.calls) - 1
			c.So(s.calls[last], ShouldEndWith, "/api/instances/i/1/deregister")
			c.So(s.times[last]-drainedAt, ShouldEqual, b.DrainTimeout+drainMargin)
		})
	})

	Convey("Without an acknowledgement Drain says so when its time is over", t, func(c C) {
		runScript(t, make([]response, 100), func(ctx context.Context, s *scriptedTransport, client *Client) {
			b := &Heartbeats{Client: client, Instance: Instance{ID: "i", Service: "s", Address: "x:1"}, Interval: time.Second}
			ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
			defer cancel()
			ended := make(chan error, 1)
			go func() { ended <- b.Run(ctx) }()
			c.So(errors.Is(b.Drain(ctx), Undetermined), ShouldBeTrue)
			c.So(errors.Is(<-ended, context.DeadlineExceeded), ShouldBeTrue)
			c.So(errors.Is(new(Heartbeats).Run(ctx), InvalidUsage), ShouldBeTrue)
		})
	})
}
