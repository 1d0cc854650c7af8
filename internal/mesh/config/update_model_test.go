package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"caperarch/internal/mesh/errs"
)

// drawResource draws a resource. Services are services<&0 to services<&3; their names and the
// tenants' hold characters that encoding/json escapes.
func drawResource(t *rapid.T) map[string]any {
	kind := rapid.SampledFrom([]string{"routes", "routes", "services", "tenants", "limits"}).Draw(t, "kind")
	n := rapid.IntRange(0, 3).Draw(t, "n")
	metadata := map[string]any{"name": fmt.Sprintf("%s<&%d", kind, n)}
	unknown := rapid.SampledFrom([]any{nil, 1.5, "<é&>"}).Draw(t, "unknown")
	specification := map[string]any{"unknown": unknown}
	switch kind {
	case "routes":
		specification["hostname"] = "h"
		specification["pathPrefix"] = fmt.Sprintf("/%d/", n)
		specification["routeType"] = "idempotent"
		specification["timeoutS"] = 1.0
		target := rapid.IntRange(0, 3).Draw(t, "target")
		specification["serviceName"] = fmt.Sprintf("services<&%d", target)
	case "tenants":
		specification["apiKeys"] = []any{fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key"))}
	case "limits":
		metadata = map[string]any{}
	}
	return map[string]any{
		"resourceType": kind, "metadata": metadata, "specification": specification, "beside": true,
	}
}

// modelID identifies a resource of the model as kind/name.
func modelID(resource any) string {
	r := resource.(map[string]any)
	name, _ := r["metadata"].(map[string]any)["name"].(string)
	return r["resourceType"].(string) + "/" + name
}

// modelUpdate is a drawn update on top of a version.
type modelUpdate struct {
	version, base int64
	upserts       []map[string]any
	removedRoutes []string
}

func drawUpdate(t *rapid.T, version, base int64) modelUpdate {
	return modelUpdate{
		version: version,
		base:    base,
		upserts: rapid.SliceOfNDistinct(rapid.Custom(drawResource), 0, 5,
			func(r map[string]any) string { return modelID(r) }).Draw(t, "upserts"),
		removedRoutes: rapid.SliceOfN(
			rapid.SampledFrom([]string{"routes<&0", "routes<&1", "routes<&9"}), 0, 2).Draw(t, "removed"),
	}
}

// change parses the update as a client would write it, without escapes for HTML.
func (u modelUpdate) change(t *rapid.T) *Change {
	t.Helper()
	body, _ := json.Marshal(map[string]any{
		"configVersion": u.version,
		"baseVersion":   u.base,
		"upsert":        map[string]any{"resources": u.upserts},
		"remove":        map[string]any{"routes": u.removedRoutes},
	})
	unescaped := strings.NewReplacer(`\u003c`, "<", `\u003e`, ">", `\u0026`, "&").Replace(string(body))
	change, err := ParseUpdate([]byte(unescaped))
	if err != nil {
		t.Fatal(err)
	}
	return change
}

// applyTo does to a list of resources what a client expects of the update.
func (u modelUpdate) applyTo(resources []any) []any {
	for _, upsert := range u.upserts {
		position := slices.IndexFunc(resources, func(r any) bool { return modelID(r) == modelID(upsert) })
		if position >= 0 {
			resources[position] = upsert
		} else {
			resources = append(resources, upsert)
		}
	}
	return slices.DeleteFunc(resources, func(r any) bool {
		return slices.ContainsFunc(u.removedRoutes, func(name string) bool { return modelID(r) == "routes/"+name })
	})
}

// received is a change as another process decodes it.
func received(t *rapid.T, change *Change) *Change {
	t.Helper()
	message, _ := json.Marshal(json.RawMessage(change.Encode()))
	pushed, err := DecodeChange(message)
	if err != nil {
		t.Fatal(err)
	}
	return pushed
}

// checkDocument fails the test unless the snapshot's document holds the model's resources.
func checkDocument(t *rapid.T, s *Snapshot, update modelUpdate, resources []any) {
	t.Helper()
	var document struct {
		ConfigVersion, BaseVersion int64
		Resources                  []any
	}
	err := json.Unmarshal(s.Document(), &document)
	if err != nil || document.ConfigVersion != update.version || document.BaseVersion != update.base {
		t.Fatal("the document's numbers", err, string(s.Document()))
	}
	want, _ := json.Marshal(resources)
	got, _ := json.Marshal(document.Resources)
	if len(resources)+len(document.Resources) > 0 && string(want) != string(got) {
		t.Fatalf("want %s\ngot %s", want, got)
	}
}

// checkPointers fails the test unless resources that did not change are the same ones.
func checkPointers(t *rapid.T, before, after *Snapshot) {
	t.Helper()
	for _, old := range before.resources {
		position := slices.IndexFunc(after.resources, func(r *resource) bool { return r.id() == old.id() })
		if position < 0 {
			continue
		}
		if same := after.resources[position]; string(same.raw) == string(old.raw) && same != old {
			t.Fatal("an unchanged resource lost its pointer")
		}
	}
}

// checkStored fails the test unless the snapshot is decoded as it was encoded.
func checkStored(t *rapid.T, s *Snapshot) {
	t.Helper()
	text, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := Decode(text)
	if err != nil {
		t.Fatal(err)
	}
	if string(decoded.Document()) != string(s.Document()) ||
		!reflect.DeepEqual(decoded.requests, s.requests) || !reflect.DeepEqual(decoded.table, s.table) {
		t.Fatal("the decoded snapshot differs")
	}
}

func TestUpdatesAgainstModel(t *testing.T) {
	Convey("Updates do to the document what a client expects, and every replica agrees", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			current, replica := Empty(), Empty()
			var resources []any
			for version := int64(1); version < 12; version++ {
				update := drawUpdate(t, version, current.Version())
				change := update.change(t)
				next, _, err := current.Apply(change)
				var replicaErr error
				replica, _, replicaErr = replica.Apply(received(t, change))
				if !reflect.DeepEqual(replica, next) || errs.KindOf(err) != errs.KindOf(replicaErr) {
					t.Fatal("the replica differs")
				}
				if err != nil {
					continue
				}
				resources = update.applyTo(resources)
				checkDocument(t, next, update, resources)
				checkPointers(t, current, next)
				checkStored(t, next)
				current = next
			}
		})
	})
}
