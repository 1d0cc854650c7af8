package rpc

import (
	"net/http/httptest"
	"testing"

	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/goldentest"
	"caperarch/meshapi"
)

// The file in testdata was written by an earlier release, whose processes send and expect this encoding.
func TestErrorBody(t *testing.T) {
	goldentest.CheckJSON[meshapi.ErrorResponse](t, "error")
}

// Callers of an earlier release rely on the status, the kind's name and the Retry-After header of an error response.
func TestErrorResponseOfEachKind(t *testing.T) {
	type errorResponse struct {
		status           int
		kind, retryAfter string
	}
	want := []errorResponse{
		{400, "Invalid", ""},
		{400, "Unreadable", ""},
		{413, "TooLarge", ""},
		{412, "Stale", ""},
		{404, "Unknown", ""},
		{503, "Busy", "0.2"},
		{503, "NoQuorum", "0.3"},
		{503, "NotLeader", ""},
		{503, "Late", ""},
		{503, "Undecided", ""},
		{503, "DiskFailed", ""},
		{502, "Unreachable", ""},
		{500, "Internal", ""},
	}
	if last := int(errs.Internal); last != len(want) {
		t.Errorf("there are %d kinds, want %d", last, len(want))
	}
	for i, want := range want {
		w := httptest.NewRecorder()
		WriteError(w, errs.New(errs.Kind(i+1), "what went wrong"))
		got := errorResponse{w.Code, w.Header().Get("X-Mesh-Fault"), w.Header().Get("Retry-After")}
		if got != want {
			t.Errorf("the response to an error of kind %d is %+v, want %+v", i+1, got, want)
		}
		body := `{"errorMessage":"what went wrong","kind":"` + want.kind + `"}`
		if got := w.Body.String(); got != body {
			t.Errorf("kind %s: the body is %s, want %s", want.kind, got, body)
		}
		if got := w.Header().Get("Content-Type"); got != "application/json" {
			t.Errorf("kind %s: the Content-Type is %q, want application/json", want.kind, got)
		}
	}
}
