package registry

import "time"

// tombstone remembers an instance that was removed, against messages that arrive late.
type tombstone struct {
	sequence     int64 // the last one that was known
	deregistered bool  // no report brings it back
	expired      bool  // it went stale, and its last report may be repeated
	forgetAt     time.Duration
}

// rejects reports whether a report is too old to bring the instance back. A sidecar's lease may repeat
// the last report of an instance that only expired; a heartbeat that arrives twice may not.
func (d tombstone) rejects(sequence int64, from source) bool {
	if d.deregistered || sequence < d.sequence {
		return true
	}
	return sequence == d.sequence && (from == fromHeartbeat || !d.expired)
}

// removal says why an instance is removed, which decides what may bring it back.
type removal uint8

const (
	// replaced instances made way for another one, or their sidecar has left: a later report brings
	// them back.
	replaced removal = iota
	// expired instances were not refreshed: a lease that repeats their last report brings them back.
	expired
	// deregistered instances never come back.
	deregistered
)

// deregister removes an instance permanently. It reports whether that is new.
func (t *Table) deregister(now time.Duration, instance string) (applied bool) {
	if t.tombstones[instance].deregistered {
		return false
	}
	t.remove(now, instance, deregistered)
	return true
}

// remove removes an instance from the table and leaves a tombstone.
func (t *Table) remove(now time.Duration, instance string, cause removal) {
	removed, known := t.tombstones[instance]
	removed.deregistered = removed.deregistered || cause == deregistered
	removed.expired = cause == expired
	removed.forgetAt = now + TombstoneTTL
	if e := t.upstreams[instance]; e != nil {
		removed.sequence = e.Sequence
		t.deleteEntry(e)
	}
	if !known && len(t.tombstones) >= maxTombstones {
		t.forgetOldestTombstone()
	}
	t.tombstones[instance] = removed
}

func (t *Table) forgetOldestTombstone() {
	oldest := ""
	for instance, removed := range t.tombstones {
		if oldest == "" || removed.forgetAt < t.tombstones[oldest].forgetAt {
			oldest = instance
		}
	}
	delete(t.tombstones, oldest)
}
