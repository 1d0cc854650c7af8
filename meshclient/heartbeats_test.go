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

func TestHeartbeatsFindAMachineAndDrainInOrder(t *testing.T) {
	Convey("They go on when none acknowledges, and keep to a named endpoint until it fails", t, func(c C) {
		responses := []response{
			{status: 200, body: `{"heartbeatEndpoint":"e:1"}`}, // of a
			{status: 200}, // of e
			{},            // e is silent
			{status: 200, body: strings.Repeat(" ", maxAcknowledgementBytes+1)}, // a's is too long
			{status: 500},             // b fails
			{status: 200},             // c acknowledges
			{status: 500},             // draining: c fails
			{status: 200, body: "{}"}, // a acknowledges
		}
		runScript(t, responses, func(ctx context.Context, s *scriptedTransport, client *Client) {
			failed := 0
			h := &Heartbeats{
				Client:       client,
				Instance:     Instance{ID: "i/1", Service: "s", Address: "10.0.0.1:80", Slots: 3, Warmup: 3 * time.Second},
				Interval:     2 * time.Second,
				DrainTimeout: 5 * time.Second,
				OnError:      func(error) { failed++ },
			}
			ended := make(chan error, 1)
			go func() { ended <- h.Run(ctx) }()
			time.Sleep(6 * time.Second) // of the bubble's time
			synctest.Wait()
			before := len(s.calls)
			drainCalledAt := time.Since(s.startedAt)
			c.So(h.Drain(ctx), ShouldBeNil)
			c.So(<-ended, ShouldBeNil)

			c.So(before, ShouldEqual, 6)
			c.So(failed, ShouldEqual, 4)
			var hosts string
			drainedAt := time.Duration(0)
			for i, call := range s.calls[:len(s.calls)-1] {
				host, path, _ := strings.Cut(call, ":1 ")
				hosts += host
				c.So(path, ShouldEqual, "/api/instances/i/1/heartbeat")
				var heartbeat meshapi.HeartbeatRequest
				c.So(json.Unmarshal([]byte(s.bodies[i]), &heartbeat), ShouldBeNil)
				c.So(heartbeat.Status.CallSequence, ShouldEqual, i+1)
				state, warmup := "ready", max(0, 3-s.times[i].Seconds())
				if i >= before {
					state = "draining"
				}
				c.So(heartbeat.Status.State, ShouldEqual, state)
				c.So(heartbeat.Status.WarmupRemainingS, ShouldAlmostEqual, warmup)
				if i == before+1 {
					drainedAt = s.times[i]
				}
			}
			c.So(hosts, ShouldStartWith, "aeeabcca")
			c.So(len(hosts), ShouldBeGreaterThan, 9)          // heartbeats go on while it serves on
			c.So(s.times[before], ShouldEqual, drainCalledAt) // draining is said at once
			last := len(s.calls) - 1
			c.So(s.calls[last], ShouldEndWith, "/api/instances/i/1/deregister")
			c.So(s.times[last]-drainedAt, ShouldEqual, h.DrainTimeout+drainMargin)
		})
	})
}

func TestDrainWithoutAnAcknowledgement(t *testing.T) {
	Convey("Drain says so when its time is over", t, func(c C) {
		runScript(t, make([]response, 100), func(ctx context.Context, s *scriptedTransport, client *Client) {
			instance := Instance{ID: "i", Service: "s", Address: "x:1"}
			h := &Heartbeats{Client: client, Instance: instance, Interval: time.Second}
			ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
			defer cancel()
			ended := make(chan error, 1)
			go func() { ended <- h.Run(ctx) }()
			c.So(errors.Is(h.Drain(ctx), Undetermined), ShouldBeTrue)
			c.So(errors.Is(<-ended, context.DeadlineExceeded), ShouldBeTrue)
			c.So(errors.Is(new(Heartbeats).Run(ctx), InvalidUsage), ShouldBeTrue)
		})
	})
}

// ExampleHeartbeats failed once beside load: what a heartbeat in flight prints came behind the deregistration. Drain
// ended Run and did not wait for it. A heartbeat that arrives behind the deregistration is one of an instance that has
// ended, and callers may be sent to it.
func TestDrainWaitsForTheHeartbeatInFlight(t *testing.T) {
	Convey("No heartbeat is in flight when the instance is deregistered", t, func(c C) {
		responses := []response{
			{status: 200}, // ready, at the start
			{status: 200}, // draining, 0.5 s later
			{},            // a second later: silent, until the acknowledgement is given up
		}
		runScript(t, responses, func(ctx context.Context, s *scriptedTransport, client *Client) {
			instance := Instance{ID: "i", Service: "s", Address: "x:1"}
			h := &Heartbeats{Client: client, Instance: instance, Interval: time.Second, DrainTimeout: time.Second}
			ended := make(chan error, 1)
			go func() { ended <- h.Run(ctx) }()
			time.Sleep(500 * time.Millisecond) // of the bubble's time
			c.So(h.Drain(ctx), ShouldBeNil)
			c.So(<-ended, ShouldBeNil)
			c.So(s.calls, ShouldHaveLength, 4)
			c.So(s.calls[3], ShouldEndWith, "/api/instances/i/deregister")
			c.So(s.times[3], ShouldEqual, 1500*time.Millisecond+acknowledgementTimeout)
		})
	})
}
