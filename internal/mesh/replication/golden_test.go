package replication

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"caperarch/internal/mesh/goldentest"
)

// TestMessagesOnTheWire checks that the encodings of messages and stored values equal those in testdata,
// which the previous release wrote.
func TestMessagesOnTheWire(t *testing.T) {
	goldentest.CheckJSON[messageBatch](t, "post")
	goldentest.CheckJSON[Message](t, "message")
	goldentest.CheckJSON[HardState](t, "hard_state")
	goldentest.CheckJSON[identity](t, "identity")
	goldentest.CheckJSON[Membership](t, "membership")
	goldentest.CheckJSON[Entry](t, "entry")
}

// TestMessagePath checks that the HTTP path for messages between members is the same as in the previous
// releases.
func TestMessagePath(t *testing.T) {
	mux := http.NewServeMux()
	RegisterRoutes(mux, func() *Node { return nil })
	if _, pattern := mux.Handler(httptest.NewRequest("POST", "/mesh/archive", nil)); pattern != "POST /mesh/archive" {
		t.Errorf("POST /mesh/archive is handled by the pattern %q, want \"POST /mesh/archive\"", pattern)
	}
	if MessagePath != "/mesh/archive" {
		t.Errorf("MessagePath is %q, want /mesh/archive", MessagePath)
	}
}
