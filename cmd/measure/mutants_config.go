package main

// watchMutants are faults in how a sidecar keeps its session with the core and knows how old its configuration is.
var watchMutants = []mutant{
	{"wire.go", "slowLinkTimeout = 4 * time.Second", "slowLinkTimeout = time.Second",
		"a link on which a round trip takes a second ends every session"},
	{"client_watchdog.go", "\t\td.onSilence()\n", "", "a member that falls silent is waited for"},
	{"client_lease.go", "\t\tcase <-lateTimer.C:\n\t\t\tlateTimer.Reset(lateRenewalThreshold)\n", "",
		"a member that does not hear the sidecar keeps it"},
	{"client_contact.go", "response.CaughtUp || response.Version > 0 && applied >= response.Version",
		"response.CaughtUp", "a change that comes before the answer unconfirms the one applied"},
	{"client_contact.go", "response.Version > 0 && applied >= response.Version", "response.Version > 0",
		"an older configuration counts as confirmed"},
	{"client_contact.go", "if !contact.OK || !caughtUp || contact.Age < 0 {", "if !caughtUp || contact.Age < 0 {",
		"a member without contact confirms"},
}

// verificationMutants are faults in what a gate does with attempts of an outdated sidecar.
var verificationMutants = []mutant{
	{"verification.go", "current.Version() > attempt.AdmittedVersion && !allows(", "false && !allows(",
		"a gate runs what its newer configuration does not allow"},
	{"verification.go", "\tv.versions.observe(now, attempt.AdmittedVersion)\n", "", "a gate does not learn from attempts"},
	{"known_versions.go", "\tif age, ok := contactAge(); ok {\n\t\tk.discardObservedUntil(now - age)\n\t}\n", "",
		"one sidecar's word shuts others out, whatever the core says"},
	{"verification.go", "return tenant != nil && tenant.Name == name", "return tenant != nil || name != \"\"",
		"a key that has been taken away is used"},
	{"verification.go", "return v.maxOutdated > 0 && v.versions", "return false && v.versions",
		"what can't be checked runs at the sidecar's own upstream"},
	{"outbound.go", "if o.versions.isOutdated(o.clock.Now(), ", "if false && o.versions.isOutdated(o.clock.Now(), ",
		"a sidecar that knows that it is outdated answers 404"},
	{"known_versions.go", "if known.version > version {", "if known.version >= version {",
		"the newest version counts as outdated"},
}

// retryMutants are faults in what a balancer does after an attempt.
var retryMutants = []mutant{
	{"retry.go", "\tcase headers.ConfigOutdated: // every gate that knows the newest configuration rejects it\n" +
		"\t\tb.giveUp(r)\n\t\treturn\n", "\tcase headers.ConfigOutdated:\n\t\treached = false\n",
		"a request that no newer configuration allows is sent to every gate"},
}
