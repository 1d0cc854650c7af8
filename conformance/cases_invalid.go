package conformance

import (
	"context"
	"strings"
	"testing"
	"time"

	"caperarch/internal/lab/testbed"
)

// invalidCalls tests that calls that are not valid are rejected with a reason and are not sent.
func invalidCalls(add func(string, func(*testing.T, *Fixture))) {
	for name, c := range map[string]struct {
		class string
		edit  func(*Call)
	}{
		"unknown class":       {"look", func(c *Call) { c.Class = "nothing" }},
		"unknown tenant":      {"look", func(c *Call) { c.Tenant = "east" }},
		"no tenant":           {"look", func(c *Call) { c.Tenant = "" }},
		"keyed without a key": {"reading", func(c *Call) { c.Key = "" }},
		"unsafe with a key":   {"entry", func(c *Call) { c.Key = "k" }},
		"time-out too long":   {"look", func(c *Call) { c.Timeout = 1000 * time.Hour }},
	} {
		add("invalid/"+name, func(t *testing.T, f *Fixture) {
			f.Start(nil, 0, 0)
			call := f.NewCall(c.class)
			c.edit(&call)
			if a := f.Do(call); a.Kind != Invalid || a.Detail == "" {
				t.Errorf("answer %+v, want invalid, with a reason in Detail", a)
			}
			if n := f.ArrivalLog.Len(); n != 0 {
				t.Errorf("call had %d attempts, want 0", n)
			}
			f.Expect(c.class, Served) // a valid call after it is not affected
		})
	}
	add("invalid/body too large to buffer", invalidLargeBody)
	add("invalid/id of a call in flight", invalidOpenID)
}

// invalidLargeBody checks that a body that is too large to buffer is forwarded in full or rejected, never truncated.
func invalidLargeBody(t *testing.T, f *Fixture) {
	// The daemon streams the body to the node. A plug-in rejects the call and sends nothing.
	f.Start(nil, 0, 0)
	call := f.NewCall("entry")
	call.Body = strings.Repeat("x", 64<<10+1)
	a, n := f.Do(call), f.ArrivalLog.Len()
	if !(a.Kind == Served && n == 1 || a.Kind == Invalid && a.Detail != "" && n == 0) {
		t.Errorf("answer %+v with %d attempts, want served with 1, or invalid with a reason and 0", a, n)
	}
	f.Expect("entry", Served)
}

// invalidOpenID checks that a call is rejected if another call with its ID is in flight.
func invalidOpenID(t *testing.T, f *Fixture) {
	f.Start(nil, 0, 0)
	release := make(chan struct{})
	arrived := make(chan struct{}, 10)
	f.Script(func(a testbed.Arrival) testbed.Act {
		arrived <- struct{}{}
		<-release
		return testbed.Serve
	})
	first := f.NewCall("entry")
	answered := make(chan Answer, 1)
	go func() { answered <- f.client.Call(context.Background(), first) }()
	testbed.Wait(t, "the first call to arrive", arrived)
	if a := f.client.Call(context.Background(), first); a.Kind != Invalid {
		t.Errorf("second call with the ID: answer %+v, want invalid", a)
	}
	close(release)
	if a := testbed.Wait(t, "the answer of the first call", answered); a.Kind != Served {
		t.Errorf("first call with the ID: answer %+v, want served", a)
	}
}
