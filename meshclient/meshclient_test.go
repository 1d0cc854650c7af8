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

// step is what a machine answers to one call; status 0: nothing, ever, and -1: no connection comes up.
type step struct {
	status int
	header http.Header
	body   string
	slow   time.Duration // between the body's bytes
}

// drip is a body whose bytes come slowly, until the call is given up.
type drip struct {
	io.Reader
	slow time.Duration
	ctx  context.Context
}

func (d *drip) Read(p []byte) (int, error) {
	time.Sleep(d.slow) // of the bubble's time
	if d.ctx.Err() != nil {
		return 0, d.ctx.Err()
	}
	return d.Reader.Read(p[:1])
}

// script stands in for the machines. It answers each call with the next step, and notes what was called.
type script struct {
	mu    sync.Mutex
	steps []step
	calls []string // address, method and path
	sent  []string // the bodies
	at    []time.Duration
	begun time.Time
}

func (s *script) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	next := step{status: 200, body: `{"configVersion":7}`}
	if len(s.steps) > 0 {
		next, s.steps = s.steps[0], s.steps[1:]
	}
	s.calls, s.sent, s.at = append(s.calls, r.URL.Host+" "+r.URL.Path), append(s.sent, string(body)), append(s.at, time.Since(s.begun))
	s.mu.Unlock()
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
	return &http.Response{StatusCode: next.status, Status: fmt.Sprint(next.status), Header: next.header, Body: io.NopCloser(&drip{strings.NewReader(next.body), next.slow, r.Context()}), Request: r}, nil
}

// play plays steps against a client of three machines that begins at the first.
func play(t *testing.T, steps []step, run func(ctx context.Context, s *script, c *Client)) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{steps: steps, begun: time.Now()}
		c := &Client{Addresses: []string{"a:1", "b:1", "c:1"}, HTTP: &http.Client{Transport: s}}
		c.once.Do(c.start)
		c.at = 0
		run(t.Context(), s, c)
	})
}

func to(location string) http.Header { return http.Header{"Location": {location}} }

func TestClient(t *testing.T) {
	change := Document{ConfigVersion: 7, BaseVersion: 5}
	Convey("A call goes on unchanged after a failure, silence, a promise and redirects, with pauses that grow, until one settles it", t, func(c C) {
		play(t, []step{
			{status: 503}, {}, {status: 429, header: http.Header{"Retry-After": {"1.5"}}},
			{status: 307, header: to("http://d:1/x")}, {status: 307, header: to("/y")}, {status: 307, header: to("/z")},
			{status: 200, body: `{"configVersion":8}`, slow: silence + time.Millisecond}, {status: -1}, {status: 307, header: to("http://d:1/x")},
			{status: 200, body: `{"configVersion":7}`, slow: silence - time.Millisecond}, // it moves
		}, func(ctx context.Context, s *script, client *Client) {
			version, err := client.Replace(ctx, change)
			c.So(err, ShouldBeNil)
			c.So(version, ShouldEqual, 7)
			path := " /api/configuration/replace"
			c.So(s.calls, ShouldResemble, []string{"a:1" + path, "b:1" + path, "c:1" + path, "a:1" + path, "d:1 /x", "d:1 /y", "b:1" + path, "c:1" + path, "a:1" + path, "d:1 /x"})
			for _, sent := range s.sent {
				c.So(sent, ShouldEqual, `{"configVersion":7,"baseVersion":5,"resources":[]}`)
			}
			c.So(s.at[2]-s.at[1], ShouldBeBetween, silence+pauseLeast-time.Millisecond, silence+2*pauseLeast+time.Millisecond) // the body has its microseconds
			c.So(s.at[3]-s.at[2], ShouldEqual, 1500*time.Millisecond)
			c.So(s.at[8]-s.at[7], ShouldBeBetween, 8*pauseLeast, 32*pauseLeast)
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
			answer := step{status: x.status, header: http.Header{"X-Mesh-Fault": {x.fault}}, body: `{"errorMessage":"as said"}`}
			play(t, []step{answer, answer, answer, answer}, func(ctx context.Context, s *script, client *Client) {
				_, err := client.Update(ctx, Change{ConfigVersion: 7})
				var e *Error
				c.So(errors.As(err, &e), ShouldBeTrue)
				c.So(errors.Is(err, x.kind), ShouldBeTrue)
				c.So([]any{e.Kind, KindOf(err), e.Status, e.ServerKind, e.Message, len(s.calls)}, ShouldResemble, []any{x.kind, x.kind, x.status, x.fault, "as said", x.tries})
			})
		}
	})

	Convey("When the time runs out, it is said whether anything may have been taken", t, func(c C) {
		for kind, steps := range map[Kind][]step{Unreachable: {{status: -1}, {status: -1}, {status: -1}}, Undetermined: {{status: -1}, {status: 503}, {status: -1}}} {
			play(t, steps, func(ctx context.Context, _ *script, client *Client) {
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
		play(t, []step{
			{status: 200, body: `{"configVersion":5,"resources":[]}`}, {status: 412},
			{status: 200, body: `{"configVersion":6,"resources":[{"resourceType":"limits","metadata":{}}]}`}, {status: 200, body: `{"configVersion":7}`},
		}, func(ctx context.Context, s *script, client *Client) {
			var seen []int
			version, err := client.Change(ctx, func(doc Document) (Change, error) {
				seen = append(seen, len(doc.Resources))
				return Change{Remove: Removal{Routes: []string{"r"}}}, nil
			})
			c.So(err, ShouldBeNil)
			c.So(version, ShouldEqual, 7)
			c.So(seen, ShouldResemble, []int{0, 1})
			c.So(s.sent[3], ShouldEqual, `{"configVersion":7,"baseVersion":6,"upsert":{"resources":[]},"remove":{"routes":["r"]}}`)
		})
	})
}

func TestBeats(t *testing.T) {
	Convey("Beats go on to the next machine when none acknowledges, keep to the endpoint they are given until it fails, and take leave in order", t, func(c C) {
		play(t, []step{
			{status: 200, body: `{"heartbeatEndpoint":"e:1"}`}, {status: 200}, {}, // a, e, e is silent
			{status: 200, body: strings.Repeat(" ", beatLimit+1)}, {status: 500}, {status: 200}, // a's is too long, b fails, c acknowledges
			{status: 500}, {status: 200, body: "{}"}, // the leaving: c fails, a acknowledges
		}, func(ctx context.Context, s *script, client *Client) {
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
			asked := time.Since(s.begun)
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
				c.So(json.Unmarshal([]byte(s.sent[i]), &said), ShouldBeNil)
				c.So(said.Status.CallSequence, ShouldEqual, i+1)
				state, warmup := "ready", max(0, 3-s.at[i].Seconds())
				if i >= before {
					state = "draining"
				}
				c.So(said.Status.State, ShouldEqual, state)
				c.So(said.Status.WarmupRemainingS, ShouldAlmostEqual, warmup)
				if i == before+1 {
					drainedAt = s.at[i]
				}
			}
			c.So(hosts, ShouldStartWith, "aeeabcca")
			c.So(len(hosts), ShouldBeGreaterThan, 9) // it beats while it serves on
			c.So(s.at[before], ShouldEqual, asked)   // the leaving is said at once
			last := len(s.calls) - 1
			c.So(s.calls[last], ShouldEndWith, "/api/instances/i/1/deregister")
			c.So(s.at[last]-drainedAt, ShouldEqual, b.DrainTimeout+drainMargin)
		})
	})

	Convey("Without an acknowledgement Drain says so when its time is over", t, func(c C) {
		play(t, make([]step, 100), func(ctx context.Context, s *script, client *Client) {
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
