package sidecar

import (
	"net/http"
	"testing"
	"time"

	"caperarch/internal/mesh/gate"
	"caperarch/internal/mesh/headers"
	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/clock"
	"caperarch/internal/proxy/front/http1"
	"caperarch/internal/proxy/h1"
	"caperarch/policy"

	. "github.com/smartystreets/goconvey/convey"
)

// countingHost counts the attempts that a gate sends.
type countingHost struct {
	policy.Host
	sent int
}

func (h *countingHost) Send(policy.RequestID, policy.ServerID, time.Duration) { h.sent++ }

// Header fields that a caller's sidecar sets.
const (
	termsField              = "X-Mesh-Visit: 2,250,1\r\n"
	nonIdempotentTermsField = "X-Mesh-Visit: 2,250,0\r\n"
	sendField               = "X-Mesh-Send: a1.7\r\n"
	timeoutField            = "X-Caperarch-Timeout-Remaining: 800\r\n"
	targetField             = "X-Caperarch-Target-Instance: i-1\r\n"
	sidecarFields           = termsField + sendField + timeoutField + targetField
)

// newInbound returns the inbound side of a sidecar whose local instance is i-1.
func newInbound(host policy.Host) (*inbound, *http1.Dialect) {
	i := &inbound{gate: gate.New(host), clock: clock.NewAdjustable()}
	instance := "i-1"
	i.instance.Store(&instance)
	return i, i.frontDialect()
}

// endingOf returns how a caller's sidecar classifies a response that the gate's sidecar creates itself.
func endingOf(d *http1.Dialect, status int, h *h1.Head, a *call.Answer) policy.Ending {
	ending, _ := headers.ClassifyGateResponse(&http.Response{StatusCode: status, Header: d.ProxyHeaders(h, a)})
	return ending
}

func TestInboundAdmission(t *testing.T) {
	shouldReject := func(d *http1.Dialect, fields string, status int) {
		h := parseHead(idempotentLine, fields)
		_, _, rejection := d.ParseRequest(h)
		So(rejection, ShouldNotBeNil)
		So(rejection.Status, ShouldEqual, status)
		So(endingOf(d, status, h, nil), ShouldEqual, policy.GateRejected)
	}
	Convey("Until the local instance is known every request is rejected as not executed", t, func() {
		i := &inbound{gate: gate.New(nil), clock: clock.NewAdjustable()}
		d := i.frontDialect()
		shouldReject(d, attemptIDField+sidecarFields, 503)
		shouldReject(d, attemptIDField+termsField+sendField+timeoutField, 503)
	})
	Convey("Requests from other senders than sidecars or for another instance are rejected as not executed", t, func() {
		_, d := newInbound(nil)
		shouldReject(d, attemptIDField+timeoutField+targetField, 400)
		shouldReject(d, attemptIDField+termsField+sendField+targetField, 400)
		shouldReject(d, sidecarFields, 400)
		shouldReject(d, attemptIDField+termsField+timeoutField+targetField, 400)
		secondSend := "X-Mesh-Send: a1.8\r\n"
		shouldReject(d, attemptIDField+termsField+sendField+secondSend+timeoutField+targetField, 400)
		shouldReject(d, attemptIDField+termsField+sendField+timeoutField, 503)
		otherTarget := "X-Caperarch-Target-Instance: i-2\r\n"
		shouldReject(d, attemptIDField+termsField+sendField+timeoutField+otherTarget, 503)
	})
	nonIdempotentFields := attemptIDField + nonIdempotentTermsField + sendField + timeoutField + targetField
	Convey("A rejection by the front is recorded and promises that the request is not executed", t, func() {
		i, d := newInbound(nil)
		h := parseHead(idempotentLine, nonIdempotentFields)
		So(endingOf(d, 503, h, nil), ShouldEqual, policy.GateRejected)
		So(i.gate.AttemptLog().Size(), ShouldEqual, 1)
		frontRejection := &call.Answer{Kind: call.Refused, RejectedByFront: true}
		So(endingOf(d, 503, h, frontRejection), ShouldEqual, policy.GateRejected)
	})
	Convey("The front promises nothing if another copy of the request was sent to the upstream", t, func() {
		host := new(countingHost)
		i, d := newInbound(host)
		i.gate.List(0, policy.ListFull, []policy.Server{{ID: 1, State: policy.Ready, Weight: 4}})
		h := parseHead(idempotentLine, nonIdempotentFields)
		q, remaining, rejection := d.ParseRequest(h)
		So(rejection, ShouldBeNil)
		q.ID, q.TimeLeft = 1, remaining
		i.gate.Request(0, q)
		So(host.sent, ShouldEqual, 1)
		frontRejection := &call.Answer{Kind: call.Refused, RejectedByFront: true}
		So(endingOf(d, 503, h, frontRejection), ShouldEqual, policy.ConnectionLost)
		So(endingOf(d, 503, h, nil), ShouldEqual, policy.ConnectionLost)
		gateRejection := &call.Answer{Kind: call.Refused}
		So(endingOf(d, 503, h, gateRejection), ShouldEqual, policy.GateRejected)
	})
	Convey("A request from a sidecar is admitted with its terms, without the sidecars' internal fields", t, func() {
		_, d := newInbound(nil)
		tenantField := "X-Caperarch-Tenant-Id: bozi300\r\n"
		h := parseHead(idempotentLine, attemptIDField+sidecarFields+tenantField)
		q, remaining, rejection := d.ParseRequest(h)
		So(rejection, ShouldBeNil)
		So(remaining, ShouldEqual, 800*time.Millisecond)
		So(*q.Attributes.(*gate.AttemptTerms), ShouldResemble, gate.AttemptTerms{
			Priority: 2, Idempotent: true, LatencyTarget: 250 * time.Millisecond,
		})
		fields := h.EndToEnd()
		d.RewriteHeaders(&q, fields)
		So(fields, ShouldResemble, http.Header{
			headers.AttemptID: {"9c41"}, headers.Timeout: {"800"}, headers.Target: {"i-1"},
			headers.Tenant: {"bozi300"},
		})
		So(endingOf(d, 503, h, &call.Answer{Kind: call.Refused}), ShouldEqual, policy.GateRejected)
		So(endingOf(d, 503, h, &call.Answer{Kind: call.Failed}), ShouldEqual, policy.ConnectionLost)
	})
}
