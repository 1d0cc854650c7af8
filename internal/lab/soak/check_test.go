package soak

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

const ms = time.Millisecond

var testRules = Rules{
	ContactWindow: 3 * time.Second, GracePeriod: 2 * time.Second, RouteTimeout: time.Second, LossSlack: 200 * ms,
	ConfigApply: 2 * time.Second, DrainTimeout: 2 * time.Second,
}

// answeredRequest returns a request of sidecar 0 that was answered.
func answeredRequest(id string, idempotent bool, at time.Duration, status int) Request {
	return Request{ID: id, Idempotent: idempotent, Sent: at, Ended: at + 100*ms, Status: status, OwnResponse: true}
}

// runOf returns a run of a request at upstream 1.
func runOf(id string, at time.Duration) Run {
	return Run{ID: id, Upstream: 1, Arrived: at, PlannedEnd: at + 50*ms, Ended: at + 50*ms}
}

// failedRunOf returns a run that its upstream answered with a failure.
func failedRunOf(id string) Run {
	run := runOf(id, base)
	run.Failed = true
	return run
}

// unansweredRequest returns a request of sidecar 0 whose connection ended without a response, and its run at
// upstream 1.
func unansweredRequest(id string, at, after time.Duration) (Request, Run) {
	return Request{ID: id, Sent: at, Ended: at + after}, runOf(id, at+10*ms)
}

// abandoned returns a history of requests whose clients left after 100 ms. Each request has a run with a planned length
// of 2 s that ended goOn after its client had left.
func abandoned(count int, at, goOn time.Duration, idempotent bool) (h History) {
	for i := range count {
		id := fmt.Sprint("left", at, i)
		h.Requests = append(h.Requests, Request{ID: id, Idempotent: idempotent, Sent: at, Left: at + 100*ms})
		h.Runs = append(h.Runs, Run{
			ID: id, Upstream: 1, Arrived: at + 10*ms, PlannedEnd: at + 2*time.Second, Ended: at + 100*ms + goOn,
		})
	}
	return h
}

// merge returns a history with the requests and runs of several histories and with the given disturbances.
func merge(disturbances []Disturbance, all ...History) (h History) {
	h.Disturbances = disturbances
	for _, one := range all {
		h.Requests = append(h.Requests, one.Requests...)
		h.Runs = append(h.Runs, one.Runs...)
	}
	return h
}

// drained returns a history of a request that reaches an upstream the given time after its drain was acknowledged.
func drained(after time.Duration) History {
	return History{
		Drains: []Drain{{Instance: "i-1-0", Acknowledged: base}},
		Requests: []Request{{ID: "d", Idempotent: true, Sent: base + after - ms, Ended: base + after + 50*ms,
			Status: 200, OwnResponse: true}},
		Runs: []Run{{ID: "d", Upstream: 1, Arrived: base + after, Ended: base + after + 40*ms, Instance: "i-1-0"}},
	}
}

// withDisturbances returns the history with the given disturbances.
func withDisturbances(disturbances []Disturbance, h History) History {
	h.Disturbances = disturbances
	return h
}

// lost returns a history of requests that ran and received no response.
func lost(count int, at, after time.Duration) (h History) {
	for i := range count {
		r, run := unansweredRequest(fmt.Sprint("lost", i), at, after)
		h.Requests, h.Runs = append(h.Requests, r), append(h.Runs, run)
	}
	return h
}

// base is the moment around which the events of the histories happen.
const base = 10 * time.Second

// termBefore returns a SIGTERM of sidecar 0 the given time before base.
func termBefore(before time.Duration) []Disturbance {
	return []Disturbance{{Machine: 0, From: base - before, To: base, Cause: Termination}}
}

// configRead returns a history with two acknowledged changes, the second at base, and a read that returned a
// version.
func configRead(sent time.Duration, version int64) History {
	return History{
		Changes: []Change{{Version: 1, Acknowledged: ms}, {Version: 2, Acknowledged: base}},
		Reads:   []Read{{Sent: sent, Answered: sent + ms, Version: version}},
	}
}

// routed returns a history of a request on the moving route, which runs at a service. The route's target changes from
// service "old" to "new" at base. The last change, back to "old", is not acknowledged.
func routed(sent time.Duration, service string, status int) History {
	return History{
		Changes: []Change{
			{Version: 1, Acknowledged: ms, Target: "old"},
			{Version: 2, Sent: base - ms, Acknowledged: base, Target: "new"},
			{Version: 3, Sent: base + 10*time.Second, Target: "old"},
		},
		Requests: []Request{{ID: "m", Sent: sent, Ended: sent + 100*ms, Status: status,
			OwnResponse: true, MovingRoute: true}},
		Runs: []Run{{ID: "m", Upstream: 1, Arrived: sent + 10*ms, Ended: sent + 60*ms, Service: service}},
	}
}

// requestCutOffAt returns a history of a request whose connection ends at a moment while its upstream is running it.
func requestCutOffAt(cut time.Duration) History {
	return History{
		Requests: []Request{{ID: "cut", Sent: cut - 800*ms, Ended: cut}},
		Runs:     []Run{{ID: "cut", Upstream: 1, Arrived: cut - 790*ms, PlannedEnd: cut + 100*ms, Ended: cut}},
	}
}

var (
	termOfCaller      = []Disturbance{{Machine: 0, From: base - 50*ms, To: base + 500*ms, Cause: Termination}}
	hupOfCaller       = []Disturbance{{Machine: 0, From: base - time.Second, To: base - time.Second, Cause: Reload}}
	faultOfOther      = []Disturbance{{Machine: 1, From: base - time.Second, To: base - 900*ms}}
	faultOfCore       = []Disturbance{{Machine: Core, From: base - time.Second, To: base - 900*ms}}
	laterFaultOfOther = []Disturbance{{Machine: 1, From: base + time.Second, To: base + time.Second}}
	oldFault          = []Disturbance{{Machine: 1, From: base - 5*time.Second, To: base - 4*time.Second}}
)

// Check must find the violated guarantee in each history that violates one, and nothing in the other histories.
func TestCheckFindsViolations(t *testing.T) {
	write, read := answeredRequest("w", false, base, http.StatusOK), answeredRequest("r", true, base, http.StatusOK)
	rejected := answeredRequest("w", false, base, http.StatusServiceUnavailable)
	foreign := read
	foreign.OwnResponse = false
	late := History{}
	for i := range minLate {
		late.Requests = append(late.Requests, Request{
			ID: fmt.Sprint("late", i), Sent: base, Ended: base + 1600*ms, Status: http.StatusGatewayTimeout,
			OwnResponse: true,
		})
	}
	onTime := late
	onTime.Requests = nil
	for _, r := range late.Requests {
		r.Ended = base + 1400*ms
		onTime.Requests = append(onTime.Requests, r)
	}
	arrivesLate := abandoned(minCases, base, 0, true)
	for i := range arrivesLate.Runs {
		arrivesLate.Runs[i].Arrived = base + 700*ms
	}
	lagging := func(h History, from, to time.Duration) History {
		h.Lags = []Lag{{from, to}}
		return h
	}
	crossedLate := merge(termOfCaller, History{Requests: lost(1, base, 300*ms).Requests})
	for name, test := range map[string]struct {
		history History
		want    Promise // "": no violation
	}{
		"nothing": {History{}, ""},
		"one run each": {
			History{Requests: []Request{write, read}, Runs: []Run{runOf("w", base), runOf("r", base)}}, "",
		},
		"idempotent, two runs": {
			History{Requests: []Request{read}, Runs: []Run{runOf("r", base), runOf("r", base+ms)}}, "",
		},
		"unsafe, two runs": {
			History{Requests: []Request{write}, Runs: []Run{runOf("w", base), runOf("w", base+ms)}}, RunsOnce,
		},
		"rejected, no run": {History{Requests: []Request{rejected}}, ""},
		"rejected and ran": {
			History{Requests: []Request{rejected}, Runs: []Run{runOf("w", base)}}, RejectedNeverRan,
		},
		"response of another":     {History{Requests: []Request{foreign}, Runs: []Run{runOf("r", base)}}, OwnAnswer},
		"success without a run":   {History{Requests: []Request{read}}, OwnAnswer},
		"success of a failed run": {History{Requests: []Request{read}, Runs: []Run{failedRunOf(read.ID)}}, OwnAnswer},

		"lost at SIGTERM": {merge(termOfCaller, lost(1, base, 100*ms)), NothingLost},
		"not forwarded, crossed the close": {
			merge(termOfCaller, History{Requests: lost(1, base, 100*ms).Requests}), "",
		},
		"not forwarded, ended late": {
			merge(termOfCaller, History{Requests: lost(1, base, 300*ms).Requests}), NothingLost,
		},
		"lost at SIGTERM near a fault":       {merge(append(faultOfOther, termOfCaller...), lost(1, base, 100*ms)), ""},
		"lost at SIGTERM, core fault":        {merge(append(faultOfCore, termOfCaller...), lost(1, base, 100*ms)), ""},
		"lost at SIGTERM, at its time-out":   {merge(termOfCaller, lost(1, base, time.Second)), ""},
		"lost after a reload":                {merge(hupOfCaller, lost(1, base, 100*ms)), NothingLost},
		"cut off in last sixth of the grace": {merge(termBefore(1700*ms), requestCutOffAt(base)), ""},
		"cut off before the last sixth":      {merge(termBefore(1600*ms), requestCutOffAt(base)), NothingLost},
		"cut off soon after the SIGTERM of the next process": {
			merge([]Disturbance{
				{Machine: 0, From: base - 2700*ms, To: base - 900*ms, Cause: Termination},
				{Machine: 0, From: base - 300*ms, To: base + 100*ms, Cause: Termination},
			}, requestCutOffAt(base)), NothingLost,
		},
		"cut off in the last sixth, SIGTERM of the next process at once": {
			merge([]Disturbance{
				{Machine: 0, From: base - 1700*ms, To: base - ms, Cause: Termination},
				{Machine: 0, From: base - ms, To: base + 100*ms, Cause: Termination},
			}, requestCutOffAt(base)), "",
		},
		"three lost at rest":                  {merge(nil, lost(3, base, 100*ms)), ""},
		"four lost at rest":                   {merge(nil, lost(4, base, 100*ms)), NothingLost},
		"four lost long after a fault":        {merge(oldFault, lost(4, base, 100*ms)), NothingLost},
		"four lost near a fault":              {merge(faultOfOther, lost(4, base, 100*ms)), ""},
		"late responses":                      {late, AnsweredInTime},
		"late responses, core fault":          {merge(faultOfCore, late), ""},
		"responses soon after their time-out": {onTime, ""},

		"altered on its way": {
			History{Requests: []Request{read}, Runs: []Run{{ID: "r", Upstream: 1, Altered: true}}}, Unchanged,
		},
		"read of the newest version":    {configRead(base+3*time.Second, 2), ""},
		"read soon after a change":      {configRead(base+time.Second, 1), ""},
		"late read of an older version": {configRead(base+3*time.Second, 1), NewestConfig},

		"runs at the new service":      {routed(base+3*time.Second, "new", http.StatusOK), ""},
		"runs at the old service soon": {routed(base+1900*ms, "old", http.StatusOK), ""},
		"runs at the old service late": {routed(base+2100*ms, "old", http.StatusOK), NewestRouting},
		"runs at the old service near a fault": {
			withDisturbances(termOfCaller, routed(base+2100*ms, "old", http.StatusOK)), "",
		},
		"runs at the target of an unacknowledged change": {routed(base+11*time.Second, "old", http.StatusOK), ""},
		"no route": {routed(base+2100*ms, "new", http.StatusNotFound), NewestRouting},

		"sent to a draining upstream soon":             {drained(1900 * ms), ""},
		"sent to a draining upstream late":             {drained(2100 * ms), DrainingGetsNothing},
		"sent to a draining upstream near a fault":     {withDisturbances(laterFaultOfOther, drained(2100*ms)), ""},
		"sent to a draining upstream, read with a lag": {lagging(drained(2100*ms), base+2*time.Second, base+2050*ms), ""},

		"abandoned runs end":          {abandoned(20, base, 400*ms, true), ""},
		"abandoned runs continue":     {abandoned(minCases, base, 600*ms, true), AbandonedEnds},
		"few abandoned runs continue": {abandoned(minCases-1, base, 600*ms, true), ""},
		"a quarter continues": {
			merge(nil, abandoned(12, base, 0, true), abandoned(4, base+ms, 600*ms, true)), "",
		},
		"over a quarter continues": {
			merge(nil, abandoned(11, base, 0, true), abandoned(4, base+ms, 600*ms, true)), AbandonedEnds,
		},
		"abandoned runs, not idempotent, continue": {abandoned(20, base, 600*ms, false), ""},
		"abandoned runs after a reload": {
			merge(hupOfCaller, abandoned(minCases, base, 600*ms, true)), AbandonedEnds,
		},
		"abandoned runs near a fault":          {merge(faultOfOther, abandoned(20, base, 600*ms, true)), ""},
		"abandoned requests arrive much later": {arrivesLate, AbandonedEnds},

		"arrivals recorded after a lag":       {lagging(arrivesLate, base+200*ms, base+650*ms), ""},
		"late arrivals, lag before":           {lagging(arrivesLate, base-200*ms, base+50*ms), AbandonedEnds},
		"connection end recorded after a lag": {lagging(crossedLate, base+100*ms, base+250*ms), ""},
		"connection end, lag before":          {lagging(crossedLate, base-200*ms, base-ms), NothingLost},
		"forwarded and lost near a lag": {
			lagging(merge(termOfCaller, lost(1, base, 100*ms)), base, base+90*ms), NothingLost,
		},
	} {
		t.Run(name, func(t *testing.T) {
			found := test.history.Check(testRules).Findings
			switch {
			case test.want == "" && len(found) > 0:
				t.Errorf("findings %+v, want none", found)
			case test.want != "" && (len(found) == 0 || found[0].Promise != test.want):
				t.Errorf("findings %+v, want the first one to be %s", found, test.want)
			}
		})
	}
}

// A schedule depends on its seed only, stays within its bounds, has no faults for half of the seeds, and all kinds of
// events are drawn often enough.
func TestDrawnSchedules(t *testing.T) {
	const length, sidecars = 20 * time.Second, 12
	kinds := map[Kind]int{}
	for seed := range uint64(100) {
		events := Draw(seed, length, sidecars)
		if fmt.Sprint(events) != fmt.Sprint(Draw(seed, length, sidecars)) {
			t.Fatalf("seed %d: two calls of Draw returned different schedules", seed)
		}
		for _, e := range events {
			kinds[e.Kind]++
			if e.At >= length-quietTail || len(e.Sidecars) > sidecars {
				t.Errorf("seed %d: event %+v is out of bounds", seed, e)
			}
			if seed%faultFreeSeedDivisor == 0 && (e.Kind == Kill || e.Kind == Freeze || e.Kind == KillCoreMember) {
				t.Errorf("seed %d: %+v is a fault in a schedule without faults", seed, e)
			}
		}
	}
	for _, kind := range append(plannedKinds, faultKinds...) {
		if kinds[kind] < 10 {
			t.Errorf("%d events of kind %s in 100 seeds, want at least 10", kinds[kind], kind)
		}
	}
}

func TestDrawnPauses(t *testing.T) {
	const length, sidecars = 20 * time.Second, 12
	long := 0
	for seed := range uint64(50) {
		events := DrawPauses(seed, length, sidecars)
		if len(events) == 0 || fmt.Sprint(events) != fmt.Sprint(DrawPauses(seed, length, sidecars)) {
			t.Fatalf("seed %d: DrawPauses returned no events, or different events in two calls", seed)
		}
		for _, e := range events {
			if e.At >= length-quietTail || e.Kind != Pauses || e.Count < minPauses || e.Gap < minPauseGap || e.For == 0 {
				t.Errorf("seed %d: event %+v is out of bounds", seed, e)
			}
			if e.For >= time.Second {
				long++
			}
		}
	}
	if long < 50 {
		t.Errorf("%d series with pauses of 1 s or longer in 50 seeds, want at least 50", long)
	}
}
