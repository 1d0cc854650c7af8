package sidecar

import (
	"slices"
	"sync"
	"time"
)

// maxKnownVersions bounds the versions that are remembered; of more, those between the first and the newest are
// dropped.
const maxKnownVersions = 64

// knownVersions are configuration versions that other sidecars go by, as their attempts and responses say: each is
// in place, or was, as no sidecar goes by one that isn't committed. That is their word alone, so a confirmation by a
// core machine refutes it. A nil pointer knows none. It is safe for concurrent use.
type knownVersions struct {
	mu       sync.Mutex
	versions []knownVersion // newer than what is in force here, in order; guarded by mu
	inForce  int64          // guarded by mu
}

// knownVersion is a version and when it was heard of first.
type knownVersion struct {
	version int64
	at      time.Duration
}

// observe records that another sidecar goes by a version.
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

// applied records that a version is in force here.
func (k *knownVersions) applied(version int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.inForce = max(k.inForce, version)
	for len(k.versions) > 0 && k.versions[0].version <= k.inForce {
		k.versions = k.versions[1:]
	}
}

// refute drops the versions that were heard of by a time: all that was committed by then is in force here, as a
// core machine in contact with a majority has confirmed.
func (k *knownVersions) refute(confirmedAt time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.versions = slices.DeleteFunc(k.versions, func(known knownVersion) bool { return known.at <= confirmedAt })
}

// isOutdated reports whether a version has been known not to be the newest for longer than a time, and no confirmation
// refutes that. contactAge is that of watch.Client.
func (k *knownVersions) isOutdated(
	now time.Duration, version int64, longerThan time.Duration, contactAge func() (age time.Duration, ok bool),
) bool {
	if k.outdatedFor(now, version) <= longerThan {
		return false
	}
	if age, ok := contactAge(); ok {
		k.refute(now - age)
	}
	return k.outdatedFor(now, version) > longerThan
}

// newest is the newest version known to be in place, 0 if none is.
func (k *knownVersions) newest() int64 {
	if k == nil {
		return 0
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.newestLocked()
}

// newestLocked is newest. k.mu is held.
func (k *knownVersions) newestLocked() int64 {
	if n := len(k.versions); n > 0 {
		return k.versions[n-1].version
	}
	return k.inForce
}

// outdatedFor is for how long a version has been known not to be the newest; 0: it is.
func (k *knownVersions) outdatedFor(now time.Duration, version int64) time.Duration {
	if k == nil {
		return 0
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, known := range k.versions {
		if known.version > version {
			return max(now-known.at, 1)
		}
	}
	return 0
}
