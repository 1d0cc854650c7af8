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

// The full list, then a watch from its version on; after a malformed answer or a failure, and a backoff, the
// follower begins again with the full list.
func TestFollowerBeginsAgainWithTheFullListAfterAFailure(t *testing.T) {
	queries := make(chan string, 100)
	answers := make(chan func(http.ResponseWriter), 100)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		queries <- r.URL.RawQuery
		select {
		case answer := <-answers:
			answer(w)
		case <-r.Context().Done():
		}
	}))
	defer server.Close()
	say := func(body string) func(http.ResponseWriter) {
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

	step := func(query string, answer func(http.ResponseWriter)) {
		t.Helper()
		answers <- answer
		if got := testbed.Wait(t, "a call", queries); got != query {
			t.Fatalf("query %q, want %q", got, query)
		}
	}
	expectList := func(version int64, full bool) {
		t.Helper()
		if l := testbed.Wait(t, "a list", updates); l.Version != version || l.Full != full {
			t.Fatalf("version %d, full %v, want %d, %v", l.Version, l.Full, version, full)
		}
	}
	step("", say(testbed.Listed(41, "ready", "127.0.0.1:80")))
	expectList(41, true)
	step("index=41&wait=20000", say(`{"generation":43,"reset":false,"instances":[]}`))
	expectList(43, false)
	step("index=43&wait=20000", say(`{"generation":44,"instances":[{"instanceId":""}]}`))
	testbed.Wait(t, "the failure", failed)
	step("", func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) })
	testbed.Wait(t, "the failure", failed)
	step("", say(testbed.Listed(45, "ready", "127.0.0.1:80")))
	expectList(45, true)
	if len(updates)+len(failed) > 0 {
		t.Errorf("%d more lists, %d more failures", len(updates), len(failed))
	}
	cancel()
	testbed.Wait(t, "the end", ended)
}

// With OnDemand discovery is not called without a Trigger.
func TestFollowerOnDemandWaitsForATrigger(t *testing.T) {
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
			t.Fatal("called without a trigger")
		}
		f.Trigger()
		testbed.Wait(t, "the failure", failed)
		testbed.Wait(t, "the call", calls)
	}
}

// A new configuration names another discovery: its full list is fetched, and the watch of the old one ends.
func TestNewAddressBeginsWithTheFullList(t *testing.T) {
	calls, left := make(chan string, 100), make(chan struct{}, 100)
	serve := func(generation int) string {
		d := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls <- fmt.Sprintf("%d %s", generation, r.URL.RawQuery)
			if r.URL.RawQuery != "" {
				<-r.Context().Done()
				left <- struct{}{}
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
		OnUpdate: func(l call.ServerList) { updates <- l }, OnError: func(error) { t.Error("failed") },
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.Run(ctx)
	expect := func(want string) {
		t.Helper()
		if got := testbed.Wait(t, want, calls); got != want {
			t.Errorf("called %q, want %q", got, want)
		}
	}
	expect("50 ")
	expect("50 index=50&wait=20000")
	f.SetAddress(after)
	f.SetAddress(after)
	testbed.Wait(t, "the old watch to end", left)
	expect("3 ")
	expect("3 index=3&wait=20000")
	for _, version := range []int64{50, 3} {
		if l := testbed.Wait(t, "a list", updates); !l.Full || l.Version != version {
			t.Errorf("version %d, full %v, want %d in full", l.Version, l.Full, version)
		}
	}
}

// Guards against a fleet that fetches as many full lists after a restart or a failure: with OnDemand a follower
// watches from the version that is known. It fetches the full list only where changes have no known base.
func TestFollowerOnDemandWatchesFromTheKnownVersion(t *testing.T) {
	queries, answers := make(chan string, 10), make(chan string, 10)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		queries <- r.URL.RawQuery
		select {
		case a := <-answers:
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
		query, answer string
		trigger, full bool
	}{
		{"index=7&wait=20000", `{"generation":9,"reset":false,"instances":[]}`, true, false},
		{"index=9&wait=20000", "", false, false}, // refused
		{"index=9&wait=20000", `{"generation":10,"reset":false,"instances":[]}`, true, false},
		{"index=10&wait=20000", `{"generation":11,"reset":false,"instances":[{"zone":"a"}]}`, false, false}, // malformed
		{"", `{"generation":11,"reset":true,"instances":[]}`, true, true},                                   // so the full list
		{"index=11&wait=20000", `{"generation":3,"reset":false,"instances":[]}`, false, false},              // discovery restarted
		{"", `{"generation":3,"reset":true,"instances":[]}`, true, true},
	} {
		if step.trigger {
			f.Trigger()
		}
		if q := testbed.Wait(t, "a call", queries); q != step.query {
			t.Fatalf("asked %q, want %q", q, step.query)
		}
		answers <- step.answer
		select {
		case l := <-updates:
			if l.Full != step.full {
				t.Fatalf("after %q: full %v", step.query, l.Full)
			}
		case <-failed:
		case <-time.After(5 * time.Second):
			t.Fatalf("after %q: neither a list nor a failure", step.query)
		}
	}
}
