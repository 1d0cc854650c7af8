package sidecar

import (
	"slices"
	"sync"
	"time"
)

// maxKnownVersions bounds the versions that are remembered. Once the list is full, a newer version replaces the
// newest entry, so that the oldest entries and the newest version remain.
const maxKnownVersions = 64

// knownVersions records the configuration versions that other sidecars apply, as their attempts and responses state.
// A sidecar applies only committed versions, so each of these is or was the committed configuration. The statements
// are not verified, so a later confirmation by a core machine refutes them. A nil pointer knows no version. It is safe
// for concurrent use.
type knownVersions struct {
	mu             sync.Mutex
	versions       []knownVersion // newer than appliedVersion, in ascending order; guarded by mu
	appliedVersion int64          // the version that this sidecar applies; guarded by mu
}

// knownVersion is a version and the time at which it was first observed.
type knownVersion struct {
	version    int64
	observedAt time.Duration
}

// observe records that another sidecar applies a version.
func (k *knownVersions) observe(now time.Duration, version int64) {
	if k == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if version <= k.newestLocked() {
		return
	}
	if len(k.versions) == maxKnownVersions {
		k.versions = k.versions[:maxKnownVersions-1]
	}
	k.versions = append(k.versions, knownVersion{version, now})
}

// recordApplied records that this sidecar applies a version.
func (k *knownVersions) recordApplied(version int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.appliedVersion = max(k.appliedVersion, version)
	for len(k.versions) > 0 && k.versions[0].version <= k.appliedVersion {
		k.versions = k.versions[1:]
	}
}

// discardObservedUntil drops the versions first observed at or before confirmedAt. A core machine in contact with a
// majority has confirmed that this sidecar had then applied all that was committed.
func (k *knownVersions) discardObservedUntil(confirmedAt time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.versions = slices.DeleteFunc(k.versions, func(known knownVersion) bool { return known.observedAt <= confirmedAt })
}

// isOutdated reports whether a newer version than the given one has been known for longer than tolerance and no
// confirmation by a core machine refutes it. contactAge is watch.Client.ContactAge.
func (k *knownVersions) isOutdated(
	now time.Duration, version int64, tolerance time.Duration, contactAge func() (age time.Duration, ok bool),
) bool {
	if k.outdatedFor(now, version) <= tolerance {
		return false
	}
	if age, ok := contactAge(); ok {
		k.discardObservedUntil(now - age)
	}
	return k.outdatedFor(now, version) > tolerance
}

// newest returns the newest version known to be committed, 0 if no version is known.
func (k *knownVersions) newest() int64 {
	if k == nil {
		return 0
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.newestLocked()
}

// newestLocked is newest for callers that hold k.mu.
func (k *knownVersions) newestLocked() int64 {
	if n := len(k.versions); n > 0 {
		return k.versions[n-1].version
	}
	return k.appliedVersion
}

// outdatedFor returns the time for which a newer version than the given one has been known, 0 if none is known.
func (k *knownVersions) outdatedFor(now time.Duration, version int64) time.Duration {
	if k == nil {
		return 0
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, known := range k.versions {
		if known.version > version {
			return max(now-known.observedAt, 1)
		}
	}
	return 0
}
