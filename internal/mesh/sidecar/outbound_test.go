package sidecar

import (
	"net/http"
	"testing"
	"time"

	"caperarch/internal/mesh/balancer"
	"caperarch/internal/mesh/config"
	"caperarch/internal/mesh/headers"
	"caperarch/internal/mesh/settings"
	"caperarch/internal/mesh/watch"
	"caperarch/internal/proxy/clock"
	"caperarch/internal/proxy/front/http1"
	"caperarch/internal/proxy/h1"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
)

// tenantConfig is a configuration with tenants, weighted services and public routes.
const tenantConfig = `{"configVersion":7,"resources":[
	{"resourceType":"routes","metadata":{"name":"r1"},"specification":{
		"hostname":"jepu9.example","pathPrefix":"/lepu270/","routeType":"idempotent","timeoutS":1,
		"targetLatencyS":0.25,"priority":2,"maxAttempts":2,"weightedTargets":[
			{"serviceName":"huvo11a","weight":90},{"serviceName":"kafi81c","weight":10}]}},
	{"resourceType":"routes","metadata":{"name":"r2"},"specification":{
		"hostname":"hulo84.example","pathPrefix":"/xapu221/","routeType":"non_idempotent","timeoutS":1.2,
		"targetLatencyS":0.3,"priority":1,"serviceName":"kafi81c","maxAttempts":2}},
	{"resourceType":"routes","metadata":{"name":"short"},"specification":{
		"hostname":"hulo84.example","pathPrefix":"/short/","routeType":"idempotent","timeoutS":0.2,
		"targetLatencyS":0.1,"priority":3,"serviceName":"kafi81c"}},
	{"resourceType":"routes","metadata":{"name":"open"},"specification":{
		"hostname":"hulo84.example","pathPrefix":"/open/","routeType":"idempotent","timeoutS":1,
		"targetLatencyS":0.25,"priority":3,"serviceName":"kafi81c","public":true}},
	{"resourceType":"routes","metadata":{"name":"check"},"specification":{
		"hostname":"hulo84.example","pathPrefix":"/check/","routeType":"idempotent","timeoutS":0.2,
		"targetLatencyS":0.1,"priority":3,"serviceName":"kafi81c","public":true}},
	{"resourceType":"routes","metadata":{"name":"once"},"specification":{
		"hostname":"hulo84.example","pathPrefix":"/once/","routeType":"non_idempotent","timeoutS":0.2,
		"targetLatencyS":0.1,"priority":3,"serviceName":"kafi81c","public":true}},
	{"resourceType":"services","metadata":{"name":"huvo11a"},"specification":{}},
	{"resourceType":"services","metadata":{"name":"kafi81c"},"specification":{}},
	{"resourceType":"tenants","metadata":{"name":"bozi300"},"specification":{
		"apiKeys":["89anu6ws"],"priority":0,"ratePerS":172,"burstLimit":172}},
	{"resourceType":"tenants","metadata":{"name":"lowrate"},"specification":{
		"apiKeys":["kcuyj8pj"],"ratePerS":2,"burstLimit":2}},
	{"resourceType":"limits","metadata":{},"specification":{"maxBodyBytes":100}}]}`

// newOutbound returns the outbound side of a sidecar of service huvo11a. An empty snapshot means no configuration.
func newOutbound(snapshot string) (*outbound, *http1.Dialect) {
	s := &Sidecar{
		settings: new(settings.Settings), clock: clock.NewAdjustable(), log: zap.NewNop(),
		endpoints:   newEndpoints([]string{"hall-a", "hall-b"}, localInbound),
		watchClient: watch.NewClient(watch.ClientConfig{}),
	}
	s.settings.Self.ServiceName = "huvo11a"
	c := config.Empty()
	if snapshot != "" {
		change, err := config.ParseReplace([]byte(snapshot))
		So(err, ShouldBeNil)
		c, _, err = c.Apply(change)
		So(err, ShouldBeNil)
	}
	bounds := settings.Bounds{
		QuotaWindow: 5 * time.Second, QuotaOverage: 0.1, QuotaSlack: 20,
		RetryWindow: 10 * time.Second, RetryBudgetRatio: 0.2,
	}
	var err error
	s.quota, err = newQuotaClient(bounds, quotaConfig{
		clock: s.clock, log: s.log, node: "n", serviceName: s.endpoints.serviceName,
		sidecarCount: func() int { return 1 },
	})
	So(err, ShouldBeNil)
	s.config.Store(c)
	s.quota.configure(c)
	s.clock.Advance(10 * time.Second) // the limiter's floors are full by then
	o := s.newOutbound()
	return o, o.frontDialect()
}

// parseHead parses a request's head. Each line in fields must end in CR and LF.
func parseHead(line, fields string) *h1.Head {
	h := new(h1.Head)
	n, err := new(h1.Parser).Parse([]byte(line+"\r\n"+fields+"\r\n"), h)
	So(err, ShouldBeNil)
	So(n, ShouldBeGreaterThan, 0)
	return h
}

const (
	idempotentLine    = "GET /lepu270/2f HTTP/1.1\r\nHost: jepu9.example"
	nonIdempotentLine = "POST /xapu221/2f HTTP/1.1\r\nHost: hulo84.example"
	publicRouteLine   = "GET /open/ HTTP/1.1\r\nHost: hulo84.example" // route that needs no key
	attemptIDField    = "X-Caperarch-Attempt-Id: 9c41\r\n"
	apiKeyField       = "X-Api-Key: 89anu6ws\r\n" // of tenant bozi300
	lowRateKeyField   = "X-Api-Key: kcuyj8pj\r\n" // of tenant lowrate
)

func TestOutboundAdmission(t *testing.T) {
	Convey("Terms come from the route and the tenant, and forged fields are not forwarded", t, func() {
		_, d := newOutbound(tenantConfig)
		forged := "x-mesh-visit: 0,1,1\r\nX-Mesh-Visit: 0,1,1\r\nX-Caperarch-Tenant-Id: other\r\n" +
			"X-CAPERARCH-TARGET-INSTANCE: i-1\r\nX-Caperarch-Caller-Service: other\r\n" +
			"X-Mesh-Load: 0,0,9\r\nX-Mesh-Verdict: turned\r\nX-Mesh-Config: 8,9\r\nX-Mesh-Key-Digest: 0\r\n"
		sent := "X-Caperarch-Timeout-Remaining: 900\r\nX-Own: 1\r\n"
		h := parseHead(nonIdempotentLine, attemptIDField+apiKeyField+forged+sent)
		q, remaining, rejection := d.ParseRequest(h)
		So(rejection, ShouldBeNil)
		So(remaining, ShouldEqual, 900*time.Millisecond)
		class := *q.Attributes.(*balancer.RequestClass)
		So(class.Compartment.Share, ShouldBeBetween, 0, 0.5)
		class.Compartment.Share = 0
		So(class, ShouldResemble, balancer.RequestClass{
			Compartment: balancer.CompartmentSpec{Name: "tenant bozi300"}, Tenant: "bozi300",
			Priority: 1, MaxAttempts: 2, LatencyTarget: 300 * time.Millisecond, ConfigVersion: 7,
		})
		So(d.CanPipeline(&q), ShouldBeFalse)
		fields := h.EndToEnd()
		d.RewriteHeaders(&q, fields)
		So(fields, ShouldResemble, http.Header{
			headers.AttemptID: {"9c41"}, headers.Timeout: {"900"}, "X-Own": {"1"},
			headers.Tenant: {"bozi300"}, headers.Caller: {"huvo11a"}, "X-Mesh-Visit": {"1,300,0"}, "X-Mesh-Config": {"7"},
		})

		publicLine := "GET /open/ HTTP/1.1\r\nHost: HULO84.example:80" // a public route needs no key
		h = parseHead(publicLine, attemptIDField+forged+"X-Caperarch-Timeout-Remaining: 5000\r\n")
		q, remaining, rejection = d.ParseRequest(h)
		So(rejection, ShouldBeNil)
		So(remaining, ShouldEqual, time.Second)
		fields = h.EndToEnd()
		d.RewriteHeaders(&q, fields)
		So(fields, ShouldResemble, http.Header{
			headers.AttemptID: {"9c41"}, headers.Timeout: {"5000"}, headers.Caller: {"huvo11a"},
			"X-Mesh-Visit": {"4,250,1"}, "X-Mesh-Config": {"7"},
		})
	})
	Convey("A request that can't be admitted is rejected with the status of its reason", t, func() {
		both, timeout := attemptIDField+apiKeyField, "X-Caperarch-Timeout-Remaining: "
		for _, c := range []struct {
			line, fields string
			status       int
		}{
			{idempotentLine, apiKeyField, 400},
			{idempotentLine, "X-Caperarch-Attempt-Id:\r\n" + apiKeyField, 400},
			{idempotentLine, attemptIDField + attemptIDField + apiKeyField, 400},
			{idempotentLine, attemptIDField + apiKeyField + apiKeyField, 400},
			{idempotentLine, both + timeout + "1\r\nx-caperarch-timeout-remaining: 1\r\n", 400},
			{idempotentLine, both + timeout + "soon\r\n", 400},
			{idempotentLine, both + timeout + "-1\r\n", 400},
			{idempotentLine, both + timeout + "0\r\n", 503},
			{idempotentLine, both + timeout + "0.0\r\n", 503},
			{idempotentLine, attemptIDField, 401},
			{idempotentLine, attemptIDField + "X-Api-Key: 89anu6wS\r\n", 401},
			{idempotentLine, attemptIDField + "X-Api-Key:\r\n", 401},
			{"GET /lepu270 HTTP/1.1\r\nHost: jepu9.example", both, 404},
			{"GET /?/lepu270/ HTTP/1.1\r\nHost: jepu9.example", both, 404},
			{"GET /lepu270/ HTTP/1.1\r\nHost: hulo84.example", both, 404},
			{nonIdempotentLine, both + "Content-Length: 101\r\n", 413},
			{"GET /lepu270/2f HTTP/1.0\r\nHost: jepu9.example", both, 505},
		} {
			_, d := newOutbound(tenantConfig)
			h := parseHead(c.line, c.fields)
			_, _, rejection := d.ParseRequest(h)
			So(rejection, ShouldNotBeNil)
			got, want := []any{c.line, c.fields, rejection.Status}, []any{c.line, c.fields, c.status}
			So(got, ShouldResemble, want)
			So(rejection.RetryAfter, ShouldEqual, 0)
			So(d.ProxyHeaders(h, nil)[headers.AttemptID], ShouldNotResemble, []string{""})
		}
		_, d := newOutbound("")
		_, _, rejection := d.ParseRequest(parseHead(idempotentLine, both))
		So(rejection.Status, ShouldEqual, http.StatusServiceUnavailable)
		So(rejection.RetryAfter, ShouldBeGreaterThan, 0)
	})
	Convey("Under an outdated configuration, requests that it does not allow get a 503, and others are served", t, func() {
		o, d := newOutbound(tenantConfig)
		age, confirmed := time.Duration(0), true
		o.contactAge = func() (time.Duration, bool) { return age, confirmed }
		o.maxConfigAge = 3 * time.Second
		noRoute, noKey := "GET /lepu270 HTTP/1.1\r\nHost: jepu9.example", attemptIDField+"X-Api-Key: 89anu6wS\r\n"
		check := func(want404, want401 int) {
			_, _, rejection := d.ParseRequest(parseHead(noRoute, attemptIDField+apiKeyField))
			So(rejection.Status, ShouldEqual, want404)
			So(rejection.RetryAfter > 0, ShouldEqual, want404 == 503)
			_, _, rejection = d.ParseRequest(parseHead(idempotentLine, noKey))
			So(rejection.Status, ShouldEqual, want401)
			So(rejection.KeepAlive, ShouldBeTrue)
			_, _, rejection = d.ParseRequest(parseHead(idempotentLine, attemptIDField+apiKeyField))
			So(rejection, ShouldBeNil)
		}
		age = 3 * time.Second
		check(404, 401)
		age++
		check(503, 503)
		age, confirmed = 0, false
		check(503, 503)
		o.maxConfigAge = 0 // the settings have no configApplyS bound
		check(404, 401)
	})
	Convey("Only a tenant over its quota is rejected, with a Retry-After", t, func() {
		o, d := newOutbound(tenantConfig)
		admit := func(line, key string) *http1.Rejection {
			_, _, rejection := d.ParseRequest(parseHead(line, attemptIDField+key))
			return rejection
		}
		n := 0
		for ; n < 20 && admit(idempotentLine, lowRateKeyField) == nil; n++ {
		}
		So(n, ShouldBeBetweenOrEqual, 1, 12) // its burst, a tenth of the rate in a window, and half the slack
		rejection := admit(idempotentLine, lowRateKeyField)
		So(rejection.Status, ShouldEqual, http.StatusTooManyRequests)
		So(rejection.KeepAlive, ShouldBeTrue)
		So(rejection.RetryAfter, ShouldBeBetween, 0, 10*time.Second)
		So(admit(idempotentLine, apiKeyField), ShouldBeNil)
		So(admit(publicRouteLine, lowRateKeyField), ShouldBeNil)
		o.quota.clock.Advance(time.Hour)
		So(admit(idempotentLine, lowRateKeyField), ShouldBeNil)
	})
	Convey("Clients have the current limits, and a gate admits heads that any sidecar has admitted", t, func() {
		o, _ := newOutbound("")
		So(o.clientLimits(), ShouldResemble, http1.RequestLimits{
			HeadBytes: 16 << 10, BodyBytes: 64 << 20, HeadTime: 3 * time.Second, IdleTime: 15 * time.Second,
		})
		change, err := config.ParseReplace([]byte(`{"configVersion":9,"resources":[
			{"resourceType":"limits","metadata":{},"specification":{
				"maxHeaderBytes":32768,"maxBodyBytes":9,"headerTimeoutS":4.5,"idleTimeoutS":0.5}}]}`))
		So(err, ShouldBeNil)
		next, _, err := o.config.Load().Apply(change)
		So(err, ShouldBeNil)
		o.config.Store(next)
		So(o.clientLimits(), ShouldResemble, http1.RequestLimits{
			HeadBytes: 32 << 10, BodyBytes: 9,
			HeadTime: 4500 * time.Millisecond, IdleTime: 500 * time.Millisecond,
		})
		So(inboundLimits(), ShouldResemble, http1.RequestLimits{HeadBytes: maxInboundHeadBytes})
		So(inboundLimits().HeadBytes, ShouldBeGreaterThan, o.clientLimits().HeadBytes)
	})
	Convey("Services are selected by weight", t, func() {
		o, _ := newOutbound(tenantConfig)
		lightPicks := 0 // the service with weight 10 of 100
		for range 4000 {
			if pickService(o.config.Load().Match("jepu9.example", "/lepu270/")) == "kafi81c" {
				lightPicks++
			}
		}
		So(lightPicks, ShouldBeBetween, 280, 520)
	})
}
