package config

import (
	"testing"

	"caperarch/internal/mesh/goldentest"
)

// Running processes and stored snapshots of an earlier release use these encodings. The files in testdata were written
// by that release.
func TestStoredForms(t *testing.T) {
	goldentest.CheckJSON[encodedSnapshot](t, "encoded_snapshot")
	goldentest.CheckJSON[encodedRequestLog](t, "encoded_request_log")
	goldentest.CheckJSON[envelope](t, "change_envelope")
}
