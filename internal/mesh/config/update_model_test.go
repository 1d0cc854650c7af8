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

// drawResource draws a resource. The names of services are services<&0 to services<&3. The names contain characters
// that encoding/json escapes.
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

// modelID returns the id of a resource in the model, as kind/name.
func modelID(resource any) string {
	r := resource.(map[string]any)
	name, _ := r["metadata"].(map[string]any)["name"].(string)
	return r["resourceType"].(string) + "/" + name
}

// modelUpdate is a drawn update that is based on the version base.
type modelUpdate struct {
	version, base int64
	upserts       []map[string]any
	removedRoutes []string
}

// drawUpdate draws an update with the given versions.
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

// change parses the body of the update as a client writes it, without HTML escapes.
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

// applyTo applies the update to a list of resources the way a client expects.
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

// received returns a change as another process decodes it.
func received(t *rapid.T, change *Change) *Change {
	t.Helper()
	message, _ := json.Marshal(json.RawMessage(change.Encode()))
	decoded, err := DecodeChange(message)
	if err != nil {
		t.Fatal(err)
	}
	return decoded
}

// checkDocument fails the test unless the snapshot's document has the update's versions and the model's resources.
func checkDocument(t *rapid.T, s *Snapshot, update modelUpdate, resources []any) {
	t.Helper()
	var document struct {
		ConfigVersion, BaseVersion int64
		Resources                  []any
	}
	err := json.Unmarshal(s.Document(), &document)
	if err != nil || document.ConfigVersion != update.version || document.BaseVersion != update.base {
		t.Fatal("the document has other versions than the update:", err, string(s.Document()))
	}
	want, _ := json.Marshal(resources)
	got, _ := json.Marshal(document.Resources)
	if len(resources)+len(document.Resources) > 0 && string(want) != string(got) {
		t.Fatalf("want %s\ngot %s", want, got)
	}
}

// checkPointers fails the test unless unchanged resources keep their pointers.
func checkPointers(t *rapid.T, before, after *Snapshot) {
	t.Helper()
	for _, old := range before.resources {
		position := slices.IndexFunc(after.resources, func(r *resource) bool { return r.id() == old.id() })
		if position < 0 {
			continue
		}
		if kept := after.resources[position]; string(kept.raw) == string(old.raw) && kept != old {
			t.Fatal("an unchanged resource has another pointer")
		}
	}
}

// checkStored fails the test unless encoding and decoding the snapshot returns an equal snapshot.
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
		t.Fatal("the decoded snapshot differs from the encoded one")
	}
}

func TestUpdatesAgainstModel(t *testing.T) {
	Convey("Updates change the document the way a client expects, and every replica has the same snapshot", t, func() {
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
					t.Fatal("the replica's snapshot or error kind differs from the first one")
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
