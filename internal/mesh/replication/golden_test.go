package replication

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"caperarch/internal/mesh/goldentest"
)

// What other processes send and expect: testdata holds it as the release before wrote it.
func TestMessagesOnTheWire(t *testing.T) {
	goldentest.CheckJSON[messageBatch](t, "post")
	goldentest.CheckJSON[Message](t, "message")
	goldentest.CheckJSON[HardState](t, "hard_state")
	goldentest.CheckJSON[identity](t, "identity")
	goldentest.CheckJSON[Membership](t, "membership")
	goldentest.CheckJSON[Entry](t, "entry")
}

func TestPathOfPosts(t *testing.T) {
	mux := http.NewServeMux()
	RegisterRoutes(mux, func() *Node { return nil })
	if _, pattern := mux.Handler(httptest.NewRequest("POST", "/mesh/archive", nil)); pattern != "POST /mesh/archive" {
		t.Errorf("members post to %q, want /mesh/archive", pattern)
	}
	if Path != "/mesh/archive" {
		t.Errorf("members post to %q, want /mesh/archive", Path)
	}
}
