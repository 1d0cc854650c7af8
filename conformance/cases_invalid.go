package conformance

import (
	"context"
	"strings"
	"testing"
	"time"

	"caperarch/internal/lab/testbed"
)

// invalid is about calls that can't be used: an error that says so, and nothing is sent.
func invalid(add func(string, func(*testing.T, *World))) {
	for name, c := range map[string]struct {
		class string
		edit  func(*Call)
	}{
		"unknown class":          {"look", func(c *Call) { c.Class = "nothing" }},
		"unknown tenant":         {"look", func(c *Call) { c.Tenant = "east" }},
		"no tenant":              {"look", func(c *Call) { c.Tenant = "" }},
		"keyed with no key":      {"reading", func(c *Call) { c.Key = "" }},
		"unsafe with a key":      {"entry", func(c *Call) { c.Key = "k" }},
		"a time-out out of hand": {"look", func(c *Call) { c.Timeout = 1000 * time.Hour }},
	} {
		add("invalid/"+name, func(t *testing.T, w *World) {
			w.Start(nil, 0, 0)
			call := w.Usable(c.class)
			c.edit(&call)
			if a := w.Do(call); a.Kind != Invalid || a.Detail == "" {
				t.Errorf("%+v, want invalid, with a word on why", a)
			}
			if n := w.ArrivalLog.Len(); n != 0 {
				t.Errorf("%d attempts", n)
			}
			w.Want(c.class, Served) // and the next is none the worse
		})
	}
	add("invalid/a body beyond what is held", invalidLargeBody)
	add("invalid/an id that is open", invalidOpenID)
}

// invalidLargeBody shows that a body too large for the subject is passed on or rejected, never cut.
func invalidLargeBody(t *testing.T, w *World) {
	// The daemon passes it on as it comes; a plug-in says that it can't, and sends nothing.
	w.Start(nil, 0, 0)
	call := w.Usable("entry")
	call.Body = strings.Repeat("x", 64<<10+1)
	a, n := w.Do(call), w.ArrivalLog.Len()
	if !(a.Kind == Served && n == 1 || a.Kind == Invalid && a.Detail != "" && n == 0) {
		t.Errorf("%+v, %d attempts", a, n)
	}
	w.Want("entry", Served)
}

// invalidOpenID shows that a call of an id that is in flight is rejected.
func invalidOpenID(t *testing.T, w *World) {
	w.Start(nil, 0, 0)
	release := make(chan struct{})
	arrived := make(chan struct{}, 10)
	w.Script(func(a testbed.Arrival) testbed.Act {
		arrived <- struct{}{}
		<-release
		return testbed.Serve
	})
	first := w.Usable("entry")
	answered := make(chan Answer, 1)
	go func() { answered <- w.client.Call(context.Background(), first) }()
	testbed.Wait(t, "the first call", arrived)
	if a := w.client.Call(context.Background(), first); a.Kind != Invalid {
		t.Errorf("a second call of the id: %+v, want invalid", a)
	}
	close(release)
	if a := testbed.Wait(t, "the first answer", answered); a.Kind != Served {
		t.Errorf("the first call: %+v, want served", a)
	}
}
