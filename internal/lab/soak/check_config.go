package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// newestDue is the newest version that has to be in force at a moment, 0: there is none.
func (c *checker) newestDue(moment time.Duration) (version int64) {
	for _, change := range c.Changes {
		if change.Acknowledged > 0 && change.Acknowledged+c.rules.ConfigApply < moment {
			version = max(version, change.Version)
		}
	}
	return version
}

// checkReads judges reads of the configuration, at machines in contact or not: none that was sent long enough after
// an acknowledgement shows an older version.
func (c *checker) checkReads() {
	for _, read := range c.Reads {
		newest := c.newestDue(read.Sent)
		if newest == 0 {
			continue
		}
		c.verdict.Judged[NewestConfig]++
		if read.Version < newest {
			c.verdict.Findings = append(c.verdict.Findings, Finding{
				Promise: NewestConfig, At: read.Answered,
				Text: fmt.Sprintf("sidecar %d answered version %d, %d was acknowledged over %v before",
					read.Sidecar, read.Version, newest, c.rules.ConfigApply),
			})
		}
	}
}

// checkRouting judges the requests on the route that moves, at machines in contact: each runs where a version says
// that may be in force.
func (c *checker) checkRouting() {
	for i := range c.Requests {
		r := &c.Requests[i]
		if !r.Moves || !c.inContact(c.rules, r.Sent, max(r.Sent, r.Ended), r.Sidecar) {
			continue
		}
		due := c.newestDue(r.Sent)
		if due == 0 {
			continue
		}
		c.verdict.Judged[NewestRouting]++
		if r.Status == http.StatusNotFound {
			c.report(NewestRouting, r, r.Ended, "sidecar %d knows no route for it", r.Sidecar)
		}
		for _, run := range c.runs[r.ID] {
			if !c.mayRunAt(run.Service, due, run.Arrived) {
				c.report(NewestRouting, r, run.Arrived, "sidecar %d had it run at %s, which version %d no longer allows; sent at %v",
					r.Sidecar, run.Service, due, r.Sent)
			}
		}
	}
}

// mayRunAt reports whether a version that may be in force by a moment, none older than due, lets the route that moves
// go to a service.
func (c *checker) mayRunAt(service string, due int64, moment time.Duration) bool {
	return slices.ContainsFunc(c.Changes, func(change Change) bool {
		return change.Version >= due && change.Sent <= moment && change.Target == service
	})
}
