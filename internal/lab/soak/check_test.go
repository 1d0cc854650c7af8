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

// sent is a request of sidecar 0 that was answered.
func sent(id string, idempotent bool, at time.Duration, status int) Request {
	return Request{ID: id, Idempotent: idempotent, Sent: at, Ended: at + 100*ms, Status: status, Own: true}
}

// ran is its run at upstream 1.
func ran(id string, at time.Duration) Run {
	return Run{ID: id, Upstream: 1, Arrived: at, Planned: at + 50*ms, Ended: at + 50*ms}
}

// unansweredAt is a request of sidecar 0 whose connection ended without a response, and its run.
func unansweredAt(id string, at, after time.Duration) (Request, Run) {
	return Request{ID: id, Sent: at, Ended: at + after}, ran(id, at+10*ms)
}

// abandoned are so many requests whose clients left after 100 ms, and runs that go on for so long after that,
// where they would last for 2 s.
func abandoned(count int, at, goOn time.Duration, idempotent bool) (h History) {
	for i := range count {
		id := fmt.Sprint("left", at, i)
		h.Requests = append(h.Requests, Request{ID: id, Idempotent: idempotent, Sent: at, Left: at + 100*ms})
		h.Runs = append(h.Runs, Run{
			ID: id, Upstream: 1, Arrived: at + 10*ms, Planned: at + 2*time.Second, Ended: at + 100*ms + goOn,
		})
	}
	return h
}

// join is a history of several, with disturbances.
func join(disturbances []Disturbance, all ...History) (h History) {
	h.Disturbances = disturbances
	for _, one := range all {
		h.Requests = append(h.Requests, one.Requests...)
		h.Runs = append(h.Runs, one.Runs...)
	}
	return h
}

// drained is a request that reaches an upstream so long after the acknowledgement that it drains.
func drained(after time.Duration) History {
	return History{
		Drains:   []Drain{{Instance: "i-1-0", Acknowledged: at}},
		Requests: []Request{{ID: "d", Idempotent: true, Sent: at + after - ms, Ended: at + after + 50*ms, Status: 200, Own: true}},
		Runs:     []Run{{ID: "d", Upstream: 1, Arrived: at + after, Ended: at + after + 40*ms, Instance: "i-1-0"}},
	}
}

// beside is a history with disturbances.
func beside(disturbances []Disturbance, h History) History {
	h.Disturbances = disturbances
	return h
}

// lost are so many requests with runs and without responses.
func lost(count int, at, after time.Duration) (h History) {
	for i := range count {
		r, run := unansweredAt(fmt.Sprint("lost", i), at, after)
		h.Requests, h.Runs = append(h.Requests, r), append(h.Runs, run)
	}
	return h
}

const at = 10 * time.Second

// earlyTerm is a SIGTERM of sidecar 0 so long before a moment at which runningUntilCut is cut.
func earlyTerm(before time.Duration) []Disturbance {
	return []Disturbance{{Machine: 0, From: at - before, To: at, Cause: Termination}}
}

// reads are two changes, the second at a moment, and a read of a version.
func reads(sent time.Duration, version int64) History {
	return History{
		Changes: []Change{{Version: 1, Acknowledged: ms}, {Version: 2, Acknowledged: at}},
		Reads:   []Read{{Sent: sent, Answered: sent + ms, Version: version}},
	}
}

// routed is a request on the route that moves, from service "old" to "new" at a moment, which runs at a service. The
// last change, back to "old", has no clear answer.
func routed(sent time.Duration, service string, status int) History {
	return History{
		Changes: []Change{
			{Version: 1, Acknowledged: ms, Target: "old"},
			{Version: 2, Sent: at - ms, Acknowledged: at, Target: "new"},
			{Version: 3, Sent: at + 10*time.Second, Target: "old"},
		},
		Requests: []Request{{ID: "m", Sent: sent, Ended: sent + 100*ms, Status: status, Own: true, Moves: true}},
		Runs:     []Run{{ID: "m", Upstream: 1, Arrived: sent + 10*ms, Ended: sent + 60*ms, Service: service}},
	}
}

// runningUntilCut is a request whose connection ends at a moment, while its upstream works.
func runningUntilCut(cut time.Duration) History {
	return History{
		Requests: []Request{{ID: "cut", Sent: cut - 800*ms, Ended: cut}},
		Runs:     []Run{{ID: "cut", Upstream: 1, Arrived: cut - 790*ms, Planned: cut + 100*ms, Ended: cut}},
	}
}

var (
	termOfCaller      = []Disturbance{{Machine: 0, From: at - 50*ms, To: at + 500*ms, Cause: Termination}}
	hupOfCaller       = []Disturbance{{Machine: 0, From: at - time.Second, To: at - time.Second, Cause: Reload}}
	faultOfOther      = []Disturbance{{Machine: 1, From: at - time.Second, To: at - 900*ms}}
	faultOfCore       = []Disturbance{{Machine: Core, From: at - time.Second, To: at - 900*ms}}
	laterFaultOfOther = []Disturbance{{Machine: 1, From: at + time.Second, To: at + time.Second}}
	oldFault          = []Disturbance{{Machine: 1, From: at - 5*time.Second, To: at - 4*time.Second}}
)

// Histories that keep all promises, and ones that break one, are told apart.
func TestCheckTellsHistoriesApart(t *testing.T) {
	write, read := sent("w", false, at, http.StatusOK), sent("r", true, at, http.StatusOK)
	rejected := sent("w", false, at, http.StatusServiceUnavailable)
	foreign := read
	foreign.Own = false
	late := History{}
	for i := range minLate {
		late.Requests = append(late.Requests, Request{
			ID: fmt.Sprint("late", i), Sent: at, Ended: at + 1600*ms, Status: http.StatusGatewayTimeout, Own: true,
		})
	}
	onTime := late
	onTime.Requests = nil
	for _, r := range late.Requests {
		r.Ended = at + 1400*ms
		onTime.Requests = append(onTime.Requests, r)
	}
	arrivesLate := abandoned(minCases, at, 0, true)
	for i := range arrivesLate.Runs {
		arrivesLate.Runs[i].Arrived = at + 700*ms
	}
	lagging := func(h History, from, to time.Duration) History {
		h.Lags = []Lag{{from, to}}
		return h
	}
	crossedLate := join(termOfCaller, History{Requests: lost(1, at, 300*ms).Requests})
	for name, test := range map[string]struct {
		history History
		want    Promise // "": all are kept
	}{
		"nothing":                {History{}, ""},
		"one run each":           {History{Requests: []Request{write, read}, Runs: []Run{ran("w", at), ran("r", at)}}, ""},
		"idempotent, two runs":   {History{Requests: []Request{read}, Runs: []Run{ran("r", at), ran("r", at+ms)}}, ""},
		"unsafe, two runs":       {History{Requests: []Request{write}, Runs: []Run{ran("w", at), ran("w", at+ms)}}, RunsOnce},
		"rejected, no run":       {History{Requests: []Request{rejected}}, ""},
		"rejected and ran":       {History{Requests: []Request{rejected}, Runs: []Run{ran("w", at)}}, RejectedNeverRan},
		"foreign response":       {History{Requests: []Request{foreign}, Runs: []Run{ran("r", at)}}, OwnAnswer},
		"success of no upstream": {History{Requests: []Request{read}}, OwnAnswer},

		"lost at SIGTERM":                    {join(termOfCaller, lost(1, at, 100*ms)), NothingLost},
		"not passed on, crossed the close":   {join(termOfCaller, History{Requests: lost(1, at, 100*ms).Requests}), ""},
		"not passed on, ended late":          {join(termOfCaller, History{Requests: lost(1, at, 300*ms).Requests}), NothingLost},
		"lost at SIGTERM beside a fault":     {join(append(faultOfOther, termOfCaller...), lost(1, at, 100*ms)), ""},
		"lost at SIGTERM, core fault":        {join(append(faultOfCore, termOfCaller...), lost(1, at, 100*ms)), ""},
		"lost at SIGTERM, at its time-out":   {join(termOfCaller, lost(1, at, time.Second)), ""},
		"lost after a reload":                {join(hupOfCaller, lost(1, at, 100*ms)), NothingLost},
		"cut in the last sixth of the grace": {join(earlyTerm(1700*ms), runningUntilCut(at)), ""},
		"cut before the last sixth":          {join(earlyTerm(1600*ms), runningUntilCut(at)), NothingLost},
		"cut soon after the SIGTERM of the next process": {
			join([]Disturbance{
				{Machine: 0, From: at - 2700*ms, To: at - 900*ms, Cause: Termination},
				{Machine: 0, From: at - 300*ms, To: at + 100*ms, Cause: Termination},
			}, runningUntilCut(at)), NothingLost,
		},
		"cut in the last sixth, the next process told at once": {
			join([]Disturbance{
				{Machine: 0, From: at - 1700*ms, To: at - ms, Cause: Termination},
				{Machine: 0, From: at - ms, To: at + 100*ms, Cause: Termination},
			}, runningUntilCut(at)), "",
		},
		"three lost at rest":                  {join(nil, lost(3, at, 100*ms)), ""},
		"four lost at rest":                   {join(nil, lost(4, at, 100*ms)), NothingLost},
		"four lost long after a fault":        {join(oldFault, lost(4, at, 100*ms)), NothingLost},
		"four lost beside a fault":            {join(faultOfOther, lost(4, at, 100*ms)), ""},
		"late responses":                      {late, AnsweredInTime},
		"late responses, core fault":          {join(faultOfCore, late), ""},
		"responses soon after their time-out": {onTime, ""},

		"changed on its way": {
			History{Requests: []Request{read}, Runs: []Run{{ID: "r", Upstream: 1, Changed: true}}}, Unchanged,
		},
		"reads of the newest":             {reads(at+3*time.Second, 2), ""},
		"a read soon after a change":      {reads(at+time.Second, 1), ""},
		"a read of an older version late": {reads(at+3*time.Second, 1), NewestConfig},

		"runs at the new service":                {routed(at+3*time.Second, "new", http.StatusOK), ""},
		"runs at the old service soon":           {routed(at+1900*ms, "old", http.StatusOK), ""},
		"runs at the old service late":           {routed(at+2100*ms, "old", http.StatusOK), NewestRouting},
		"runs at the old service beside a fault": {beside(termOfCaller, routed(at+2100*ms, "old", http.StatusOK)), ""},
		"runs where an unclear change says":      {routed(at+11*time.Second, "old", http.StatusOK), ""},
		"no route":                               {routed(at+2100*ms, "new", http.StatusNotFound), NewestRouting},

		"sent to a draining upstream soon":             {drained(1900 * ms), ""},
		"sent to a draining upstream late":             {drained(2100 * ms), DrainingGetsNothing},
		"sent to a draining upstream beside a fault":   {beside(laterFaultOfOther, drained(2100*ms)), ""},
		"sent to a draining upstream, read with a lag": {lagging(drained(2100*ms), at+2*time.Second, at+2050*ms), ""},

		"abandoned runs end":               {abandoned(20, at, 400*ms, true), ""},
		"abandoned runs go on":             {abandoned(minCases, at, 600*ms, true), AbandonedEnds},
		"few abandoned runs go on":         {abandoned(minCases-1, at, 600*ms, true), ""},
		"a quarter goes on":                {join(nil, abandoned(12, at, 0, true), abandoned(4, at+ms, 600*ms, true)), ""},
		"over a quarter goes on":           {join(nil, abandoned(11, at, 0, true), abandoned(4, at+ms, 600*ms, true)), AbandonedEnds},
		"what must not run twice goes on":  {abandoned(20, at, 600*ms, false), ""},
		"abandoned runs after a reload":    {join(hupOfCaller, abandoned(minCases, at, 600*ms, true)), AbandonedEnds},
		"abandoned runs beside a fault":    {join(faultOfOther, abandoned(20, at, 600*ms, true)), ""},
		"abandoned ones arrive much later": {arrivesLate, AbandonedEnds},

		"arrivals that the measuring process read late": {lagging(arrivesLate, at+200*ms, at+650*ms), ""},
		"late arrivals, it lagged before":               {lagging(arrivesLate, at-200*ms, at+50*ms), AbandonedEnds},
		"an end that the measuring process saw late":    {lagging(crossedLate, at+100*ms, at+250*ms), ""},
		"an end seen late, it lagged before":            {lagging(crossedLate, at-200*ms, at-ms), NothingLost},
		"passed on and lost beside a lag":               {lagging(join(termOfCaller, lost(1, at, 100*ms)), at, at+90*ms), NothingLost},
	} {
		t.Run(name, func(t *testing.T) {
			found := test.history.Check(testRules).Findings
			switch {
			case test.want == "" && len(found) > 0:
				t.Errorf("found %+v, want nothing", found)
			case test.want != "" && (len(found) == 0 || found[0].Promise != test.want):
				t.Errorf("found %+v, want %s", found, test.want)
			}
		})
	}
}

// A seed's schedule is the same each time, keeps its bounds, overlaps, and is without faults for half of the seeds.
func TestDrawnSchedules(t *testing.T) {
	const length, sidecars = 20 * time.Second, 12
	kinds := map[Kind]int{}
	for seed := range uint64(100) {
		events := Draw(seed, length, sidecars)
		if fmt.Sprint(events) != fmt.Sprint(Draw(seed, length, sidecars)) {
			t.Fatalf("seed %d has two schedules", seed)
		}
		for _, e := range events {
			kinds[e.Kind]++
			if e.At >= length-quietEnd || len(e.Sidecars) > sidecars {
				t.Errorf("seed %d: %+v is out of bounds", seed, e)
			}
			if seed%plannedOnlySeeds == 0 && (e.Kind == Kill || e.Kind == Freeze || e.Kind == KillCoreMember) {
				t.Errorf("seed %d: %+v is a fault", seed, e)
			}
		}
	}
	for _, kind := range append(planned, faults...) {
		if kinds[kind] < 10 {
			t.Errorf("%d events of %s in 100 seeds", kinds[kind], kind)
		}
	}
}

func TestDrawnPauses(t *testing.T) {
	const length, sidecars = 20 * time.Second, 12
	long := 0
	for seed := range uint64(50) {
		events := DrawPauses(seed, length, sidecars)
		if len(events) == 0 || fmt.Sprint(events) != fmt.Sprint(DrawPauses(seed, length, sidecars)) {
			t.Fatalf("seed %d has no schedule, or two", seed)
		}
		for _, e := range events {
			if e.At >= length-quietEnd || e.Kind != Pauses || e.Count < minPauses || e.Gap < minPauseGap || e.For == 0 {
				t.Errorf("seed %d: %+v is out of bounds", seed, e)
			}
			if e.For >= time.Second {
				long++
			}
		}
	}
	if long < 50 {
		t.Errorf("%d series of long pauses in 50 seeds", long)
	}
}
