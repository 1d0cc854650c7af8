package plugin_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"caperarch/plugin"
	"caperarch/policy"
)

// Sends a net/http request through a client with a fixed server list and one non-idempotent class.
func ExampleClient_RoundTripper() {
	// Test server. A real program lists its own servers in Known or sets Discovery.
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, "entered by %s", r.Header.Get("X-Priority-Class"))
	}))
	defer server.Close()

	client, err := plugin.Open(plugin.Config{
		Known:   []plugin.Node{{ID: "s-1", Address: server.Listener.Addr().String(), Weight: 1}},
		Classes: []string{"harvest-entry"},
		Policy: policy.Config{
			Balancers: 1, MaxAttempts: 3, MaxRetryAfter: 1200 * time.Millisecond,
			Classes: []policy.Class{{
				LatencyTarget: 600 * time.Millisecond, Deadline: 2500 * time.Millisecond, Value: 2,
				Effect: policy.NonIdempotent,
			}},
		},
		Methods: map[string]plugin.Method{"/harvest": {Class: "harvest-entry"}},
	})
	if err != nil {
		fmt.Println(err) // names the invalid field
		return
	}
	defer client.Close(context.Background())

	web := http.Client{Transport: client.RoundTripper()}
	res, err := web.Post("http://ledger.example.org/harvest", "text/plain", strings.NewReader("12 kg"))
	var refused *plugin.RefusedError
	switch {
	case errors.As(err, &refused):
		fmt.Println("safe to repeat after", refused.RetryAfter)
		return
	case err != nil:
		fmt.Println("the call may have run:", err)
		return
	}
	defer res.Body.Close()
	body, _ := io.ReadAll(res.Body)
	fmt.Println(res.StatusCode, string(body))
	// Output: 200 entered by harvest-entry
}

// Sends a call of a deduplicated class without net/http.
func ExampleClient_Do() {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, "weighed under %s", r.Header.Get("Idempotency-Key"))
	}))
	defer server.Close()
	client, err := plugin.Open(plugin.Config{
		Known:   []plugin.Node{{ID: "s-1", Address: server.Listener.Addr().String(), Weight: 1}},
		Classes: []string{"weight-reading"},
		Policy: policy.Config{
			Balancers: 1, MaxAttempts: 3,
			Classes: []policy.Class{{
				LatencyTarget: 500 * time.Millisecond, Deadline: time.Second, Value: 5,
				Effect: policy.Deduplicated, Scope: policy.ScopeCell, DedupWindow: 600 * time.Millisecond,
			}},
		},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer client.Close(context.Background())
	res, err := client.Do(context.Background(), plugin.Request{
		Class: "weight-reading", Key: "hive-7-0915", Body: []byte("41.5 kg"),
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(string(res.Body))
	// Output: weighed under hive-7-0915
}
