package membership

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"caperarch/internal/lab/testbed"
	"caperarch/internal/proxy/call"
	"caperarch/policy"
)

// A follower fetches the full list and then watches from its version. After a malformed response or a failure, and a
// backoff, it fetches the full list again.
func TestFollowerFetchesFullListAfterFailure(t *testing.T) {
	queries := make(chan string, 100)
	responses := make(chan func(http.ResponseWriter), 100)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		queries <- r.URL.RawQuery
		select {
		case response := <-responses:
			response(w)
		case <-r.Context().Done():
		}
	}))
	defer server.Close()
	respondWith := func(body string) func(http.ResponseWriter) {
		return func(w http.ResponseWriter) { _, _ = io.WriteString(w, body) }
	}
	updates, failed := make(chan call.ServerList, 100), make(chan struct{}, 100)
	f := New(Config{
		Address:  server.Listener.Addr().String(),
		OnUpdate: func(l call.ServerList) { updates <- l }, OnError: func(error) { failed <- struct{}{} },
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { f.Run(ctx); close(ended) }()

	step := func(query string, response func(http.ResponseWriter)) {
		t.Helper()
		responses <- response
		if got := testbed.Wait(t, "a call of discovery", queries); got != query {
			t.Fatalf("discovery was called with query %q, want %q", got, query)
		}
	}
	expectList := func(version int64, full bool) {
		t.Helper()
		if l := testbed.Wait(t, "a list", updates); l.Version != version || l.Full != full {
			t.Fatalf("got list version %d with full %v, want %d with %v", l.Version, l.Full, version, full)
		}
	}
	step("", respondWith(testbed.Listed(41, "ready", "127.0.0.1:80")))
	expectList(41, true)
	step("index=41&wait=20000", respondWith(`{"generation":43,"reset":false,"instances":[]}`))
	expectList(43, false)
	step("index=43&wait=20000", respondWith(`{"generation":44,"instances":[{"instanceId":""}]}`))
	testbed.Wait(t, "the failure", failed)
	step("", func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) })
	testbed.Wait(t, "the failure", failed)
	step("", respondWith(testbed.Listed(45, "ready", "127.0.0.1:80")))
	expectList(45, true)
	if len(updates)+len(failed) > 0 {
		t.Errorf("%d more lists and %d more failures, want none", len(updates), len(failed))
	}
	cancel()
	testbed.Wait(t, "Run to return", ended)
}

// With OnDemand, the follower calls discovery only after Trigger.
func TestFollowerOnDemandWaitsForTrigger(t *testing.T) {
	calls := make(chan struct{}, 100)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls <- struct{}{}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	failed := make(chan struct{}, 100)
	f := New(Config{
		Address: server.Listener.Addr().String(), OnDemand: true,
		OnUpdate: func(call.ServerList) {}, OnError: func(error) { failed <- struct{}{} },
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.Run(ctx)
	for range 2 {
		if len(calls) > 0 {
			t.Fatal("discovery was called without a trigger")
		}
		f.Trigger()
		testbed.Wait(t, "the failure", failed)
		testbed.Wait(t, "the call", calls)
	}
}

// When a new configuration changes the address of discovery, the full list is fetched from the new address and the
// watch at the old address ends.
func TestNewAddressFetchesFullList(t *testing.T) {
	calls, watchEnded := make(chan string, 100), make(chan struct{}, 100)
	serve := func(generation int) string {
		d := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls <- fmt.Sprintf("%d %s", generation, r.URL.RawQuery)
			if r.URL.RawQuery != "" {
				<-r.Context().Done()
				watchEnded <- struct{}{}
				return
			}
			_, _ = io.WriteString(w, testbed.Listed(generation, "ready", "127.0.0.1:81"))
		}))
		t.Cleanup(d.Close)
		return d.Listener.Addr().String()
	}
	before, after := serve(50), serve(3)
	updates := make(chan call.ServerList, 100)
	f := New(Config{
		Address:  before,
		OnUpdate: func(l call.ServerList) { updates <- l },
		OnError:  func(error) { t.Error("OnError was called, want no failure") },
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.Run(ctx)
	expect := func(want string) {
		t.Helper()
		if got := testbed.Wait(t, want, calls); got != want {
			t.Errorf("discovery was called with %q, want %q", got, want)
		}
	}
	expect("50 ")
	expect("50 index=50&wait=20000")
	f.SetAddress(after)
	f.SetAddress(after)
	testbed.Wait(t, "the old watch to end", watchEnded)
	expect("3 ")
	expect("3 index=3&wait=20000")
	for _, version := range []int64{50, 3} {
		if l := testbed.Wait(t, "a list", updates); !l.Full || l.Version != version {
			t.Errorf("got list version %d with full %v, want full list %d", l.Version, l.Full, version)
		}
	}
}

// Guards against a fleet whose sidecars all fetch the full list after a restart or a failure. With OnDemand, a follower
// watches from the last known version. It fetches the full list only if it cannot apply changes to the known list.
func TestFollowerOnDemandWatchesFromKnownVersion(t *testing.T) {
	queries, responses := make(chan string, 10), make(chan string, 10)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		queries <- r.URL.RawQuery
		select {
		case a := <-responses:
			if a != "" {
				_, _ = io.WriteString(w, a)
				return
			}
		case <-r.Context().Done():
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	updates, failed := make(chan call.ServerList, 10), make(chan error, 10)
	f := New(Config{
		Address: server.Listener.Addr().String(), OnDemand: true,
		Known:    call.ServerList{Version: 7, Servers: []policy.Server{{ID: 1}}},
		OnUpdate: func(l call.ServerList) { updates <- l }, OnError: func(err error) { failed <- err },
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.Run(ctx)
	for _, step := range []struct {
		query, response string
		trigger, full   bool
	}{
		{"index=7&wait=20000", `{"generation":9,"reset":false,"instances":[]}`, true, false},
		{"index=9&wait=20000", "", false, false}, // status 503
		{"index=9&wait=20000", `{"generation":10,"reset":false,"instances":[]}`, true, false},
		{"index=10&wait=20000", `{"generation":11,"reset":false,"instances":[{"zone":"a"}]}`, false, false}, // malformed
		{"", `{"generation":11,"reset":true,"instances":[]}`, true, true},                                   // full list
		{"index=11&wait=20000", `{"generation":3,"reset":false,"instances":[]}`, false, false},              // restart
		{"", `{"generation":3,"reset":true,"instances":[]}`, true, true},
	} {
		if step.trigger {
			f.Trigger()
		}
		if q := testbed.Wait(t, "a call of discovery", queries); q != step.query {
			t.Fatalf("discovery was called with query %q, want %q", q, step.query)
		}
		responses <- step.response
		select {
		case l := <-updates:
			if l.Full != step.full {
				t.Fatalf("list after query %q has the unexpected value %v of Full", step.query, l.Full)
			}
		case <-failed:
		case <-time.After(5 * time.Second):
			t.Fatalf("neither a list nor a failure within 5 s after query %q", step.query)
		}
	}
}
