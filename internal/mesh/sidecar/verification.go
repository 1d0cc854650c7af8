package sidecar

import (
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"caperarch/internal/mesh/config"
	"caperarch/internal/mesh/headers"
	"caperarch/internal/proxy/clock"
	fronthttp1 "caperarch/internal/proxy/front/http1"
	"caperarch/internal/proxy/h1"
)

// maxKnownOutdated is how long requests may be admitted by a configuration that is known not to be the newest, as a
// part of configApplyS: that runs from the acknowledgement, and hearing of the version takes time, too.
const maxKnownOutdated = 0.5

// verifier checks at the gate that the newest configuration allows what a caller's sidecar has admitted: that
// sidecar may not have heard of it yet. A nil verifier lets everything pass.
type verifier struct {
	config *atomic.Pointer[config.Snapshot]
	known  *knownVersions
	// contactAge is that of watch.Client.
	contactAge func() (age time.Duration, ok bool)
	service    string // of the upstream beside the gate
	clock      clock.Clock
	// maxOutdated is how long requests pass that no version here shows to be allowed, after a newer one than
	// theirs was heard of.
	maxOutdated time.Duration
	rejected    atomic.Int64 // attempts
}

func (s *Sidecar) newVerifier() *verifier {
	return &verifier{
		config: &s.config, known: &s.knownVersions, contactAge: s.watchClient.ContactAge,
		service: s.settings.Self.ServiceName, clock: s.clock,
		maxOutdated: time.Duration(maxKnownOutdated * float64(s.settings.Guarantees.Bounds.ConfigApply)),
	}
}

// check rejects an attempt that a newer configuration than its caller's doesn't allow, or whose configuration has been
// known to be outdated for too long while nothing newer is in force here. It hasn't run then.
func (v *verifier) check(h *h1.Head) *fronthttp1.Rejection {
	if v == nil {
		return nil
	}
	attempt, ok := headers.ParseAttemptConfig(h)
	if !ok {
		return nil // of an earlier release
	}
	now := v.clock.Now()
	v.known.observe(now, attempt.AdmittedVersion)
	current := v.config.Load()
	if current.Version() > attempt.AdmittedVersion && !allows(current, v.service, h, attempt.APIKeyDigest) {
		v.rejected.Add(1)
		return &fronthttp1.Rejection{
			Status: headers.StatusConfigOutdated, Reason: "a newer configuration does not allow it", KeepAlive: true,
		}
	}
	if v.outdatedTooLong(now, max(current.Version(), attempt.AdmittedVersion)) {
		v.rejected.Add(1)
		return &fronthttp1.Rejection{
			Status: http.StatusServiceUnavailable, Reason: "the configuration is outdated", KeepAlive: true,
		}
	}
	return nil
}

// outdatedTooLong reports whether a version has been known not to be the newest for so long that requests no longer
// go by it.
func (v *verifier) outdatedTooLong(now time.Duration, version int64) bool {
	return v.maxOutdated > 0 && v.known.isOutdated(now, version, v.maxOutdated, v.contactAge)
}

// setVersion says in a response by which version this sidecar goes.
func (v *verifier) setVersion(fields http.Header) {
	version := int64(0)
	if v != nil {
		version = v.config.Load().Version()
	}
	headers.SetConfigVersion(fields, version)
}

// allows reports whether a configuration lets a service run a request that another sidecar has admitted. The key is
// checked where the attempt names it.
func allows(c *config.Snapshot, service string, h *h1.Head, key config.KeyDigest) bool {
	route := c.Match(h.Host, h.Target)
	if route == nil || !slices.ContainsFunc(route.Targets, func(t config.Target) bool { return t.Service == service }) {
		return false
	}
	if !c.HasTenants() || route.Public {
		return true
	}
	name := h.Get(headers.Tenant)
	if key != "" {
		tenant := c.TenantOfDigest(key)
		return tenant != nil && tenant.Name == name
	}
	return slices.ContainsFunc(c.Tenants(), func(t *config.Tenant) bool { return t.Name == name })
}
