package sidecar

import (
	"fmt"
	"slices"
	"testing"

	"caperarch/internal/mesh/balancer"
	"caperarch/internal/mesh/registry"

	. "github.com/smartystreets/goconvey/convey"
)

func TestInternalChecks(t *testing.T) {
	checks := func(snapshot string) (names []string) {
		o, _ := newOutbound(snapshot)
		c := o.config.Load()
		for _, r := range c.Routes() {
			if internalChecks(c)[r] {
				names = append(names, r.Name)
			}
		}
		slices.Sort(names)
		return names
	}
	route := func(name string, timeout, latencyTarget float64) string {
		return fmt.Sprintf(`{"resourceType":"routes","metadata":{"name":"%s"},"specification":{
			"hostname":"a","pathPrefix":"/%s/","routeType":"idempotent","timeoutS":%g,
			"targetLatencyS":%g,"serviceName":"s"}},`, name, name, timeout, latencyTarget)
	}
	// Internal checks must also be idempotent and need no key, as all routes that this function makes are.
	Convey("The timeout of an internal check is within the latency target of each route with a longer one", t, func() {
		start := `{"configVersion":1,"resources":[`
		end := `{"resourceType":"services","metadata":{"name":"s"},"specification":{}}]}`
		four := route("a", 2.5, 0.4) + route("b", 3, 0.5) + route("c", 6, 1) + route("d", 10, 1.5)
		So(checks(start+four+route("v", 0.4, 0.1)+route("w", 0.4, 0.2)+end), ShouldResemble, []string{"v", "w"})
		So(checks(start+route("v", 0.4, 0.1)+four+end), ShouldResemble, []string{"v"})
		So(checks(start+four+end), ShouldBeEmpty)
		So(checks(start+route("v", 0.4, 0.1)+end), ShouldBeEmpty)
		So(checks(start+four+route("v", 0.41, 0.1)+end), ShouldBeEmpty)
		So(checks(tenantConfig), ShouldResemble, []string{"check"})
	})
	Convey("Internal checks have the highest priority and a compartment of their own", t, func() {
		o, d := newOutbound(tenantConfig)
		o.endpoints.recordHeartbeat(registry.Upstream{Instance: "i-1", Service: "huvo11a", Slots: 9})
		classOf := func(line string) *balancer.RequestClass {
			q, _, rejection := d.ParseRequest(parseHead(line, attemptIDField))
			So(rejection, ShouldBeNil)
			return q.Attributes.(*balancer.RequestClass)
		}
		check := classOf("GET /check/ HTTP/1.1\r\nHost: hulo84.example")
		So(check.Priority, ShouldEqual, 0)
		So(check.Compartment.Name, ShouldEqual, "checks of kafi81c")
		So(check.Compartment.MinSlots, ShouldEqual, 27)
		other := classOf(publicRouteLine)
		So(other.Compartment.Name, ShouldEqual, "service kafi81c")
		So(other.Priority, ShouldBeGreaterThan, 0)
	})
}
