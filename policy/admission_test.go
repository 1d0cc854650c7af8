package policy

import (
	"testing"
	"time"

	"caperarch/internal/proxy/admission"
)

// Guards against incident i47e131: a thousand balancers with a slot each go on sending requests that are
// answered late.
func TestAdmissionFollowsAnswersInTime(t *testing.T) {
	sent := func(end1 Ending, took time.Duration) int {
		b, h := start(t, testConfig(), ready(1, 2, 3, 4))
		for id := range RequestID(200) {
			now := time.Duration(id) * 500 * ms
			n := len(h.sends)
			submit(b, now, id, nonIdempotentClass)
			if len(h.sends) > n {
				end(b, now+took, id, 0, end1)
			}
		}
		return len(h.sends)
	}
	if n := sent(Served, 100*ms); n != 200 {
		t.Errorf("%d of 200 sent while all are answered in time", n)
	}
	if n := sent(Served, 1500*ms); n > 150 { // incident id1dbbf: late answers are no sign of capacity
		t.Errorf("%d of 200 sent while all are answered late", n)
	}
	if n := sent(TimedOut, time.Second); n > 120 || n < 20 {
		t.Errorf("%d of 200 sent while none is answered, want far fewer, but some", n)
	}
}

// One tenth of failures, as from one bad server of ten, must not have requests refused.
func TestAdmissionRefusesNothingForFewFailures(t *testing.T) {
	b, h := start(t, testConfig(), ready(1, 2, 3, 4))
	for id := range RequestID(300) {
		now := time.Duration(id) * 100 * ms
		submit(b, now, id, nonIdempotentClass)
		end(b, now+50*ms, id, 0, map[bool]Ending{true: Errored, false: Served}[id%10 == 9])
	}
	if len(h.sends) != 300 {
		t.Fatalf("%d of 300 sent", len(h.sends))
	}
}

// The value of a class decides what is shed first: the same shortage costs the class of high value less.
func TestAdmissionShedsLowValueFirst(t *testing.T) {
	cfg := testConfig()
	cfg.Classes = cfg.Classes[:2]
	cfg.Classes[0].Value, cfg.Classes[1].Value = 1, 4
	b, _ := start(t, cfg, ready(1, 2))
	var let [2]int
	for i := range 2000 {
		b.compartments[0].gate = admission.NewRatio(b.rng)
		for n := range 40 {
			b.compartments[0].gate.AttemptEnded(0, admission.AttemptEnd{Score: map[bool]float64{true: 1}[n < 10]})
		}
		if b.compartments[0].gate.Admit(0, b.classes[i%2].Value/b.meanValue) {
			let[i%2]++
		}
	}
	if let[0]*3 > let[1]*2 || let[0] == 0 {
		t.Fatalf("let in %v of 1000 each, want the worthier class far ahead, and some of the other", let)
	}
}
