package main

import (
	"os"
	"reflect"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

// Machines are set up by these files: their keys, paths and command lines are known there.
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
		// The lists of sources change as files do; each has to name what is there.
		for _, sources := range []string{"policy", "node"} {
			list, _ := got[sources].([]any)
			for _, source := range list {
				if _, err := os.Stat("../../" + source.(string)); err != nil {
					t.Errorf("%s: %s: %v", path, sources, err)
				}
			}
			delete(got, sources)
		}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("%s holds\n%v, want\n%v", path, got, want)
		}
	}
}
