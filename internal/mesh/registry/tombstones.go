package registry

import "time"

// tombstone records that an instance was removed, so that a late message about the instance does not restore it.
type tombstone struct {
	sequence     int64         // sequence of the last report before the removal
	deregistered bool          // no report restores the instance
	expired      bool          // the instance was not refreshed; a lease that repeats its last report restores it
	forgetAt     time.Duration // when the tombstone is deleted
}

// rejects reports whether a report of the given sequence is too old to restore the instance. The last report of an
// instance that merely expired restores it when a sidecar's lease repeats the report, but not when the heartbeat
// arrives a second time.
func (d tombstone) rejects(sequence int64, from reportSource) bool {
	if d.deregistered || sequence < d.sequence {
		return true
	}
	return sequence == d.sequence && (from == fromHeartbeat || !d.expired)
}

// removalCause is the reason for which an instance is removed. It decides which reports restore the instance.
type removalCause uint8

const (
	// replaced: another instance took over the node or the address, or the sidecar left. A later report restores the
	// instance.
	replaced removalCause = iota
	// expired: the instance was not refreshed in time. A lease that repeats its last report restores it.
	expired
	// deregistered: no report restores the instance.
	deregistered
)

// deregister removes an instance permanently. It reports whether the instance had not been deregistered before.
func (t *Table) deregister(now time.Duration, instance string) (applied bool) {
	if t.tombstones[instance].deregistered {
		return false
	}
	t.remove(now, instance, deregistered)
	return true
}

// IsDeregistered reports whether an instance was deregistered within TombstoneTTL, at this member or at another one.
func (t *Table) IsDeregistered(instance string) bool { return t.tombstones[instance].deregistered }

// remove removes an instance from the table, if the table holds it, and records a tombstone.
func (t *Table) remove(now time.Duration, instance string, cause removalCause) {
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

// forgetOldestTombstone deletes the tombstone that would be deleted next.
func (t *Table) forgetOldestTombstone() {
	oldest := ""
	for instance, removed := range t.tombstones {
		if oldest == "" || removed.forgetAt < t.tombstones[oldest].forgetAt {
			oldest = instance
		}
	}
	delete(t.tombstones, oldest)
}
