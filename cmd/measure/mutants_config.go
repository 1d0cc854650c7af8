package main

// watchMutants are faults in a sidecar's session with a core member and in its knowledge of its configuration's age.
var watchMutants = []mutant{
	{"wire.go", "slowLinkTimeout = 4 * time.Second", "slowLinkTimeout = time.Second",
		"a link on which a round trip takes a second ends every session"},
	{"client_watchdog.go", "\t\td.onSilence()\n", "",
		"a sidecar does not look for another core member when its watch is silent"},
	{"client_lease.go", "\t\tcase <-lateTimer.C:\n\t\t\tlateTimer.Reset(lateRenewalThreshold)\n", "",
		"a sidecar does not look for another core member while its renewal is late"},
	{"client_contact.go", "response.CaughtUp || response.Version > 0 && applied >= response.Version",
		"response.CaughtUp", "a change that arrives before the response makes the applied configuration unconfirmed"},
	{"client_contact.go", "response.Version > 0 && applied >= response.Version", "response.Version > 0",
		"an older configuration counts as confirmed"},
	{"client_contact.go", "if !contact.OK || !caughtUp || contact.Age < 0 {", "if !caughtUp || contact.Age < 0 {",
		"a core member without contact confirms the configuration"},
}

// verificationMutants are faults in how a gate handles attempts of a sidecar with an outdated configuration.
var verificationMutants = []mutant{
	{"verification.go", "current.Version() > attempt.AdmittedVersion && !allows(", "false && !allows(",
		"a gate accepts an attempt that its newer configuration does not allow"},
	{"verification.go", "\tv.versions.observe(now, attempt.AdmittedVersion)\n", "",
		"a gate does not learn newer versions from attempts"},
	{"known_versions.go", "\tif age, ok := contactAge(); ok {\n\t\tk.discardObservedUntil(now - age)\n\t}\n", "",
		"a version claimed by one sidecar counts although the core has not confirmed it"},
	{"verification.go", "return tenant != nil && tenant.Name == name", "return tenant != nil || name != \"\"",
		"an attempt with a revoked API key is accepted"},
	{"verification.go", "return v.maxOutdated > 0 && v.versions", "return false && v.versions",
		"requests are admitted although the configuration has been outdated for too long"},
	{"outbound.go", "if o.versions.isOutdated(o.clock.Now(), ", "if false && o.versions.isOutdated(o.clock.Now(), ",
		"a sidecar that knows that its configuration is outdated answers 404"},
	{"known_versions.go", "if known.version > version {", "if known.version >= version {",
		"the newest version counts as outdated"},
}

// retryMutants are faults in what a balancer does after a failed attempt.
var retryMutants = []mutant{
	{"retry.go", "\tcase headers.ConfigOutdated: // every gate that knows the newest configuration rejects it\n" +
		"\t\tb.giveUp(r)\n\t\treturn\n", "\tcase headers.ConfigOutdated:\n\t\treached = false\n",
		"a request that the newest configuration rejects is sent to every gate"},
}
