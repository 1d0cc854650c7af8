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

func TestParseListing(t *testing.T) {
	l, err := Parse([]byte(`{"generation":41,"reset":false,"further":1,"instances":[
		{"instanceId":"s-1","hostPort":"127.0.0.1:80","zone":"b","machineType":"m2","cell":3,"lifecycle":"ready","weight":1.5,"startedAtMs":1500.5},
		{"instanceId":"s-2","hostPort":"127.0.0.1:81","zone":"unheard of","lifecycle":"draining"},
		{"instanceId":"s-3","hostPort":"127.0.0.1:82","lifecycle":"pausing"},
		{"instanceId":"s-4","lifecycle":"gone"}]}`), map[string]int{"a": 0, "b": 1})
	if err != nil {
		t.Fatal(err)
	}
	want := []policy.Server{
		{ID: call.ServerID("s-1"), Zone: 1, Cell: 3, State: policy.Ready, Weight: 1.5, Started: 1500500 * time.Microsecond},
		{ID: call.ServerID("s-2"), Zone: -1, State: policy.Draining},
		{ID: call.ServerID("s-3"), Zone: -1, State: policy.Draining},
		{ID: call.ServerID("s-4"), Zone: -1, State: policy.Deregistered},
	}
	if l.Version != 41 || l.Full || len(l.Servers) != len(want) || l.Addresses[want[1].ID] != "127.0.0.1:81" {
		t.Fatalf("list %+v", l)
	}
	for i := range want {
		if l.Servers[i] != want[i] {
			t.Errorf("server %+v, want %+v", l.Servers[i], want[i])
		}
	}
	for _, bad := range []string{
		"", "{", "[]", `{"instances":[]}`, `{"generation":"x"}`,
		`{"generation":1,"instances":[{"hostPort":"127.0.0.1:80","lifecycle":"ready"}]}`,
		`{"generation":1,"instances":[{"instanceId":"s","hostPort":"nowhere","lifecycle":"ready"}]}`,
		`{"generation":1,"instances":[{"instanceId":"s","hostPort":"127.0.0.1:80","weight":"heavy"}]}`,
		`{"generation":1,"instances":[{"instanceId":"s","hostPort":"127.0.0.1:80","startedAtMs":1e300}]}`,
	} {
		if _, err := Parse([]byte(bad), nil); err == nil {
			t.Errorf("%q was taken", bad)
		}
	}
}

// The whole list, then a watch from its version on; a malformed answer or a failure is passed
// over, and after a pause it begins again with the whole list.
func TestDiscoveryIsFollowed(t *testing.T) {
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
	heard, failed := make(chan call.ServerList, 100), make(chan struct{}, 100)
	d := New(Config{
		Address:  server.Listener.Addr().String(),
		OnUpdate: func(l call.ServerList) { heard <- l }, OnError: func(error) { failed <- struct{}{} },
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { d.Run(ctx); close(ended) }()

	step := func(query string, answer func(http.ResponseWriter)) {
		t.Helper()
		answers <- answer
		if got := testbed.Wait(t, "a call", queries); got != query {
			t.Fatalf("query %q, want %q", got, query)
		}
	}
	news := func(version int64, whole bool) {
		t.Helper()
		if l := testbed.Wait(t, "a list", heard); l.Version != version || l.Full != whole {
			t.Fatalf("version %d, whole %v, want %d, %v", l.Version, l.Full, version, whole)
		}
	}
	step("", say(testbed.Listed(41, "ready", "127.0.0.1:80")))
	news(41, true)
	step("index=41&wait=20000", say(`{"generation":43,"reset":false,"instances":[]}`))
	news(43, false)
	step("index=43&wait=20000", say(`{"generation":44,"instances":[{"instanceId":""}]}`))
	testbed.Wait(t, "the failure", failed)
	step("", func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) })
	testbed.Wait(t, "the failure", failed)
	step("", say(testbed.Listed(45, "ready", "127.0.0.1:80")))
	news(45, true)
	if len(heard)+len(failed) > 0 {
		t.Errorf("%d more lists, %d more failures", len(heard), len(failed))
	}
	cancel()
	testbed.Wait(t, "the end", ended)
}

// Where the list must be asked for, nothing is called before the module asks.
func TestDiscoveryIsAsked(t *testing.T) {
	calls := make(chan struct{}, 100)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls <- struct{}{}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	failed := make(chan struct{}, 100)
	d := New(Config{
		Address: server.Listener.Addr().String(), OnDemand: true,
		OnUpdate: func(call.ServerList) {}, OnError: func(error) { failed <- struct{}{} },
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.Run(ctx)
	for range 2 {
		if len(calls) > 0 {
			t.Fatal("called unasked")
		}
		d.Trigger()
		testbed.Wait(t, "the failure", failed)
		testbed.Wait(t, "the call", calls)
	}
}

// A new configuration names another discovery: its list is taken whole, the watch at the old one ends.
func TestMove(t *testing.T) {
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
	heard := make(chan call.ServerList, 100)
	d := New(Config{
		Address:  before,
		OnUpdate: func(l call.ServerList) { heard <- l }, OnError: func(error) { t.Error("failed") },
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.Run(ctx)
	expect := func(want string) {
		t.Helper()
		if got := testbed.Wait(t, want, calls); got != want {
			t.Errorf("called %q, want %q", got, want)
		}
	}
	expect("50 ")
	expect("50 index=50&wait=20000")
	d.SetAddress(after)
	d.SetAddress(after)
	testbed.Wait(t, "the old watch to end", left)
	expect("3 ")
	expect("3 index=3&wait=20000")
	for _, version := range []int64{50, 3} {
		if l := testbed.Wait(t, "a list", heard); !l.Full || l.Version != version {
			t.Errorf("version %d, whole %v, want %d as a whole", l.Version, l.Full, version)
		}
	}
}

// Guards against a fleet that asks for as many whole lists after a restart or a failure: what is asked for goes on from the version
// that is known. Only what cannot be built upon brings the whole list.
func TestWhatIsAskedForGoesOnFromWhatIsKnown(t *testing.T) {
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
	heard, failed := make(chan call.ServerList, 10), make(chan error, 10)
	d := New(Config{
		Address: server.Listener.Addr().String(), OnDemand: true,
		Known:    call.ServerList{Version: 7, Servers: []policy.Server{{ID: 1}}},
		OnUpdate: func(l call.ServerList) { heard <- l }, OnError: func(err error) { failed <- err },
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.Run(ctx)
	for _, step := range []struct {
		query, answer string
		ask, whole    bool
	}{
		{"index=7&wait=20000", `{"generation":9,"reset":false,"instances":[]}`, true, false},
		{"index=9&wait=20000", "", false, false}, // refused
		{"index=9&wait=20000", `{"generation":10,"reset":false,"instances":[]}`, true, false},
		{"index=10&wait=20000", `{"generation":11,"reset":false,"instances":[{"zone":"a"}]}`, false, false}, // unusable
		{"", `{"generation":11,"reset":true,"instances":[]}`, true, true},                                   // so all of it
		{"index=11&wait=20000", `{"generation":3,"reset":false,"instances":[]}`, false, false},              // one that began anew
		{"", `{"generation":3,"reset":true,"instances":[]}`, true, true},
	} {
		if step.ask {
			d.Trigger()
		}
		if q := testbed.Wait(t, "a call", queries); q != step.query {
			t.Fatalf("asked %q, want %q", q, step.query)
		}
		answers <- step.answer
		select {
		case l := <-heard:
			if l.Full != step.whole {
				t.Fatalf("after %q: whole %v", step.query, l.Full)
			}
		case <-failed:
		case <-time.After(5 * time.Second):
			t.Fatalf("after %q: no word", step.query)
		}
	}
}
