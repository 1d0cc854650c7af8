package sidecar

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperarch/internal/mesh/config"
	"caperarch/internal/mesh/headers"
	"caperarch/internal/mesh/settings"
	"caperarch/internal/mesh/watch"
	"caperarch/internal/proxy/clock"
)

func TestVerifierUsesTheNewestConfiguration(t *testing.T) {
	newVerifier := func(service string) *verifier {
		s := &Sidecar{
			settings: new(settings.Settings), clock: clock.NewAdjustable(),
			watchClient: watch.NewClient(watch.ClientConfig{}),
		}
		s.settings.Self.ServiceName = service
		s.settings.Guarantees.Bounds.ConfigApply = 3 * time.Second
		change, err := config.ParseReplace([]byte(tenantConfig))
		So(err, ShouldBeNil)
		next, _, err := config.Empty().Apply(change)
		So(err, ShouldBeNil)
		s.config.Store(next)
		s.knownVersions.recordApplied(next.Version())
		return s.newVerifier()
	}
	passes := func(v *verifier, line, fields string) bool { return v.check(parseHead(line, fields)) == nil }
	const tenantField = "X-Caperarch-Tenant-Id: bozi300\r\n"
	Convey("An attempt admitted by an older configuration passes if the current one allows it", t, func() {
		for _, c := range []struct {
			service, line, fields string
			passes                bool
		}{
			{"huvo11a", idempotentLine, "X-Mesh-Config: 6\r\n" + tenantField, true},
			{"kafi81c", idempotentLine, "X-Mesh-Config: 6\r\n" + tenantField, true}, // a route with two services
			{"kafi81c", publicRouteLine, "X-Mesh-Config: 6\r\n", true},              // a public route
			{"huvo11a", publicRouteLine, "X-Mesh-Config: 6\r\n", false},             // the route's service is another one
			{"huvo11a", "GET /gone/ HTTP/1.1\r\nHost: jepu9.example", "X-Mesh-Config: 6\r\n" + tenantField, false},
			{"huvo11a", idempotentLine, "X-Mesh-Config: 6\r\nX-Caperarch-Tenant-Id: dropped\r\n", false},
			{"huvo11a", idempotentLine, "X-Mesh-Config: 6\r\n", false}, // the current configuration requires a tenant
			{"huvo11a", publicRouteLine, "X-Mesh-Config: 7\r\n", true}, // admitted by the same version
			{"huvo11a", publicRouteLine, "X-Mesh-Config: 9\r\n", true}, // admitted by a newer version
			{"huvo11a", publicRouteLine, "", true},                     // the caller's sidecar runs an earlier release
			{"huvo11a", publicRouteLine, "X-Mesh-Config: old\r\n", true},
		} {
			SoMsg(fmt.Sprint(c), passes(newVerifier(c.service), c.line, c.fields), ShouldEqual, c.passes)
		}
	})
	Convey("A key digest in an attempt must belong to the attempt's tenant", t, func() {
		v := newVerifier("huvo11a")
		for key, want := range map[string]bool{"89anu6ws": true, "kcuyj8pj": false, "dropped": false} {
			digest := "X-Mesh-Key-Digest: " + string(config.DigestKey(key)) + "\r\n"
			So(passes(v, idempotentLine, "X-Mesh-Config: 6\r\n"+digest+tenantField), ShouldEqual, want)
		}
	})
	Convey("Attempts pass for a limited time once a version newer than theirs and this sidecar's is known", t, func() {
		v := newVerifier("huvo11a")
		attempt := "X-Mesh-Config: 7\r\n" + tenantField
		So(passes(v, idempotentLine, "X-Mesh-Config: 9\r\n"+tenantField), ShouldBeTrue)
		v.clock.Advance(time.Second)
		So(passes(v, idempotentLine, attempt), ShouldBeTrue)
		v.clock.Advance(time.Second)
		So(passes(v, idempotentLine, attempt), ShouldBeFalse)
		So(passes(v, idempotentLine, "X-Mesh-Config: 9\r\n"+tenantField), ShouldBeTrue)
		v.versions.recordApplied(9)
		So(passes(v, idempotentLine, attempt), ShouldBeTrue)
	})
	Convey("A confirmation by a core machine refutes an observed version that was never committed", t, func() {
		v := newVerifier("huvo11a")
		attempt := "X-Mesh-Config: 7\r\n" + tenantField
		So(passes(v, idempotentLine, "X-Mesh-Config: 999\r\n"+tenantField), ShouldBeTrue)
		v.clock.Advance(2 * time.Second)
		v.contactAge = func() (time.Duration, bool) { return 3 * time.Second, true } // before the observation
		So(passes(v, idempotentLine, attempt), ShouldBeFalse)
		v.contactAge = func() (time.Duration, bool) { return time.Second, true }
		So(passes(v, idempotentLine, attempt), ShouldBeTrue)
		So(v.versions.newest(), ShouldEqual, 7)
	})
}

func TestKnownVersions(t *testing.T) {
	Convey("A version is outdated from the observation of the first newer version until that is applied", t, func() {
		var known knownVersions
		known.recordApplied(5)
		known.observe(time.Second, 5)
		So(known.outdatedFor(time.Minute, 5), ShouldEqual, 0)
		known.observe(2*time.Second, 7)
		known.observe(4*time.Second, 9)
		known.observe(5*time.Second, 6) // observed after a newer version
		So(known.newest(), ShouldEqual, 9)
		So(known.outdatedFor(6*time.Second, 5), ShouldEqual, 4*time.Second)
		So(known.outdatedFor(6*time.Second, 7), ShouldEqual, 2*time.Second)
		So(known.outdatedFor(6*time.Second, 9), ShouldEqual, 0)
		known.recordApplied(8)
		So(known.outdatedFor(6*time.Second, 8), ShouldEqual, 2*time.Second)
		for version := range int64(1000) {
			known.observe(7*time.Second, 10+version)
		}
		So(known.newest(), ShouldEqual, 1009)
		So(known.outdatedFor(8*time.Second, 8), ShouldEqual, 4*time.Second)
		So(len(known.versions), ShouldEqual, maxKnownVersions)
		var none *knownVersions
		none.observe(0, 3)
		So([]int64{none.newest(), int64(none.outdatedFor(0, 1))}, ShouldResemble, []int64{0, 0})
	})
}

func TestOutdatedSidecarAnswers503ForUnknownRoute(t *testing.T) {
	Convey("A sidecar that knows of a newer version answers 503 if its own has no matching route or key", t, func() {
		o, d := newOutbound(tenantConfig)
		status := func(line, fields string) int {
			_, _, rejection := d.ParseRequest(parseHead(line, attemptIDField+fields))
			return rejection.Status
		}
		const unknownLine = "GET /none/ HTTP/1.1\r\nHost: none.example"
		So(status(unknownLine, apiKeyField), ShouldEqual, 404)
		So(status(idempotentLine, "X-Api-Key: unknown\r\n"), ShouldEqual, 401)
		o.versions.observe(o.clock.Now(), 8)
		So(status(unknownLine, apiKeyField), ShouldEqual, 503)
		So(status(idempotentLine, "X-Api-Key: unknown\r\n"), ShouldEqual, 503)
	})
}

func TestKeyDigestIsSentOnlyWhileOutdated(t *testing.T) {
	Convey("Gates receive a key's digest, never the key, and only if their configuration may be newer", t, func() {
		o, d := newOutbound(tenantConfig)
		sent := func() string {
			h := parseHead(idempotentLine, attemptIDField+apiKeyField)
			q, _, rejection := d.ParseRequest(h)
			So(rejection, ShouldBeNil)
			fields := h.EndToEnd()
			d.RewriteHeaders(&q, fields)
			So(fields[headers.APIKey], ShouldBeNil)
			return fields.Get("X-Mesh-Config") + " " + fields.Get("X-Mesh-Key-Digest")
		}
		So(sent(), ShouldEqual, "7 ")
		o.versions.observe(o.clock.Now(), 8)
		So(sent(), ShouldEqual, "7 "+string(config.DigestKey("89anu6ws")))
	})
}
