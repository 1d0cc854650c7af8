package meshclient

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestCallRetriesUnchangedUntilConclusiveResponse(t *testing.T) {
	Convey("A call is retried with growing delays until a response is conclusive", t, func(c C) {
		responses := []scriptedResponse{
			{status: 503},
			{},
			{status: 429, header: http.Header{"Retry-After": {"1.5"}}},
			{status: 307, header: redirectTo("http://d:1/x")},
			{status: 307, header: redirectTo("/y")},
			{status: 307, header: redirectTo("/z")},
			{status: 200, body: `{"configVersion":8}`, byteInterval: idleTimeout + time.Millisecond},
			{status: -1},
			{status: 307, header: redirectTo("http://d:1/x")},
			{status: 200, body: `{"configVersion":7}`, byteInterval: idleTimeout - time.Millisecond}, // within idleTimeout
		}
		runScript(t, responses, func(ctx context.Context, s *scriptedTransport, client *Client) {
			version, err := client.Replace(ctx, Document{ConfigVersion: 7, BaseVersion: 5})
			c.So(err, ShouldBeNil)
			c.So(version, ShouldEqual, 7)
			const path = " /api/configuration/replace"
			c.So(s.calls, ShouldResemble, []string{
				"a:1" + path, "b:1" + path, "c:1" + path, "a:1" + path, "d:1 /x", "d:1 /y",
				"b:1" + path, "c:1" + path, "a:1" + path, "d:1 /x",
			})
			for _, body := range s.bodies {
				c.So(body, ShouldEqual, `{"configVersion":7,"baseVersion":5,"resources":[]}`)
			}
			// The tolerance of 1 ms covers timePerByte for the bytes of the request body.
			delayAfterTimeout := s.times[2] - s.times[1]
			c.So(delayAfterTimeout, ShouldBeBetween,
				idleTimeout+minBackoff-time.Millisecond, idleTimeout+2*minBackoff+time.Millisecond)
			c.So(s.times[3]-s.times[2], ShouldEqual, 1500*time.Millisecond)
			c.So(s.times[8]-s.times[7], ShouldBeBetween, 8*minBackoff, 32*minBackoff)
			_, err = client.NodeStatus(ctx) // the next call starts with the address that responded last
			c.So(err, ShouldBeNil)
			c.So(s.calls[10], ShouldEqual, "a:1 /api/view")
		})
	})
}

func TestKindsOfRejections(t *testing.T) {
	Convey("Each rejection has its kind, and ends the call after the first or after the third attempt", t, func(c C) {
		for _, testCase := range []struct {
			status     int
			serverKind string
			kind       Kind
			attempts   int
		}{
			{400, "Invalid", Invalid, 1},
			{400, "Unreadable", Invalid, 1},
			{400, "", Invalid, 1},
			{409, "", Invalid, 1},
			{412, "Stale", Stale, 1},
			{413, "", TooLarge, 1},
			{422, "", Invalid, 1},
			{404, "Unknown", NotFound, 3},
			{403, "", Rejected, 3},
		} {
			header := http.Header{"X-Mesh-Fault": {testCase.serverKind}}
			rejection := scriptedResponse{status: testCase.status, header: header, body: `{"errorMessage":"as said"}`}
			responses := []scriptedResponse{rejection, rejection, rejection, rejection}
			runScript(t, responses, func(ctx context.Context, s *scriptedTransport, client *Client) {
				_, err := client.Update(ctx, Change{ConfigVersion: 7})
				var e *Error
				c.So(errors.As(err, &e), ShouldBeTrue)
				c.So(errors.Is(err, testCase.kind), ShouldBeTrue)
				got := []any{e.Kind, KindOf(err), e.Status, e.ServerKind, e.Message, len(s.calls)}
				c.So(got, ShouldResemble, []any{
					testCase.kind, testCase.kind, testCase.status, testCase.serverKind, "as said", testCase.attempts,
				})
			})
		}
	})
}

func TestMessagesOfUnexpectedErrorBodies(t *testing.T) {
	Convey("The message is decoded despite an unexpected kind; without a message, the status is used", t, func(c C) {
		for body, message := range map[string]string{
			`{"errorMessage":"as said","kind":7}`:         "as said",
			`{"kind":{"name":"x"},"errorMessage":"said"}`: "said",
			`{"errorMessage":7,"kind":"Invalid"}`:         "400",
			`{"errorMessage":"cut sh`:                     "400",
			`["as said"]`:                                 "400",
			`null`:                                        "400",
			``:                                            "400",
		} {
			runScript(t, []scriptedResponse{{status: 400, body: body}},
				func(ctx context.Context, _ *scriptedTransport, client *Client) {
					_, err := client.NodeStatus(ctx)
					var e *Error
					c.So(errors.As(err, &e), ShouldBeTrue)
					c.So(e.Message, ShouldEqual, message)
				})
		}
	})
}

func TestKindsWithoutAResponse(t *testing.T) {
	Convey("If the context ends, the kind depends on whether a request may have been received", t, func(c C) {
		for kind, responses := range map[Kind][]scriptedResponse{
			Unreachable:  {{status: -1}, {status: -1}, {status: -1}},
			Undetermined: {{status: -1}, {status: 503}, {status: -1}},
		} {
			runScript(t, responses, func(ctx context.Context, _ *scriptedTransport, client *Client) {
				ctx, cancel := context.WithTimeout(ctx, 120*time.Millisecond)
				defer cancel()
				_, err := client.Replace(ctx, Document{ConfigVersion: 7, BaseVersion: 5})
				c.So(errors.Is(err, kind), ShouldBeTrue)
				c.So(errors.Is(err, context.DeadlineExceeded), ShouldBeTrue)
			})
		}
		_, err := new(Client).NodeStatus(t.Context())
		c.So(errors.Is(err, InvalidUsage), ShouldBeTrue)
	})
}

func TestChangeRetriesAfterConcurrentChange(t *testing.T) {
	Convey("Change retries with the new configuration after a concurrent change", t, func(c C) {
		responses := []scriptedResponse{
			{status: 200, body: `{"configVersion":5,"resources":[]}`},
			{status: 412},
			{status: 200, body: `{"configVersion":6,"resources":[{"resourceType":"limits","metadata":{}}]}`},
			{status: 200, body: `{"configVersion":7}`},
		}
		runScript(t, responses, func(ctx context.Context, s *scriptedTransport, client *Client) {
			var resourceCounts []int // of the configurations that revise received
			version, err := client.Change(ctx, func(doc Document) (Change, error) {
				resourceCounts = append(resourceCounts, len(doc.Resources))
				return Change{Remove: Removal{Routes: []string{"r"}}}, nil
			})
			c.So(err, ShouldBeNil)
			c.So(version, ShouldEqual, 7)
			c.So(resourceCounts, ShouldResemble, []int{0, 1})
			const want = `{"configVersion":7,"baseVersion":6,"upsert":{"resources":[]},"remove":{"routes":["r"]}}`
			c.So(s.bodies[3], ShouldEqual, want)
		})
	})
}
