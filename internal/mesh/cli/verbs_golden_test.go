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

// The files and directories of these tests.
const (
	configurationFile  = "testdata/configuration.yaml"
	unchangedFile      = "testdata/same.yaml" // equal to the configuration in force, describedFile
	faultyFile         = "testdata/faulty.yaml"
	settingsFile       = "testdata/settings.yaml"
	badYAMLFile        = "testdata/neither.yaml"
	unknownFieldFile   = "testdata/unknown_field.json"
	missingFile        = "testdata/none.yaml"
	addressPlaceholder = "ADDRESS"
	goldenDirectory    = "testdata/golden"
	describedFile      = "testdata/described.json" // the configuration in force
)

// coreStub is an HTTP handler that responds like a core machine with a fixed state. It responds to a change with
// changeStatus and changeBody.
type coreStub struct {
	described    string // the response body of the describe path
	changeStatus int
	changeKind   string // the X-Mesh-Fault header of a rejection, empty if the header is not sent
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

// checkGolden compares the result of runVerb with a file in testdata/golden. Existing golden files must not be
// rewritten, because operators' scripts depend on the output in them.
func checkGolden(t *testing.T, name, got string) {
	t.Helper()
	want, err := os.ReadFile(filepath.Join(goldenDirectory, name+".txt"))
	if err != nil {
		t.Fatalf("%v; a new test case needs a golden file with this content:\n%s", err, got)
	}
	if got != string(want) {
		t.Errorf("exit code or output of the verb differs from the golden file\n got %s\nwant %s", got, want)
	}
}

// runVerb runs a verb and returns its exit code, standard output and standard error in the format of the golden
// files. It replaces the address of the core machine with addressPlaceholder, because the address differs between
// runs.
func runVerb(address, stdin string, args []string) string {
	var out, errs bytes.Buffer
	code := Run(context.Background(), args, strings.NewReader(stdin), &out, &errs, func(name string) string {
		return map[string]string{AddressesVariable: address}[name]
	})
	text := fmt.Sprintf("exit code %d\n--- standard output\n%s--- standard error\n%s", code, &out, &errs)
	if address == "" {
		return text
	}
	return strings.ReplaceAll(text, address, addressPlaceholder)
}

// Operators' scripts depend on the exit codes and on the output, so neither may change.
func TestVerbsAgainstGoldenFiles(t *testing.T) {
	described, err := os.ReadFile(describedFile)
	if err != nil {
		t.Fatal(err)
	}
	inForce := coreStub{described: string(described), changeStatus: http.StatusOK, changeBody: `{"configVersion":5}`}
	empty := inForce
	empty.described = `{"configVersion":0,"baseVersion":0,"resources":[]}`
	rejecting := func(status int, kind string) coreStub {
		return coreStub{string(described), status, kind, `{"errorMessage":"the core's <own> words","kind":"` + kind + `"}`}
	}
	for _, testCase := range []struct {
		name string
		core coreStub
		args string
	}{
		{"apply", inForce, "apply " + configurationFile},
		{"apply_json", inForce, "apply --output json " + configurationFile},
		{"apply_base", inForce, "apply --base 4 " + configurationFile},
		{"apply_same", inForce, "apply " + unchangedFile},
		{"apply_same_json", inForce, "apply " + unchangedFile + " --output=json"},
		{"apply_stdin", empty, "apply -"},
		{"apply_stale", rejecting(http.StatusPreconditionFailed, "Stale"), "apply --base 2 " + configurationFile},
		{"apply_stale_json", rejecting(http.StatusPreconditionFailed, "Stale"),
			"apply --base 2 --output json " + configurationFile},
		{"apply_invalid", rejecting(http.StatusBadRequest, "Invalid"), "apply " + configurationFile},
		{"apply_malformed", rejecting(http.StatusBadRequest, "Unreadable"), "apply " + configurationFile},
		{"apply_too_large", rejecting(http.StatusRequestEntityTooLarge, "TooLarge"), "apply " + configurationFile},
		{"apply_not_found", rejecting(http.StatusNotFound, "Unknown"), "apply " + configurationFile},
		{"apply_rejected", rejecting(http.StatusForbidden, ""), "apply " + configurationFile},
		{"apply_undetermined", rejecting(http.StatusServiceUnavailable, "NoQuorum"),
			"apply --timeout 500ms " + configurationFile},
		{"diff", inForce, "diff " + configurationFile},
		{"diff_json", inForce, "diff " + configurationFile + " --output json"},
		{"diff_same_json", inForce, "diff " + unchangedFile + " --output json"},
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
		{"check", inForce, "check " + configurationFile},
		{"check_json", inForce, "check --output json " + configurationFile},
		{"check_faulty", inForce, "check " + faultyFile},
		{"check_faulty_json", inForce, "check --output json " + faultyFile},
		{"check_settings_json", inForce, "check --output json " + settingsFile},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			core := httptest.NewServer(testCase.core)
			defer core.Close()
			stdin, err := os.ReadFile(configurationFile)
			if err != nil {
				t.Fatal(err)
			}
			checkGolden(t, testCase.name, runVerb(core.Listener.Addr().String(), string(stdin), strings.Fields(testCase.args)))
		})
	}
}

// An invalid command line or input file is reported without a call to the mesh.
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
		"usage_no_file":             {"diff", "--at", "a:1", missingFile},
		"usage_unknown_field":       {"apply", "--at", "a:1", unknownFieldFile},
		"usage_bad_yaml":            {"check", badYAMLFile},
	} {
		t.Run(name, func(t *testing.T) { checkGolden(t, name, runVerb("", "", args)) })
	}
}

// If all addresses refuse connections, the verb exits with ExitUndetermined after its timeout.
func TestUnreachable(t *testing.T) {
	address := refusingAddress(t)
	checkGolden(t, "view_unreachable", runVerb(address, "", []string{"view", "--timeout", "500ms"}))
	checkGolden(t, "apply_unreachable", runVerb(address, "", []string{"apply", "--timeout", "500ms", configurationFile}))
}
