package conformance

import (
	"sync"
	"testing"
	"time"

	"caperarch/internal/lab/testbed"
)

// fewSlots sets quotas that leave the compartment of each tenant few slots.
func fewSlots(settings map[string]any) {
	ShortDeadlines(settings)
	settings["orgs"] = decodeJSON(`[{"name":"north","share":0.5,"quota_per_s":4.0},
		{"name":"south","share":0.5,"quota_per_s":4.0}]`)
}

// compartments tests that the load of one tenant does not affect other tenants.
func compartments(add func(string, func(*testing.T, *Fixture))) {
	add("compartment/full", compartmentFull)
	add("compartment/others", compartmentOthers)
}

// compartmentFull checks that a full compartment refuses calls at once, with a RetryAfter.
func compartmentFull(t *testing.T, f *Fixture) {
	f.Start(fewSlots, 0, 0, 0)
	f.Script(testbed.Always(testbed.Hang))
	var calls sync.WaitGroup
	answers := make(chan Answer, 60)
	for range 60 {
		calls.Go(func() {
			c := f.NewCall("entry")
			c.Timeout = 1200 * time.Millisecond
			answers <- f.Do(c)
		})
	}
	calls.Wait()
	close(answers)
	prompt := 0
	for a := range answers {
		if a.Kind == Refused && a.Took < 300*time.Millisecond {
			prompt++
			if a.RetryAfter <= 0 {
				t.Errorf("refused call: answer %+v, want a RetryAfter above 0", a)
			}
		}
	}
	if prompt < 30 {
		t.Errorf("%d of 60 calls were refused within 300 ms, want at least 30: there are few slots and a short queue", prompt)
	}
}

// compartmentOthers checks that overload of one tenant leaves another tenant its slots.
func compartmentOthers(t *testing.T, f *Fixture) {
	f.Start(fewSlots, 0, 0, 0, 0, 0, 0, 0, 0)
	f.Script(func(a testbed.Arrival) testbed.Act {
		if a.Body == "flood" {
			return testbed.Hang
		}
		return testbed.Serve
	})
	var calls sync.WaitGroup
	for range 40 {
		calls.Go(func() {
			c := f.NewCall("entry")
			c.Body, c.Timeout = "flood", 1200*time.Millisecond
			f.Do(c)
		})
	}
	testbed.Until(t, "the first call of the overload", func() bool { return f.ArrivalLog.Len() > 0 })
	c := f.NewCall("look")
	c.Tenant, c.Timeout = "south", 1200*time.Millisecond
	if a := f.Do(c); a.Kind != Served || a.Took > time.Second {
		t.Errorf("call of another tenant: answer %+v, want served within 1 s despite the overload", a)
	}
	calls.Wait()
}
