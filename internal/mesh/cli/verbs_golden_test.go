package cli

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The files that the verbs read in these tests.
const (
	goldenFile    = "testdata/configuration.yaml"
	sameFile      = "testdata/same.yaml" // what the stand-in describes
	faultyFile    = "testdata/faulty.yaml"
	settingsFile  = "testdata/settings.yaml"
	badYAMLFile   = "testdata/neither.yaml"
	unknownField  = "testdata/unknown_field.json"
	noFile        = "testdata/none.yaml"
	placeholder   = "ADDRESS"
	goldenFolder  = "testdata/golden"
	describedFile = "testdata/described.json"
)

// coreStub answers as a core machine with fixed state. A change is answered with changeStatus and
// changeBody.
type coreStub struct {
	described    string // the answer to describe
	changeStatus int
	changeKind   string // the X-Mesh-Fault of a rejection
	changeBody   string
}

func (s coreStub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(err)
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /api/configuration/describe":
		_, _ = io.WriteString(w, s.described)
	case "POST /api/configuration/replace":
		if s.changeKind != "" {
			w.Header().Set("X-Mesh-Fault", s.changeKind)
		}
		w.WriteHeader(s.changeStatus)
		_, _ = io.WriteString(w, s.changeBody)
	case "GET /api/members", "GET /api/upstreams", "GET /api/view":
		http.ServeFile(w, r, filepath.Join("testdata", filepath.Base(r.URL.Path)+".json"))
	default:
		http.NotFound(w, r)
	}
}

// checkGolden compares with a file of testdata/golden. Golden files are never rewritten: scripts of
// operators know what they hold.
func checkGolden(t *testing.T, name, got string) {
	t.Helper()
	want, err := os.ReadFile(filepath.Join(goldenFolder, name+".txt"))
	if err != nil {
		t.Fatalf("%v; a new case needs a file with\n%s", err, got)
	}
	if got != string(want) {
		t.Errorf("the verb's exit code or output has changed\n got %s\nwant %s", got, want)
	}
}

// runVerb returns a verb's exit code, standard output and standard error as a golden file holds them.
// The address of the stand-in is replaced, as it differs from run to run.
func runVerb(address, stdin string, args []string) string {
	var out, errs bytes.Buffer
	code := Run(context.Background(), args, strings.NewReader(stdin), &out, &errs, func(name string) string {
		return map[string]string{AddressesVariable: address}[name]
	})
	text := fmt.Sprintf("exit code %d\n--- standard output\n%s--- standard error\n%s", code, &out, &errs)
	if address == "" {
		return text
	}
	return strings.ReplaceAll(text, address, placeholder)
}

// Exit codes and what is written are what operators' scripts go by.
func TestVerbsWriteWhatScriptsKnow(t *testing.T) {
	described, err := os.ReadFile(describedFile)
	if err != nil {
		t.Fatal(err)
	}
	inForce := coreStub{described: string(described), changeStatus: http.StatusOK, changeBody: `{"configVersion":5}`}
	empty := inForce
	empty.described = `{"configVersion":0,"baseVersion":0,"resources":[]}`
	rejects := func(status int, kind string) coreStub {
		return coreStub{string(described), status, kind, `{"errorMessage":"the core's <own> words","kind":"` + kind + `"}`}
	}
	for _, x := range []struct {
		name string
		core coreStub
		args string
	}{
		{"apply", inForce, "apply " + goldenFile},
		{"apply_json", inForce, "apply --output json " + goldenFile},
		{"apply_base", inForce, "apply --base 4 " + goldenFile},
		{"apply_same", inForce, "apply " + sameFile},
		{"apply_same_json", inForce, "apply " + sameFile + " --output=json"},
		{"apply_stdin", empty, "apply -"},
		{"apply_stale", rejects(http.StatusPreconditionFailed, "Stale"), "apply --base 2 " + goldenFile},
		{"apply_stale_json", rejects(http.StatusPreconditionFailed, "Stale"), "apply --base 2 --output json " + goldenFile},
		{"apply_invalid", rejects(http.StatusBadRequest, "Invalid"), "apply " + goldenFile},
		{"apply_malformed", rejects(http.StatusBadRequest, "Unreadable"), "apply " + goldenFile},
		{"apply_too_large", rejects(http.StatusRequestEntityTooLarge, "TooLarge"), "apply " + goldenFile},
		{"apply_not_found", rejects(http.StatusNotFound, "Unknown"), "apply " + goldenFile},
		{"apply_rejected", rejects(http.StatusForbidden, ""), "apply " + goldenFile},
		{"apply_undetermined", rejects(http.StatusServiceUnavailable, "NoQuorum"), "apply --timeout 500ms " + goldenFile},
		{"diff", inForce, "diff " + goldenFile},
		{"diff_json", inForce, "diff " + goldenFile + " --output json"},
		{"diff_same_json", inForce, "diff " + sameFile + " --output json"},
		{"describe", inForce, "describe"},
		{"describe_json", inForce, "describe --output json"},
		{"members", inForce, "members"},
		{"members_json", inForce, "members --output json"},
		{"upstreams", inForce, "upstreams"},
		{"upstreams_json", inForce, "upstreams --output json"},
		{"view", inForce, "view"},
		{"view_json", inForce, "view --output json"},
		{"why_tenant", inForce, "why tea.example /cup/1 --key k-1"},
		{"why_tenant_json", inForce, "why tea.example /cup/1 --key k-1 --output json"},
		{"why_tenant_without_quota", inForce, "why tea.example /cup/1 --key k-3"},
		{"why_public_json", inForce, "why tea.example /open/1 --output json"},
		{"why_no_key_json", inForce, "why tea.example /cup/1 --output json"},
		{"why_wrong_key", inForce, "why tea.example /cup/1 --key k"},
		{"why_no_route_json", inForce, "why tea.example /none --output json"},
		{"why_no_configuration_json", empty, "why tea.example /cup/1 --output json"},
		{"check", inForce, "check " + goldenFile},
		{"check_json", inForce, "check --output json " + goldenFile},
		{"check_faulty", inForce, "check " + faultyFile},
		{"check_faulty_json", inForce, "check --output json " + faultyFile},
		{"check_settings_json", inForce, "check --output json " + settingsFile},
	} {
		t.Run(x.name, func(t *testing.T) {
			core := httptest.NewServer(x.core)
			defer core.Close()
			stdin, err := os.ReadFile(goldenFile)
			if err != nil {
				t.Fatal(err)
			}
			checkGolden(t, x.name, runVerb(core.Listener.Addr().String(), string(stdin), strings.Fields(x.args)))
		})
	}
}

// What is used wrongly is answered without a call to the mesh.
func TestUsageErrors(t *testing.T) {
	for name, args := range map[string][]string{
		"usage_no_verb":             nil,
		"usage_unknown_verb":        {"aply"},
		"usage_help":                {"apply", "-h"},
		"usage_no_address":          {"view"},
		"usage_bad_address":         {"view", "--at", "core"},
		"usage_unknown_flag":        {"view", "--base", "3"},
		"usage_bad_base":            {"apply", "-", "--base", "x", "--at", "a:1"},
		"usage_negative_base":       {"apply", "-", "--base", "-1", "--at", "a:1"},
		"usage_bad_output":          {"view", "--output", "xml", "--at", "a:1"},
		"usage_bad_timeout":         {"view", "--timeout", "0s", "--at", "a:1"},
		"usage_arguments":           {"why", "--at", "a:1", "host"},
		"usage_arguments_after_end": {"why", "--at", "a:1", "--", "host", "-path"},
		"usage_no_file":             {"diff", "--at", "a:1", noFile},
		"usage_unknown_field":       {"apply", "--at", "a:1", unknownField},
		"usage_bad_yaml":            {"check", badYAMLFile},
	} {
		t.Run(name, func(t *testing.T) { checkGolden(t, name, runVerb("", "", args)) })
	}
}

// An address at which nothing listens means that nothing was sent: code 3.
func TestUnreachable(t *testing.T) {
	address := refusingAddress(t)
	checkGolden(t, "view_unreachable", runVerb(address, "", []string{"view", "--timeout", "500ms"}))
	checkGolden(t, "apply_unreachable", runVerb(address, "", []string{"apply", "--timeout", "500ms", goldenFile}))
}
