package meshclient

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestCallIsSentUnchangedUntilOneAnswerIsConclusive(t *testing.T) {
	Convey("It goes on after a failure, silence, 429 and redirects, with waits that grow", t, func(c C) {
		responses := []response{
			{status: 503},
			{},
			{status: 429, header: http.Header{"Retry-After": {"1.5"}}},
			{status: 307, header: redirectTo("http://d:1/x")},
			{status: 307, header: redirectTo("/y")},
			{status: 307, header: redirectTo("/z")},
			{status: 200, body: `{"configVersion":8}`, byteInterval: idleTimeout + time.Millisecond},
			{status: -1},
			{status: 307, header: redirectTo("http://d:1/x")},
			{status: 200, body: `{"configVersion":7}`, byteInterval: idleTimeout - time.Millisecond}, // slow, but not idle
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
			// The millisecond is for the microseconds of the body's bytes.
			afterSilence := s.times[2] - s.times[1]
			c.So(afterSilence, ShouldBeBetween,
				idleTimeout+minBackoff-time.Millisecond, idleTimeout+2*minBackoff+time.Millisecond)
			c.So(s.times[3]-s.times[2], ShouldEqual, 1500*time.Millisecond)
			c.So(s.times[8]-s.times[7], ShouldBeBetween, 8*minBackoff, 32*minBackoff)
			_, err = client.NodeStatus(ctx) // the last address that answered is asked first
			c.So(err, ShouldBeNil)
			c.So(s.calls[10], ShouldEqual, "a:1 /api/view")
		})
	})
}

func TestRejectionsHaveTheirKinds(t *testing.T) {
	Convey("Each rejection has its kind, and ends the call at once or at the third attempt", t, func(c C) {
		for _, x := range []struct {
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
			header := http.Header{"X-Mesh-Fault": {x.serverKind}}
			rejection := response{status: x.status, header: header, body: `{"errorMessage":"as said"}`}
			responses := []response{rejection, rejection, rejection, rejection}
			runScript(t, responses, func(ctx context.Context, s *scriptedTransport, client *Client) {
				_, err := client.Update(ctx, Change{ConfigVersion: 7})
				var e *Error
				c.So(errors.As(err, &e), ShouldBeTrue)
				c.So(errors.Is(err, x.kind), ShouldBeTrue)
				got := []any{e.Kind, KindOf(err), e.Status, e.ServerKind, e.Message, len(s.calls)}
				c.So(got, ShouldResemble, []any{x.kind, x.kind, x.status, x.serverKind, "as said", x.attempts})
			})
		}
	})
}

func TestErrorBodiesOfOtherServers(t *testing.T) {
	Convey("The message is taken whatever the body has as kind; without a message the status stands for it", t, func(c C) {
		for body, message := range map[string]string{
			`{"errorMessage":"as said","kind":7}`:         "as said",
			`{"kind":{"name":"x"},"errorMessage":"said"}`: "said",
			`{"errorMessage":7,"kind":"Invalid"}`:         "400",
			`{"errorMessage":"cut sh`:                     "400",
			`["as said"]`:                                 "400",
			`null`:                                        "400",
			``:                                            "400",
		} {
			runScript(t, []response{{status: 400, body: body}},
				func(ctx context.Context, _ *scriptedTransport, client *Client) {
					_, err := client.NodeStatus(ctx)
					var e *Error
					c.So(errors.As(err, &e), ShouldBeTrue)
					c.So(e.Message, ShouldEqual, message)
				})
		}
	})
}

func TestKindsWithoutAnAnswer(t *testing.T) {
	Convey("When the time runs out, the kind says whether anything may have been received", t, func(c C) {
		for kind, responses := range map[Kind][]response{
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

func TestChangeStartsAgainWhenAnotherCameInBetween(t *testing.T) {
	Convey("It starts again from the configuration in force", t, func(c C) {
		responses := []response{
			{status: 200, body: `{"configVersion":5,"resources":[]}`},
			{status: 412},
			{status: 200, body: `{"configVersion":6,"resources":[{"resourceType":"limits","metadata":{}}]}`},
			{status: 200, body: `{"configVersion":7}`},
		}
		runScript(t, responses, func(ctx context.Context, s *scriptedTransport, client *Client) {
			var seen []int
			version, err := client.Change(ctx, func(doc Document) (Change, error) {
				seen = append(seen, len(doc.Resources))
				return Change{Remove: Removal{Routes: []string{"r"}}}, nil
			})
			c.So(err, ShouldBeNil)
			c.So(version, ShouldEqual, 7)
			c.So(seen, ShouldResemble, []int{0, 1})
			const want = `{"configVersion":7,"baseVersion":6,"upsert":{"resources":[]},"remove":{"routes":["r"]}}`
			c.So(s.bodies[3], ShouldEqual, want)
		})
	})
}
