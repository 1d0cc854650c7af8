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

// maxOutdatedFraction is the fraction of configApplyS for which requests may be admitted by a configuration that is
// known to be outdated. It is below 1 because configApplyS starts at the change's acknowledgement, and it takes time
// until a sidecar observes the new version.
const maxOutdatedFraction = 0.5

// verifier checks at the gate that the current configuration allows the attempts that other sidecars have admitted,
// because those sidecars may not have received it yet. A nil verifier accepts every attempt.
type verifier struct {
	config   *atomic.Pointer[config.Snapshot]
	versions *knownVersions
	// contactAge is watch.Client.ContactAge.
	contactAge func() (age time.Duration, ok bool)
	service    string // of the local upstream
	clock      clock.Clock
	// maxOutdated is how long attempts are accepted after a version was observed that is newer than both the
	// attempt's version and this sidecar's. 0: there is no limit.
	maxOutdated time.Duration
	rejected    atomic.Int64 // number of attempts rejected so far
}

func (s *Sidecar) newVerifier() *verifier {
	return &verifier{
		config: &s.config, versions: &s.knownVersions, contactAge: s.watchClient.ContactAge,
		service: s.settings.Self.ServiceName, clock: s.clock,
		maxOutdated: time.Duration(maxOutdatedFraction * float64(s.settings.Guarantees.Bounds.ConfigApply)),
	}
}

// check rejects an attempt that a newer configuration than its caller's does not allow. It also rejects an attempt if
// both its configuration and this sidecar's have been known to be outdated for longer than maxOutdated. A rejected
// attempt has not been executed.
func (v *verifier) check(h *h1.Head) *fronthttp1.Rejection {
	if v == nil {
		return nil
	}
	attempt, ok := headers.ParseAttemptConfig(h)
	if !ok {
		return nil // the caller's sidecar runs a release without this field
	}
	now := v.clock.Now()
	v.versions.observe(now, attempt.AdmittedVersion)
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

// outdatedTooLong reports whether a version has been known to be outdated for longer than maxOutdated, so that requests
// must not be admitted by it any more.
func (v *verifier) outdatedTooLong(now time.Duration, version int64) bool {
	return v.maxOutdated > 0 && v.versions.isOutdated(now, version, v.maxOutdated, v.contactAge)
}

// setConfigVersion states in a response's header which configuration version this sidecar applies.
func (v *verifier) setConfigVersion(fields http.Header) {
	version := int64(0)
	if v != nil {
		version = v.config.Load().Version()
	}
	headers.SetConfigVersion(fields, version)
}

// allows reports whether a configuration allows a service to run a request that another sidecar has admitted. If the
// attempt includes a key digest, the key must belong to the attempt's tenant; otherwise the tenant must exist.
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
