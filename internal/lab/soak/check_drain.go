package soak

// checkDrains judges what reached upstreams that drain: nothing that machines in contact have sent on arrives later
// than drainTimeoutS after the acknowledgement, whoever gave it.
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
				c.report(DrainingGetsNothing, r, run.Arrived, "sent on by sidecar %d to %s, %v after the drain's time",
					r.Sidecar, run.Instance, late)
			}
		}
	}
}
