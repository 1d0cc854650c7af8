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

// A process that is asked to stop ends within its grace period, and uses most of a usual one.
func TestDrainTimesFitTheGracePeriod(t *testing.T) {
	for _, grace := range []time.Duration{
		1600 * time.Millisecond, 2 * time.Second, 3 * time.Second, 6 * time.Second, time.Minute,
	} {
		linger, longest := drainTimes(grace)
		if sum := linger + longest + shutdownReserve; sum > grace || linger < grace/3 {
			t.Errorf("of %v: linger %v, longest %v, reserve %v", grace, linger, longest, shutdownReserve)
		}
	}
	if linger, longest := drainTimes(6 * time.Second); linger+longest != 4500*time.Millisecond {
		t.Errorf("of 6s: linger %v and longest %v, want 4.5s together", linger, longest)
	}
}

// What is in flight is not cut before the last sixth of the grace period, whatever that is: a request that
// was sent before the stop, or soon after it, has that long.
func TestDrainIsNotCutBeforeLastSixth(t *testing.T) {
	for grace := 2 * time.Second; grace <= 2*time.Minute; grace += 100 * time.Millisecond {
		linger, longest := drainTimes(grace)
		cut := (linger + longest + fronthttp1.DrainMargin).Round(time.Millisecond)
		if lastSixth := (grace - grace/6).Round(time.Millisecond); cut < lastSixth {
			t.Errorf("of %v: requests are cut after %v", grace, cut)
		}
	}
}

// Guards against a gate that cuts another sidecar's request, 0.99 s of its route's 1 s after it was sent: the caller
// had not heard of the gate's drain yet.
func TestGateAcceptsInDrainWhatItHasTimeFor(t *testing.T) {
	Convey("Whatever the grace period and the request's time", t, func() {
		for _, grace := range []time.Duration{2 * time.Second, 3 * time.Second, 6 * time.Second, 10 * time.Second} {
			for _, remaining := range []time.Duration{200 * time.Millisecond, time.Second, 3 * time.Second, time.Minute} {
				linger, longest := drainTimes(grace)
				cutAfter := linger + longest + fronthttp1.DrainMargin
				accepted := 0
				for after := time.Duration(0); after <= linger; after += 10 * time.Millisecond {
					i, d := newInbound(nil)
					i.sendIDs = headers.NewSendIDSource()
					begun := i.clock.Now()
					i.drain.begin(begun, begun+cutAfter)
					i.clock.Advance(after)
					timeout := fmt.Sprintf("X-Caperarch-Timeout-Remaining: %d\r\n", remaining.Milliseconds())
					fields := attemptIDField + onceTermsField + timeout + targetField
					own := "X-Mesh-Send: " + i.sendIDs.Next() + "\r\n"
					_, _, rejection := d.ParseRequest(parseHead(onceLine, fields+own))
					So(rejection, ShouldBeNil)

					h := parseHead(onceLine, fields+sendField)
					if _, _, rejection = d.ParseRequest(h); rejection == nil {
						accepted++
						So(after+remaining, ShouldBeLessThanOrEqualTo, cutAfter)
						continue
					}
					So(endingOf(d, rejection.Status, h, nil), ShouldEqual, policy.GateRejected)
				}
				So(accepted > 0, ShouldEqual, remaining < cutAfter)
			}
		}
	})
}

// Guards against a request that is sent later than 3 s after SIGTERM and cut by a drain of which its client was
// promised nothing of the kind.
func TestClientsRequestsLateInDrainAreNotCut(t *testing.T) {
	Convey("With a grace period of 10 s", t, func() {
		linger, longest := drainTimes(10 * time.Second)
		cutAfter := linger + longest + fronthttp1.DrainMargin
		admit := func(after, timeout time.Duration) *fronthttp1.Rejection {
			o, d := newOutbound(strings.ReplaceAll(tenantConfig, `"timeoutS":1,`, `"timeoutS":60,`))
			begun := o.clock.Now()
			o.drain.begin(begun, begun+cutAfter)
			o.clock.Advance(after)
			timeoutField := fmt.Sprintf("X-Caperarch-Timeout-Remaining: %d\r\n", timeout.Milliseconds())
			_, _, rejection := d.ParseRequest(parseHead(openLine, attemptIDField+timeoutField))
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
