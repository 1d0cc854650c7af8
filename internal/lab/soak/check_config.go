package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// newestRequiredVersion returns the newest configuration version that has to be in force at a moment, 0 if there is
// none.
func (c *checker) newestRequiredVersion(moment time.Duration) (version int64) {
	for _, change := range c.Changes {
		if change.Acknowledged > 0 && change.Acknowledged+c.rules.ConfigApply < moment {
			version = max(version, change.Version)
		}
	}
	return version
}

// checkReads checks the configuration reads at all machines, in contact or not: a read that was sent over ConfigApply
// after an acknowledgement must not return an older version.
func (c *checker) checkReads() {
	for _, read := range c.Reads {
		newest := c.newestRequiredVersion(read.Sent)
		if newest == 0 {
			continue
		}
		c.verdict.Judged[NewestConfig]++
		if read.Version < newest {
			c.verdict.Findings = append(c.verdict.Findings, Finding{
				Promise: NewestConfig, At: read.Answered,
				Text: fmt.Sprintf(
					"sidecar %d returned configuration version %d, but version %d was acknowledged over %v earlier",
					read.Sidecar, read.Version, newest, c.rules.ConfigApply),
			})
		}
	}
}

// checkRouting checks the requests on the moving route at machines in contact: each runs at the service that is the
// route's target in a configuration version that may be in force.
func (c *checker) checkRouting() {
	for i := range c.Requests {
		r := &c.Requests[i]
		if !r.MovingRoute || !c.inContact(c.rules, r.Sent, max(r.Sent, r.Ended), r.Sidecar) {
			continue
		}
		due := c.newestRequiredVersion(r.Sent)
		if due == 0 {
			continue
		}
		c.verdict.Judged[NewestRouting]++
		if r.Status == http.StatusNotFound {
			c.report(NewestRouting, r, r.Ended, "sidecar %d has no route for the request", r.Sidecar)
		}
		for _, run := range c.runs[r.ID] {
			if !c.mayRunAt(run.Service, due, run.Arrived) {
				c.report(NewestRouting, r, run.Arrived,
					"sidecar %d sent it to service %s, which configuration version %d no longer allows; sent at %v",
					r.Sidecar, run.Service, due, r.Sent)
			}
		}
	}
}

// mayRunAt reports whether some configuration version from due on, which may be in force at a moment, has the service
// as the target of the moving route.
func (c *checker) mayRunAt(service string, due int64, moment time.Duration) bool {
	return slices.ContainsFunc(c.Changes, func(change Change) bool {
		return change.Version >= due && change.Sent <= moment && change.Target == service
	})
}
