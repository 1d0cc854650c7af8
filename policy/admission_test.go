package policy

import (
	"testing"
	"time"

	"caperarch/internal/proxy/admission"
)

// Guards against incident i47e131: a thousand balancers of one slot each continued to send requests whose answers were
// late.
func TestAdmissionFollowsTimelyAnswers(t *testing.T) {
	sentRequests := func(ending Ending, took time.Duration) int {
		b, h := start(t, testConfig(), readyList(1, 2, 3, 4))
		for id := range RequestID(200) {
			now := time.Duration(id) * 500 * ms
			n := len(h.sends)
			submit(b, now, id, nonIdempotentClass)
			if len(h.sends) > n {
				end(b, now+took, id, 0, ending)
			}
		}
		return len(h.sends)
	}
	if n := sentRequests(Served, 100*ms); n != 200 {
		t.Errorf("%d of 200 requests sent while all are answered in time, want all", n)
	}
	if n := sentRequests(Served, 1500*ms); n > 150 { // incident id1dbbf: late answers counted as a sign of capacity
		t.Errorf("%d of 200 requests sent while all are answered late, want at most 150", n)
	}
	if n := sentRequests(TimedOut, time.Second); n > 120 || n < 20 {
		t.Errorf("%d of 200 requests sent while none is answered, want 20 to 120", n)
	}
}

// Admission control must refuse no requests when one in ten fails, as with one faulty server of ten.
func TestAdmissionRefusesNothingForFewFailures(t *testing.T) {
	b, h := start(t, testConfig(), readyList(1, 2, 3, 4))
	for id := range RequestID(300) {
		now := time.Duration(id) * 100 * ms
		submit(b, now, id, nonIdempotentClass)
		end(b, now+50*ms, id, 0, map[bool]Ending{true: Errored, false: Served}[id%10 == 9])
	}
	if len(h.sends) != 300 {
		t.Fatalf("%d of 300 requests sent while one in ten fails, want all", len(h.sends))
	}
}

// Admission control must refuse fewer requests of a class of high value than of a class of low value.
func TestAdmissionShedsLowValueFirst(t *testing.T) {
	cfg := testConfig()
	cfg.Classes = cfg.Classes[:2]
	cfg.Classes[0].Value, cfg.Classes[1].Value = 1, 4
	b, _ := start(t, cfg, readyList(1, 2))
	var admitted [2]int
	for i := range 2000 {
		b.compartments[0].gate = admission.NewRatio(b.rng)
		for n := range 40 {
			b.compartments[0].gate.AttemptEnded(0, admission.AttemptEnd{Score: map[bool]float64{true: 1}[n < 10]})
		}
		if b.compartments[0].gate.Admit(0, b.classes[i%2].Value/b.meanValue) {
			admitted[i%2]++
		}
	}
	if admitted[0]*3 > admitted[1]*2 || admitted[0] == 0 {
		t.Fatalf("admitted %v of 1000 requests each of value 1 and 4, want some, and at most 2 for 3", admitted)
	}
}
