package rpc

import (
	"testing"

	"caperarch/internal/mesh/goldentest"
)

// What other processes send and expect: testdata holds it as the release before wrote it.
func TestErrorBody(t *testing.T) {
	goldentest.CheckJSON[failure](t, "error")
}
