package soak

// checkDrains checks that no request forwarded by a machine in contact reaches a draining upstream more than
// drainTimeoutS after the drain was acknowledged, whichever machine acknowledged it.
func (c *checker) checkDrains() {
	drains := make(map[string]Drain, len(c.Drains))
	for _, d := range c.Drains {
		drains[d.Instance] = d
		c.verdict.Judged[DrainingGetsNothing]++
	}
	for i := range c.Requests {
		r := &c.Requests[i]
		for _, run := range c.runs[r.ID] {
			drain, draining := drains[run.Instance]
			if !draining || run.Arrived < drain.Acknowledged || c.lagged(drain.Acknowledged, run.Arrived) {
				continue
			}
			if !c.inContact(c.rules, run.Arrived, run.Arrived, r.Sidecar, run.Upstream) {
				continue
			}
			if late := run.Arrived - drain.Acknowledged - c.rules.DrainTimeout; late > 0 {
				c.report(DrainingGetsNothing, r, run.Arrived,
					"sidecar %d forwarded the request to draining instance %s, %v after the drain time-out",
					r.Sidecar, run.Instance, late)
			}
		}
	}
}
