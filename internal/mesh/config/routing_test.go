package config

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestMatchFindsTheLongestPrefix(t *testing.T) {
	Convey("Match returns the route that a scan over all routes finds", t, func() {
		path := rapid.StringMatching(`/([ab]{0,2}/){0,5}[ab]?`)
		rapid.Check(t, func(t *rapid.T) {
			prefixes := rapid.SliceOfNDistinct(path, 0, 20, rapid.ID).Draw(t, "prefixes")
			var resources []*resource
			for _, p := range prefixes {
				resources = append(resources, &resource{
					kind: kindRoutes, name: p, parsed: &Route{Name: p, Host: "h", Prefix: p},
				})
			}
			table, err := newRoutingTable(resources)
			if err != nil {
				t.Fatal(err)
			}
			requested, want := path.Draw(t, "asked"), ""
			for _, p := range prefixes {
				if strings.HasPrefix(requested, p) && len(p) > len(want) {
					want = p
				}
			}
			got := (&Snapshot{table: table}).Match("H:1", requested)
			if (got == nil) != (want == "") || got != nil && got.Prefix != want {
				t.Fatalf("path %q: want the route with prefix %q, Match returns %+v", requested, want, got)
			}
		})
	})
	Convey("Match does not allocate in a table of 10,000 routes", t, func() {
		snapshot := largeSnapshot(t)
		So(snapshot.Match("H7.example:80", "/p/199/x").Name, ShouldEqual, "r-7-199")
		So(testing.AllocsPerRun(100, func() { snapshot.Match("H7.example:80", "/p/199/x") }), ShouldEqual, 0)
	})
}

// largeSnapshot returns a snapshot of 50 hosts with 200 routes each.
func largeSnapshot(t testing.TB) *Snapshot {
	t.Helper()
	change, err := ParseReplace(largeBody())
	if err != nil {
		t.Fatal(err)
	}
	snapshot, _, err := Empty().Apply(change)
	if err != nil {
		t.Fatal(err)
	}
	return snapshot
}

// largeBody returns the body of the replace request for largeSnapshot.
func largeBody() []byte {
	body := []byte(`{"configVersion":1,"resources":[` +
		`{"resourceType":"services","metadata":{"name":"s"},"specification":{}}`)
	for host := range 50 {
		for prefix := range 200 {
			body = fmt.Appendf(body, `,{"resourceType":"routes","metadata":{"name":"r-%d-%d"},`+
				`"specification":{"hostname":"h%d.example","pathPrefix":"/p/%d/",`+
				`"routeType":"idempotent","timeoutS":1.2,"targetLatencyS":0.3,"priority":1,`+
				`"weightedTargets":[{"serviceName":"s","weight":90}],"maxAttempts":2,"public":false}}`,
				host, prefix, host, prefix)
		}
	}
	return append(body, "]}"...)
}

func BenchmarkParse(b *testing.B) {
	body := largeBody()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := ParseReplace(body); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkMatch(b *testing.B) {
	snapshot := largeSnapshot(b)
	for b.Loop() {
		snapshot.Match("h7.example", "/p/199/x")
	}
}
