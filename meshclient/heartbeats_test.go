package meshclient

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperarch/meshapi"
)

func TestHeartbeatsFailOverAndDrain(t *testing.T) {
	Convey("Heartbeats continue after failures, and go to the endpoint that the mesh named until it fails", t, func(c C) {
		responses := []scriptedResponse{
			{status: 200, body: `{"heartbeatEndpoint":"e:1"}`}, // a names the endpoint e
			{status: 200}, // e acknowledges
			{},            // e does not respond
			{status: 200, body: strings.Repeat(" ", maxAcknowledgementBytes+1)}, // the response of a is too long
			{status: 500},             // b responds with an error
			{status: 200},             // c acknowledges
			{status: 500},             // c responds to the first draining heartbeat with an error
			{status: 200, body: "{}"}, // a acknowledges the draining state
		}
		runScript(t, responses, func(ctx context.Context, s *scriptedTransport, client *Client) {
			failures := 0
			h := &Heartbeats{
				Client:       client,
				Instance:     Instance{ID: "i/1", Service: "s", Address: "10.0.0.1:80", Slots: 3, Warmup: 3 * time.Second},
				Interval:     2 * time.Second,
				DrainTimeout: 5 * time.Second,
				OnError:      func(error) { failures++ },
			}
			runResult := make(chan error, 1)
			go func() { runResult <- h.Run(ctx) }()
			time.Sleep(6 * time.Second) // in the virtual time of synctest
			synctest.Wait()
			callsBeforeDrain := len(s.calls)
			drainCalledAt := time.Since(s.startedAt)
			c.So(h.Drain(ctx), ShouldBeNil)
			c.So(<-runResult, ShouldBeNil)

			c.So(callsBeforeDrain, ShouldEqual, 6)
			c.So(failures, ShouldEqual, 4)
			var hosts string
			acknowledgedAt := time.Duration(0)
			for i, call := range s.calls[:len(s.calls)-1] {
				host, path, _ := strings.Cut(call, ":1 ")
				hosts += host
				c.So(path, ShouldEqual, "/api/instances/i/1/heartbeat")
				var heartbeat meshapi.HeartbeatRequest
				c.So(json.Unmarshal([]byte(s.bodies[i]), &heartbeat), ShouldBeNil)
				c.So(heartbeat.Status.CallSequence, ShouldEqual, i+1)
				state, warmup := "ready", max(0, 3-s.times[i].Seconds())
				if i >= callsBeforeDrain {
					state = "draining"
				}
				c.So(heartbeat.Status.State, ShouldEqual, state)
				c.So(heartbeat.Status.WarmupRemainingS, ShouldAlmostEqual, warmup)
				if i == callsBeforeDrain+1 {
					acknowledgedAt = s.times[i]
				}
			}
			c.So(hosts, ShouldStartWith, "aeeabcca")
			c.So(len(hosts), ShouldBeGreaterThan, 9)                    // heartbeats continue during DrainTimeout
			c.So(s.times[callsBeforeDrain], ShouldEqual, drainCalledAt) // the draining state is sent immediately
			last := len(s.calls) - 1
			c.So(s.calls[last], ShouldEndWith, "/api/instances/i/1/deregister")
			c.So(s.times[last]-acknowledgedAt, ShouldEqual, h.DrainTimeout+drainMargin)
		})
	})
}

func TestDrainWithoutAnAcknowledgement(t *testing.T) {
	Convey("Drain returns Undetermined if its context ends before an acknowledgement", t, func(c C) {
		runScript(t, make([]scriptedResponse, 100), func(ctx context.Context, s *scriptedTransport, client *Client) {
			instance := Instance{ID: "i", Service: "s", Address: "x:1"}
			h := &Heartbeats{Client: client, Instance: instance, Interval: time.Second}
			ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
			defer cancel()
			runResult := make(chan error, 1)
			go func() { runResult <- h.Run(ctx) }()
			c.So(errors.Is(h.Drain(ctx), Undetermined), ShouldBeTrue)
			c.So(errors.Is(<-runResult, context.DeadlineExceeded), ShouldBeTrue)
			c.So(errors.Is(new(Heartbeats).Run(ctx), InvalidUsage), ShouldBeTrue)
		})
	})
}

// Drain must not deregister the instance while a heartbeat is in flight. A heartbeat that is received after the
// deregistration announces an instance that has ended, and requests may be sent to it. Drain used to stop Run without
// waiting for the heartbeat, and ExampleHeartbeats failed once under load because of it.
func TestDrainWaitsForTheHeartbeatInFlight(t *testing.T) {
	Convey("Drain waits for the heartbeat in flight before it deregisters the instance", t, func(c C) {
		responses := []scriptedResponse{
			{status: 200}, // state ready, at the start
			{status: 200}, // state draining, 0.5 s after the start
			{},            // 1.5 s after the start: no response until acknowledgementTimeout expires
		}
		runScript(t, responses, func(ctx context.Context, s *scriptedTransport, client *Client) {
			instance := Instance{ID: "i", Service: "s", Address: "x:1"}
			h := &Heartbeats{Client: client, Instance: instance, Interval: time.Second, DrainTimeout: time.Second}
			runResult := make(chan error, 1)
			go func() { runResult <- h.Run(ctx) }()
			time.Sleep(500 * time.Millisecond) // in the virtual time of synctest
			c.So(h.Drain(ctx), ShouldBeNil)
			c.So(<-runResult, ShouldBeNil)
			c.So(s.calls, ShouldHaveLength, 4)
			c.So(s.calls[3], ShouldEndWith, "/api/instances/i/deregister")
			c.So(s.times[3], ShouldEqual, 1500*time.Millisecond+acknowledgementTimeout)
		})
	})
}
