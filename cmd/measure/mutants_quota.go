package main

// quotaMutants are faults in how tenants' limits are kept by all sidecars together.
var quotaMutants = []mutant{
	{"tenant_bucket.go", "\t\tfloorSeconds: floorSeconds,\n",
		"\t\tfloor: math.Inf(1), floorSeconds: floorSeconds,\n",
		"a new process, or a tenant that comes back, has a full floor"},
	{"floor_lease.go", "leaseState{until: now + legacyFloorLease,", "leaseState{until: now,",
		"a floor fills while a lease of the process before it still counts"},
	{"floor_lease.go", "\ts.extend(now)\n\treturn", "\treturn",
		"a limiter leaves its floor only once the response arrives"},
	{"contact.go", "sentAt := min(lease.Clock+lease.Elapsed, now)", "sentAt := now",
		"a lease counts from its arrival"},
	{"contact.go", "lease == nil || lease.Epoch != epoch", "lease == nil",
		"a lease that repeats another leader's clock counts"},
	{"allocator.go", "return elapsed*(1-floorRateFraction) + min(elapsed, leased)*floorRateFraction",
		"return elapsed", "the allocator spends floors that nobody has leased to it"},
	{"allocator.go", "\t\tt.reset(a.flow(t))\n", "\t\t_ = t\n", "a new epoch keeps the tokens of the last"},
	{"allocator.go", "\tclear(a.contacts)\n", "", "a new epoch keeps the leases of the last"},
	{"plan.go", "\t\treturn plan{rate: limit.Rate}", "\t\treturn r.plan(limit, 3)",
		"a limiter that knows no number of members has a floor"},
	{"limiter.go", "\tif now >= expires {\n\t\treturn\n\t}\n",
		"\tif now >= expires {\n\t\texpires = now + TokenTTL\n\t}\n",
		"tokens that come late count"},
	{"planner.go", "return max(p.members.at(now), p.peerMembers)", "return p.members.at(now)",
		"each side divides by its own number of members"},
	{"limiter.go", "inContact := t.peerDefersToo && now <= l.inContactUntil", "inContact := now <= l.inContactUntil",
		"a limiter reports to an allocator that grants"},
}
