package config

import (
	"testing"

	"caperarch/internal/mesh/goldentest"
)

// What other processes send and expect: testdata holds it as the release before wrote it.
func TestStoredForms(t *testing.T) {
	goldentest.CheckJSON[encodedSnapshot](t, "encoded_snapshot")
	goldentest.CheckJSON[encodedRequestLog](t, "encoded_request_log")
	goldentest.CheckJSON[envelope](t, "change_envelope")
}
