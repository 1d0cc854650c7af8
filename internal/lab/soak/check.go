package soak

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// Promise is a guarantee of the mesh; a finding names the guarantee that a history violates.
type Promise string

// The guarantees that Check tests. The values are the names of the rules for operators; LATE and ROUTING are parts of
// the rule CONFIG.
const (
	RunsOnce         Promise = "TWICE"   // a request that is not idempotent ran more than once
	RejectedNeverRan Promise = "REFUSED" // a request ran although its response says that it was not executed
	OwnAnswer        Promise = "MIXED"   // a response belongs to another request
	NothingLost      Promise = "LOST"    // a connection ended before the response to a complete request was received
	AnsweredInTime   Promise = "LATE"    // no final response within 0.5 s after the route's time-out
	NewestConfig     Promise = "CONFIG"  // a configuration read returned an older version than an acknowledged one
	NewestRouting    Promise = "ROUTING" // a request was handled by the rules of an outdated configuration version
	// DrainingGetsNothing is violated by a request that reaches a draining upstream.
	DrainingGetsNothing Promise = "DRAIN"
	Unchanged           Promise = "UNASKED" // an upstream received a request with an altered path or body
	AbandonedEnds       Promise = "GONE"    // a request arrived, or kept running, after its client had left
)

// Promises lists all guarantees.
var Promises = []Promise{
	RunsOnce, RejectedNeverRan, OwnAnswer, NothingLost, AnsweredInTime, NewestConfig, NewestRouting,
	DrainingGetsNothing, Unchanged, AbandonedEnds,
}

const (
	// responseSlack is how long after the route's time-out a response may begin, and how long after its client has
	// left a request may arrive at an upstream or keep running there.
	responseSlack = 500 * time.Millisecond
	// minCases is the smallest number of cases that violate a guarantee about a share of requests; fewer cases may be
	// chance.
	minCases = 4
	// minLate is the smallest number of late responses that violate AnsweredInTime.
	minLate = 8
	// maxShare is the share of cases that may miss a guarantee about a share of requests.
	maxShare = 0.25
	// maxSentAfterStop is how long after SIGTERM a request may be sent and still be cut off when the process exits.
	maxSentAfterStop = 3 * time.Second
	// maxUnansweredAtRest is the number of forwarded requests whose connections a machine in contact may close without
	// a response.
	maxUnansweredAtRest = 3
)

// Finding is a violation of a guarantee, with the first request that shows it.
type Finding struct {
	Promise Promise
	Request string
	At      time.Duration
	Text    string
}

// Verdict is the result of checking a history.
type Verdict struct {
	Findings []Finding       // ordered by time; nil if all guarantees hold
	Judged   map[Promise]int // cases tested for each guarantee; 0 means that the history shows nothing about it
}

// checker tests a history. Its runs are indexed by request ID.
type checker struct {
	*History
	rules   Rules
	runs    map[string][]Run
	verdict Verdict
}

// Check tests a history against all guarantees.
func (h *History) Check(rules Rules) Verdict {
	c := &checker{
		History: h, rules: rules, runs: make(map[string][]Run), verdict: Verdict{Judged: make(map[Promise]int)},
	}
	for _, run := range h.Runs {
		c.runs[run.ID] = append(c.runs[run.ID], run)
	}
	for i := range h.Requests {
		r := &h.Requests[i]
		c.checkRuns(r)
		c.checkResponse(r)
		c.checkLossAtPlannedOperation(r)
	}
	c.checkLossAtRest()
	c.checkLate()
	c.checkAbandoned()
	c.checkReads()
	c.checkRouting()
	c.checkDrains()
	slices.SortStableFunc(c.verdict.Findings, func(a, b Finding) int { return cmp.Compare(a.At, b.At) })
	return c.verdict
}

func (c *checker) report(p Promise, r *Request, at time.Duration, format string, args ...any) {
	finding := Finding{Promise: p, Request: r.ID, At: at, Text: fmt.Sprintf(format, args...)}
	c.verdict.Findings = append(c.verdict.Findings, finding)
}

// checkRuns checks that upstreams received the request unaltered, and that a request that is not idempotent ran at most
// once, and not at all if its response says that it was not executed.
func (c *checker) checkRuns(r *Request) {
	runs := c.runs[r.ID]
	for _, run := range runs {
		c.verdict.Judged[Unchanged]++
		if run.Altered {
			c.report(Unchanged, r, run.Arrived,
				"upstream %d received a path or body that differs from the client's", run.Upstream)
		}
	}
	if r.Idempotent || len(runs) == 0 {
		return
	}
	c.verdict.Judged[RunsOnce]++
	if len(runs) > 1 {
		c.report(RunsOnce, r, runs[1].Arrived, "request that is not idempotent ran %d times", len(runs))
	}
	c.verdict.Judged[RejectedNeverRan]++
	switch r.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout,
		http.StatusMisdirectedRequest:
		c.report(RejectedNeverRan, r, r.Ended, "status %d says that the request was not executed, but it ran", r.Status)
	}
}

// checkResponse checks that a response belongs to the request and that an upstream produced each success.
func (c *checker) checkResponse(r *Request) {
	if r.Status != 0 {
		c.verdict.Judged[OwnAnswer]++
	}
	if r.Status != 0 && !r.OwnResponse {
		c.report(OwnAnswer, r, r.Ended, "response with status %d belongs to another request", r.Status)
	}
	succeeded := slices.ContainsFunc(c.runs[r.ID], func(run Run) bool { return !run.Failed })
	if r.Status/100 == 2 && !succeeded {
		c.report(OwnAnswer, r, r.Ended, "response with status %d reports success, but none of %d runs succeeded",
			r.Status, len(c.runs[r.ID]))
	}
}

// unanswered reports whether the connection of a request ended without a response while the client was waiting.
func unanswered(r *Request) bool { return r.Left == 0 && r.Status == 0 && r.Ended > 0 }

// involvedSidecars returns the numbers of the sidecars that a request went through.
func (c *checker) involvedSidecars(r *Request) []int {
	sidecars := []int{r.Sidecar}
	for _, run := range c.runs[r.ID] {
		sidecars = append(sidecars, run.Upstream)
	}
	return sidecars
}

// checkLossAtPlannedOperation checks that a request received its response although its sidecar was told to terminate or
// to reload. Requests near a fault are skipped.
func (c *checker) checkLossAtPlannedOperation(r *Request) {
	operation := c.plannedOperation(r)
	if r.Left > 0 || operation == nil || r.Ended-r.Sent >= c.rules.RouteTimeout || c.mayBeCutOff(r, operation) {
		return
	}
	for _, number := range append(c.involvedSidecars(r), int(Core)) {
		if c.faulty(Machine(number), r.Sent-c.rules.ContactWindow, r.Ended) {
			return
		}
	}
	forwarded, after := len(c.runs[r.ID]) > 0, r.Ended-r.Sent
	if !forwarded && c.lagged(r.Sent, r.Ended) {
		return // the client may have sent the request, or noticed the end of the connection, late by the lag
	}
	c.verdict.Judged[NothingLost]++
	if !unanswered(r) || !forwarded && after <= c.rules.LossSlack {
		return
	}
	sinceOperation := (r.Ended - operation.From).Round(time.Millisecond)
	c.report(NothingLost, r, r.Ended, "no response %v after the request was sent, near a planned operation that began "+
		"%v earlier; forwarded: %v%s", after.Round(time.Millisecond), sinceOperation, forwarded, c.describe(r))
}

// describe returns a text about the runs of a request and the disturbances of its sidecars near it.
func (c *checker) describe(r *Request) string {
	text := fmt.Sprintf("; sent to sidecar %d at %v, response head at %v", r.Sidecar, r.Sent, r.Begun)
	for _, run := range c.runs[r.ID] {
		text += fmt.Sprintf("; ran at upstream %d from %v to %v, planned end %v",
			run.Upstream, run.Arrived, run.Ended, run.PlannedEnd)
	}
	for _, d := range c.Disturbances {
		near := d.From <= r.Ended && d.To >= r.Sent-c.rules.ContactWindow
		if near && slices.Contains(c.involvedSidecars(r), int(d.Machine)) {
			text += fmt.Sprintf("; %s of machine %d from %v to %v", d.Cause, d.Machine, d.From, d.To)
		}
	}
	return text
}

// plannedOperation returns the planned operation during which a request was open: the first SIGTERM of the process that
// handled the request, or else the last reload of its sidecar. It returns nil if there was none.
func (c *checker) plannedOperation(r *Request) (operation *Disturbance) {
	for i := range c.Disturbances {
		d := &c.Disturbances[i]
		if d.Machine != Machine(r.Sidecar) || d.From > r.Ended {
			continue
		}
		switch {
		case d.Cause == Termination && d.To >= r.Sent && r.Ended <= d.From+c.rules.GracePeriod+time.Second:
			if operation == nil || operation.Cause == Reload || d.From < operation.From {
				operation = d
			}
		case d.Cause == Reload && r.Sent <= d.From+c.rules.ConfigApply:
			if operation == nil || operation.Cause == Reload && d.From > operation.From {
				operation = d
			}
		}
	}
	return operation
}

// mayBeCutOff reports whether a terminating process may end the connection of a request without a response: the request
// was sent at most maxSentAfterStop after the SIGTERM, and its upstream was still running it in the last sixth of the
// grace period.
func (c *checker) mayBeCutOff(r *Request, operation *Disturbance) bool {
	if operation.Cause != Termination || r.Sent > operation.From+maxSentAfterStop {
		return false
	}
	lastSixth := operation.From + c.rules.GracePeriod - c.rules.GracePeriod/6
	return slices.ContainsFunc(c.runs[r.ID], func(run Run) bool { return run.Ended >= lastSixth })
}

// checkLossAtRest checks that machines in contact don't end connections without a response to a request that they have
// forwarded.
func (c *checker) checkLossAtRest() {
	lost := make(map[int]int)
	for i := range c.Requests {
		r := &c.Requests[i]
		if !unanswered(r) || len(c.runs[r.ID]) == 0 ||
			!c.inContact(c.rules, r.Sent, r.Ended, c.involvedSidecars(r)...) {
			continue
		}
		if lost[r.Sidecar]++; lost[r.Sidecar] == maxUnansweredAtRest+1 {
			c.report(NothingLost, r, r.Ended,
				"sidecar %d ended %d connections without a response, with no disturbance near",
				r.Sidecar, lost[r.Sidecar])
		}
	}
}

// checkLate checks that a request whose final response had not begun at its route's time-out was answered soon after.
func (c *checker) checkLate() {
	due, late := 0, []*Request{}
	for i := range c.Requests {
		r := &c.Requests[i]
		final := r.Ended
		if r.Begun > 0 {
			final = r.Begun
		}
		if r.Left > 0 || final-r.Sent < c.rules.RouteTimeout ||
			!c.inContact(c.rules, r.Sent, final, c.involvedSidecars(r)...) {
			continue
		}
		due++
		c.verdict.Judged[AnsweredInTime]++
		if final-r.Sent > c.rules.RouteTimeout+responseSlack {
			late = append(late, r)
		}
	}
	if len(late) >= minLate && float64(len(late)) > maxShare*float64(due) {
		c.report(AnsweredInTime, late[0], late[0].Ended,
			"%d of %d requests that reached their time-out were answered over %v later",
			len(late), due, responseSlack)
	}
}

// checkAbandoned checks that an idempotent request neither arrives at an upstream nor keeps running there longer
// than responseSlack after its client has left.
func (c *checker) checkAbandoned() {
	var arrived, continued []*Request
	longRuns := 0
	for i := range c.Requests {
		r := &c.Requests[i]
		if r.Left == 0 || !r.Idempotent ||
			!c.inContact(c.rules, r.Left, r.Left+responseSlack, c.involvedSidecars(r)...) {
			continue
		}
		for _, run := range c.runs[r.ID] {
			if c.lagged(r.Left, max(run.Arrived, min(run.Ended, r.Left+responseSlack))) {
				continue // the upstream may have read the request, or noticed its end, late by the lag
			}
			if run.Arrived > r.Left+responseSlack {
				arrived = append(arrived, r)
			}
			if run.PlannedEnd <= r.Left+responseSlack {
				continue
			}
			c.verdict.Judged[AbandonedEnds]++
			if longRuns++; run.Ended > r.Left+responseSlack {
				continued = append(continued, r)
			}
		}
	}
	if len(arrived) >= minCases {
		c.report(AbandonedEnds, arrived[0], arrived[0].Left,
			"%d requests arrived at upstreams over %v after their clients had left",
			len(arrived), responseSlack)
	}
	if len(continued) >= minCases && float64(len(continued)) > maxShare*float64(longRuns) {
		c.report(AbandonedEnds, continued[0], continued[0].Left,
			"%d of %d runs continued after their clients had left",
			len(continued), longRuns)
	}
}
