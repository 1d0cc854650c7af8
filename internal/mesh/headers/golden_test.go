package headers

import (
	"net/http"
	"reflect"
	"testing"
	"time"
)

// Clients, upstreams and sidecars of the previous release use the fields under these names.
func TestFieldNames(t *testing.T) {
	for want, got := range map[string]string{
		"X-Caperarch-Attempt-Id":        AttemptID,
		"X-Caperarch-Timeout-Remaining": Timeout,
		"X-Caperarch-Server-Signature":  Signature,
		"X-Caperarch-Tenant-Id":         Tenant,
		"X-Caperarch-Target-Instance":   Target,
		"X-Caperarch-Caller-Service":    Caller,
		"X-Caperarch-Not-Executed":      NotExecuted,
		"X-Caperarch-Instance-Load":     Load,
		"X-Caperarch-Instance-Id":       Instance,
		"X-Api-Key":                     APIKey,
		"X-Mesh-Send":                   SendIDField,
	} {
		if got != want {
			t.Errorf("the field has the name %q, want %q", got, want)
		}
	}
}

func TestGateResponseFields(t *testing.T) {
	for notExecuted, want := range map[bool]http.Header{
		true: {
			"X-Caperarch-Attempt-Id": {"9c41"}, "X-Mesh-Verdict": {"turned"}, "X-Mesh-Load": {"5,2,9"},
			"X-Caperarch-Not-Executed": {"1"},
		},
		false: {"X-Caperarch-Attempt-Id": {"9c41"}, "X-Mesh-Verdict": {"unknown"}, "X-Mesh-Load": {"5,2,9"}},
	} {
		if got := GateResponseFields("9c41", notExecuted, FormatLoad(5, 2, 9)); !reflect.DeepEqual(got, want) {
			t.Errorf("gate response with not executed %v: got fields %v, want %v", notExecuted, got, want)
		}
	}
	fields := http.Header{"X-Mesh-Verdict": {"turned"}}
	SetGateLoad(fields, FormatLoad(5, 2, 9))
	if want := (http.Header{"X-Mesh-Load": {"5,2,9"}}); !reflect.DeepEqual(fields, want) {
		t.Errorf("forwarded response: got fields %v, want %v", fields, want)
	}
}

func TestAttemptTermsFormat(t *testing.T) {
	for want, terms := range map[string]AttemptTerms{
		"2,1500,1": {Priority: 2, LatencyTarget: 1500 * time.Millisecond, Idempotent: true},
		"0,0,0":    {},
	} {
		fields := http.Header{}
		terms.Set(fields)
		if wantFields := (http.Header{"X-Mesh-Visit": {want}}); !reflect.DeepEqual(fields, wantFields) {
			t.Errorf("%+v is encoded as %v, want %v", terms, fields, wantFields)
		}
		if got, ok := ParseAttemptTerms(requestHead("X-Mesh-Visit", want)); !ok || got != terms {
			t.Errorf("%q is decoded as %+v, %v, want %+v", want, got, ok, terms)
		}
	}
}

func TestSendIDFormat(t *testing.T) {
	id := SendID{Sender: 0xabc123, Number: 12}
	if got := id.String(); got != "abc123.12" {
		t.Errorf("the id is encoded as %q, want abc123.12", got)
	}
	if got, ok := ParseSendID(requestHead("X-Mesh-Send", "abc123.12")); !ok || got != id {
		t.Errorf("the id is decoded as %+v, %v, want %+v", got, ok, id)
	}
}

// The fields that sidecars exchange are removed from a client's request.
func TestInternalFieldsAreRemoved(t *testing.T) {
	internal := []string{
		"X-Mesh-Visit", "X-Mesh-Send", "X-Mesh-Load", "X-Mesh-Verdict",
		"X-Caperarch-Target-Instance", "X-Caperarch-Tenant-Id", "X-Caperarch-Caller-Service", "X-Api-Key",
	}
	fields := http.Header{"Accept": {"*/*"}, "X-Caperarch-Attempt-Id": {"9c41"}}
	want := fields.Clone()
	for _, name := range internal {
		fields[name] = []string{"1"}
	}
	if StripInternal(fields); !reflect.DeepEqual(fields, want) {
		t.Errorf("remaining fields %v, want %v", fields, want)
	}
}
