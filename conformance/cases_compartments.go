package conformance

import (
	"sync"
	"testing"
	"time"

	"caperarch/internal/lab/testbed"
)

// narrow leaves each tenant few slots.
func narrow(settings map[string]any) {
	Brief(settings)
	settings["orgs"] = decode(`[{"name":"north","share":0.5,"quota_per_s":4.0},
		{"name":"south","share":0.5,"quota_per_s":4.0}]`)
}

// compartments is about the bulkheads of tenants.
func compartments(add func(string, func(*testing.T, *World))) {
	add("compartment/full", compartmentFull)
	add("compartment/others", compartmentOthers)
}

// compartmentFull shows that a full compartment rejects at once, with a time to return.
func compartmentFull(t *testing.T, w *World) {
	w.Start(narrow, 0, 0, 0)
	w.Script(testbed.Always(testbed.Hang))
	var calls sync.WaitGroup
	answers := make(chan Answer, 60)
	for range 60 {
		calls.Go(func() {
			c := w.Usable("entry")
			c.Timeout = 1200 * time.Millisecond
			answers <- w.Do(c)
		})
	}
	calls.Wait()
	close(answers)
	quick := 0
	for a := range answers {
		if a.Kind == Refused && a.Took < 300*time.Millisecond {
			quick++
			if a.RetryAfter <= 0 {
				t.Errorf("a refusal with no word on when to return: %+v", a)
			}
		}
	}
	if quick < 30 {
		t.Errorf("%d of 60 were refused at once, want most: there are few slots and a short queue", quick)
	}
}

// compartmentOthers shows that one tenant's flood leaves another its slots.
func compartmentOthers(t *testing.T, w *World) {
	w.Start(narrow, 0, 0, 0, 0, 0, 0, 0, 0)
	w.Script(func(a testbed.Arrival) testbed.Act {
		if a.Body == "flood" {
			return testbed.Hang
		}
		return testbed.Serve
	})
	var calls sync.WaitGroup
	for range 40 {
		calls.Go(func() {
			c := w.Usable("entry")
			c.Body, c.Timeout = "flood", 1200*time.Millisecond
			w.Do(c)
		})
	}
	testbed.Until(t, "the flood", func() bool { return w.ArrivalLog.Len() > 0 })
	c := w.Usable("look")
	c.Tenant, c.Timeout = "south", 1200*time.Millisecond
	if a := w.Do(c); a.Kind != Served || a.Took > time.Second {
		t.Errorf("another tenant's call: %+v, want served, walled off from the flood", a)
	}
	calls.Wait()
}
