package sidecar

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"caperarch/internal/mesh/headers"
	fronthttp1 "caperarch/internal/proxy/front/http1"
	"caperarch/policy"

	. "github.com/smartystreets/goconvey/convey"
)

// The drain must fit into the grace period, and leave most of a usual grace period to in-flight requests.
func TestDrainTimesFitTheGracePeriod(t *testing.T) {
	for _, grace := range []time.Duration{
		1600 * time.Millisecond, 2 * time.Second, 3 * time.Second, 6 * time.Second, time.Minute,
	} {
		linger, drainTimeout := drainTimes(grace)
		if sum := linger + drainTimeout + shutdownReserve; sum > grace || linger < grace/3 {
			t.Errorf("grace period %v: linger %v, drain timeout %v, reserve %v; want a third to linger, the sum in the period",
				grace, linger, drainTimeout, shutdownReserve)
		}
	}
	if linger, drainTimeout := drainTimes(6 * time.Second); linger+drainTimeout != 4500*time.Millisecond {
		t.Errorf("grace period 6s: linger %v and drain timeout %v, want a sum of 4.5s", linger, drainTimeout)
	}
}

// In-flight requests must not be aborted before the last sixth of the grace period, for any grace period. A request
// that was sent before the SIGTERM, or soon after it, is guaranteed that time.
func TestDrainAbortsNothingBeforeTheLastSixth(t *testing.T) {
	for grace := 2 * time.Second; grace <= 2*time.Minute; grace += 100 * time.Millisecond {
		linger, drainTimeout := drainTimes(grace)
		cutoff := (linger + drainTimeout + fronthttp1.DrainMargin).Round(time.Millisecond)
		if lastSixth := (grace - grace/6).Round(time.Millisecond); cutoff < lastSixth {
			t.Errorf("grace period %v: in-flight requests are aborted after %v, want five sixths of the period", grace, cutoff)
		}
	}
}

// Guards against a draining gate that aborts another sidecar's request 0.99 s after it was sent, with a route timeout
// of 1 s. The caller had not yet learned of the gate's drain.
func TestDrainingGateAcceptsRequestsThatCanFinish(t *testing.T) {
	Convey("A gate accepts a request only if it can use all its time, for any grace period and timeout", t, func() {
		for _, grace := range []time.Duration{2 * time.Second, 3 * time.Second, 6 * time.Second, 10 * time.Second} {
			for _, remaining := range []time.Duration{200 * time.Millisecond, time.Second, 3 * time.Second, time.Minute} {
				linger, drainTimeout := drainTimes(grace)
				cutoffAfter := linger + drainTimeout + fronthttp1.DrainMargin
				accepted := 0
				for after := time.Duration(0); after <= linger; after += 10 * time.Millisecond {
					i, d := newInbound(nil)
					i.sendIDs = headers.NewSendIDSource()
					startedAt := i.clock.Now()
					i.drain.begin(startedAt, startedAt+cutoffAfter)
					i.clock.Advance(after)
					timeout := fmt.Sprintf("X-Caperarch-Timeout-Remaining: %d\r\n", remaining.Milliseconds())
					fields := attemptIDField + nonIdempotentTermsField + timeout + targetField
					own := "X-Mesh-Send: " + i.sendIDs.Next() + "\r\n"
					_, _, rejection := d.ParseRequest(parseHead(nonIdempotentLine, fields+own))
					So(rejection, ShouldBeNil)

					h := parseHead(nonIdempotentLine, fields+sendField)
					if _, _, rejection = d.ParseRequest(h); rejection == nil {
						accepted++
						So(after+remaining, ShouldBeLessThanOrEqualTo, cutoffAfter)
						continue
					}
					So(endingOf(d, rejection.Status, h, nil), ShouldEqual, policy.GateRejected)
				}
				So(accepted > 0, ShouldEqual, remaining < cutoffAfter)
			}
		}
	})
}

// Guards against aborting a request that was sent more than 3 s after the SIGTERM: its client is not told to expect
// that.
func TestRequestsLateInDrainAreNotAborted(t *testing.T) {
	Convey("With a grace period of 10 s, a late request is rejected if it could be aborted", t, func() {
		linger, drainTimeout := drainTimes(10 * time.Second)
		cutoffAfter := linger + drainTimeout + fronthttp1.DrainMargin
		admit := func(after, timeout time.Duration) *fronthttp1.Rejection {
			o, d := newOutbound(strings.ReplaceAll(tenantConfig, `"timeoutS":1,`, `"timeoutS":60,`))
			startedAt := o.clock.Now()
			o.drain.begin(startedAt, startedAt+cutoffAfter)
			o.clock.Advance(after)
			timeoutField := fmt.Sprintf("X-Caperarch-Timeout-Remaining: %d\r\n", timeout.Milliseconds())
			_, _, rejection := d.ParseRequest(parseHead(publicRouteLine, attemptIDField+timeoutField))
			return rejection
		}
		So(admit(2900*time.Millisecond, 8*time.Second), ShouldBeNil)
		So(admit(3100*time.Millisecond, 5*time.Second), ShouldBeNil)
		late := admit(3100*time.Millisecond, 8*time.Second)
		So(late, ShouldNotBeNil)
		So(late.Status, ShouldEqual, http.StatusServiceUnavailable)
		So(late.RetryAfter, ShouldBeGreaterThan, 0)
	})
}
