package main

import (
	"os"
	"reflect"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

// The machines are provisioned from the files in deploy, so the keys, paths and command lines in them must not
// change.
func TestDeployFiles(t *testing.T) {
	type table = map[string]any
	for path, want := range map[string]table{
		"../../deploy/system.toml": {
			"build":    "CGO_ENABLED=1 go build -ldflags=-linkmode=external -o target/ ./cmd/meshd",
			"packages": []any{"binutils", "ca-certificates", "gcc", "libc6-dev"},
			"roles": table{
				"sidecar": table{"run": "target/meshd sidecar", "on": "sidecar", "serves": []any{"sidecar"}},
				"controlplane": table{
					"run": "target/meshd controlplane", "on": "core", "share": 0.34, "serves": []any{"control_plane"},
				},
			},
		},
		"../../deploy/balancer.toml": {
			"build":    "mkdir -p bin && CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/caperarch ./cmd/simhost",
			"run":      "exec bin/caperarch",
			"sim":      "exec bin/simhost",
			"packages": []any{},
		},
	} {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		var got table
		if err := toml.Unmarshal(text, &got); err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		// The lists of source files change with the source tree, so they are not compared. Each listed file must
		// exist.
		for _, listName := range []string{"policy", "node"} {
			list, _ := got[listName].([]any)
			for _, source := range list {
				if _, err := os.Stat("../../" + source.(string)); err != nil {
					t.Errorf("%s: entry of list %s: %v", path, listName, err)
				}
			}
			delete(got, listName)
		}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("%s: content is\n%v, want\n%v", path, got, want)
		}
	}
}
