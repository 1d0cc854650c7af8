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

func TestVerifierGoesByTheNewestConfiguration(t *testing.T) {
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
		s.knownVersions.applied(next.Version())
		return s.newVerifier()
	}
	passes := func(v *verifier, line, fields string) bool { return v.check(parseHead(line, fields)) == nil }
	const tenantField = "X-Caperarch-Tenant-Id: bozi300\r\n"
	Convey("What an older configuration has admitted passes where this one allows it", t, func() {
		for _, c := range []struct {
			service, line, fields string
			passes                bool
		}{
			{"huvo11a", idempotentLine, "X-Mesh-Config: 6\r\n" + tenantField, true},
			{"kafi81c", idempotentLine, "X-Mesh-Config: 6\r\n" + tenantField, true}, // a route with two services
			{"kafi81c", openLine, "X-Mesh-Config: 6\r\n", true},                     // public
			{"huvo11a", openLine, "X-Mesh-Config: 6\r\n", false},                    // another service's route
			{"huvo11a", "GET /gone/ HTTP/1.1\r\nHost: jepu9.example", "X-Mesh-Config: 6\r\n" + tenantField, false},
			{"huvo11a", idempotentLine, "X-Mesh-Config: 6\r\nX-Caperarch-Tenant-Id: dropped\r\n", false},
			{"huvo11a", idempotentLine, "X-Mesh-Config: 6\r\n", false}, // it needs a tenant now
			{"huvo11a", openLine, "X-Mesh-Config: 7\r\n", true},        // admitted by this version
			{"huvo11a", openLine, "X-Mesh-Config: 9\r\n", true},        // by a newer one
			{"huvo11a", openLine, "", true},                            // a sidecar of an earlier release
			{"huvo11a", openLine, "X-Mesh-Config: old\r\n", true},
		} {
			SoMsg(fmt.Sprint(c), passes(newVerifier(c.service), c.line, c.fields), ShouldEqual, c.passes)
		}
	})
	Convey("The key that a caller names by its digest has to be the tenant's still", t, func() {
		v := newVerifier("huvo11a")
		for key, want := range map[string]bool{"89anu6ws": true, "kcuyj8pj": false, "dropped": false} {
			digest := "X-Mesh-Key-Digest: " + string(config.DigestKey(key)) + "\r\n"
			So(passes(v, idempotentLine, "X-Mesh-Config: 6\r\n"+digest+tenantField), ShouldEqual, want)
		}
	})
	Convey("What no version here shows to be allowed passes for a while after a newer one was heard of", t, func() {
		v := newVerifier("huvo11a")
		attempt := "X-Mesh-Config: 7\r\n" + tenantField
		So(passes(v, idempotentLine, "X-Mesh-Config: 9\r\n"+tenantField), ShouldBeTrue)
		v.clock.Advance(time.Second)
		So(passes(v, idempotentLine, attempt), ShouldBeTrue)
		v.clock.Advance(time.Second)
		So(passes(v, idempotentLine, attempt), ShouldBeFalse)
		So(passes(v, idempotentLine, "X-Mesh-Config: 9\r\n"+tenantField), ShouldBeTrue)
		v.known.applied(9)
		So(passes(v, idempotentLine, attempt), ShouldBeTrue)
	})
	Convey("A version that no majority has committed is not believed once a core machine has confirmed the one in force", t, func() {
		v := newVerifier("huvo11a")
		attempt := "X-Mesh-Config: 7\r\n" + tenantField
		So(passes(v, idempotentLine, "X-Mesh-Config: 999\r\n"+tenantField), ShouldBeTrue)
		v.clock.Advance(2 * time.Second)
		v.contactAge = func() (time.Duration, bool) { return 3 * time.Second, true } // before it was heard of
		So(passes(v, idempotentLine, attempt), ShouldBeFalse)
		v.contactAge = func() (time.Duration, bool) { return time.Second, true }
		So(passes(v, idempotentLine, attempt), ShouldBeTrue)
		So(v.known.newest(), ShouldEqual, 7)
	})
}

func TestKnownVersions(t *testing.T) {
	Convey("A version is outdated since the first newer one was heard of, until that is in force", t, func() {
		var known knownVersions
		known.applied(5)
		known.observe(time.Second, 5)
		So(known.outdatedFor(time.Minute, 5), ShouldEqual, 0)
		known.observe(2*time.Second, 7)
		known.observe(4*time.Second, 9)
		known.observe(5*time.Second, 6) // heard of late
		So(known.newest(), ShouldEqual, 9)
		So(known.outdatedFor(6*time.Second, 5), ShouldEqual, 4*time.Second)
		So(known.outdatedFor(6*time.Second, 7), ShouldEqual, 2*time.Second)
		So(known.outdatedFor(6*time.Second, 9), ShouldEqual, 0)
		known.applied(8)
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

func TestUnknownRouteOfAnOutdatedConfigurationMayExist(t *testing.T) {
	Convey("A sidecar that knows of a newer version answers 503 where its own has no route or key", t, func() {
		o, d := newOutbound(tenantConfig)
		status := func(line, fields string) int {
			_, _, rejection := d.ParseRequest(parseHead(line, attemptIDField+fields))
			return rejection.Status
		}
		const unknownLine = "GET /none/ HTTP/1.1\r\nHost: none.example"
		So(status(unknownLine, apiKeyField), ShouldEqual, 404)
		So(status(idempotentLine, "X-Api-Key: unknown\r\n"), ShouldEqual, 401)
		o.known.observe(o.clock.Now(), 8)
		So(status(unknownLine, apiKeyField), ShouldEqual, 503)
		So(status(idempotentLine, "X-Api-Key: unknown\r\n"), ShouldEqual, 503)
	})
}

func TestKeyDigestTravelsOnlyWhileOutdated(t *testing.T) {
	Convey("Gates are told the digest of a key, never the key, and only where their configuration may differ", t, func() {
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
		o.known.observe(o.clock.Now(), 8)
		So(sent(), ShouldEqual, "7 "+string(config.DigestKey("89anu6ws")))
	})
}
