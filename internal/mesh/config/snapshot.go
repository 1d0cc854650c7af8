// Package config holds the configuration: an immutable Snapshot, the change requests that lead from one snapshot to the
// next, and the routing table of a snapshot. The package has no I/O, goroutines or clocks, so that every replica that
// applies the same changes in the same order holds the same snapshot. All functions and methods are safe for concurrent
// use.
package config

import (
	"bytes"
	"slices"

	"caperarch/internal/mesh/errs"
)

// Snapshot is one version of the configuration. It is immutable and safe for concurrent use.
type Snapshot struct {
	version   int64
	base      int64
	resources []*resource // in the order of the document; their ids are distinct
	requests  requestLog
	table     *routingTable
}

// empty is the snapshot that Empty returns.
var empty = &Snapshot{table: &routingTable{limits: defaultLimits}}

// Empty returns the snapshot of version 0, which has no resources.
func Empty() *Snapshot { return empty }

// Version returns the snapshot's configVersion, or 0 for the empty snapshot.
func (s *Snapshot) Version() int64 { return s.version }

// Outcome is the result of applying a change.
type Outcome uint8

const (
	// Rejected means that the change was not applied and never will be. An error states the reason.
	Rejected Outcome = iota
	// Applied means that the change was applied and resulted in the returned snapshot.
	Applied
	// Duplicate means that a change with the same content was applied before. The configuration is unchanged, and the
	// operator gets the same successful response as before.
	Duplicate
	// Undetermined means that the change is not applied now, and that the request log does not show whether it was
	// applied before or may be applied later. The operator must not get a rejection.
	Undetermined
)

// Apply returns the snapshot that results from a change. Replicas apply changes in the order of the replicated log.
// Apply first checks whether the same change was applied before, so that no other check rejects a repeated change. A
// change that is based on another version is an error of kind Stale, and a change that is not valid on top of this
// snapshot is an error of kind Invalid. The outcome Undetermined comes with an error of kind Undetermined. Whatever the
// outcome, the caller must continue with the returned snapshot: its request log may record a rejected change.
func (s *Snapshot) Apply(change *Change) (*Snapshot, Outcome, error) {
	switch {
	case s.requests.hasApplied(change):
		return s, Duplicate, nil
	case s.requests.mayHaveApplied(change):
		return s, Undetermined, errs.New(errs.Undetermined,
			"orders up to version %d are no longer remembered", s.requests.forgottenUpTo)
	case change.base > s.version:
		return s.rejectAhead(change)
	case change.base < s.version:
		return s, Rejected, s.stale(change)
	case s.requests.hasRejected(change):
		return s, Rejected, errs.New(errs.Stale,
			"version %d was refused before version %d came", change.version, change.base)
	case change.version <= s.version:
		return s, Rejected, errs.New(errs.Invalid,
			"configVersion: %d is not above %d, which is in place", change.version, s.version)
	}
	resources := s.merge(change)
	table, err := newRoutingTable(resources)
	if err != nil {
		return s, Rejected, err
	}
	return &Snapshot{
		version:   change.version,
		base:      change.base,
		resources: resources,
		requests:  s.requests.withApplied(change),
		table:     table,
	}, Applied, nil
}

// rejectAhead rejects a change whose base version may still be applied. It records the change in the request log, so
// that a copy of the request that arrives after the base version is rejected, too. The outcome is Undetermined if the
// log is full.
func (s *Snapshot) rejectAhead(change *Change) (*Snapshot, Outcome, error) {
	requests, ok := s.requests.withRejected(change)
	if !ok {
		return s, Undetermined, errs.New(errs.Undetermined,
			"version %d builds on %d, which has not come", change.version, change.base)
	}
	next := *s
	next.requests = requests
	return &next, Rejected, s.stale(change)
}

// stale returns the error for a change that is based on another version than the snapshot's.
func (s *Snapshot) stale(change *Change) error {
	return errs.New(errs.Stale,
		"version %d builds on %d, but %d is in place", change.version, change.base, s.version)
}

// merge returns the resources after a change. A resource whose text is unchanged keeps its pointer.
func (s *Snapshot) merge(change *Change) []*resource {
	positions := make(map[resourceID]int, len(s.resources))
	for i, r := range s.resources {
		positions[r.id()] = i
	}
	sent := make([]*resource, len(change.resources))
	for i, r := range change.resources {
		sent[i] = r
		if position, ok := positions[r.id()]; ok && bytes.Equal(s.resources[position].raw, r.raw) {
			sent[i] = s.resources[position]
		}
	}
	if change.form == formReplace {
		return sent
	}
	return s.update(sent, change.removed, positions)
}

// update returns the resources after an update. An upserted resource takes the position of the resource that it
// replaces, or is appended. Removals are applied after upserts. Removing a resource that does not exist has no effect.
func (s *Snapshot) update(
	upserts []*resource, removed []resourceID, positions map[resourceID]int,
) []*resource {
	resources := slices.Clone(s.resources)
	for _, r := range upserts {
		if position, ok := positions[r.id()]; ok {
			resources[position] = r
		} else {
			resources = append(resources, r)
		}
	}
	isRemoved := make(map[resourceID]bool, len(removed))
	for _, id := range removed {
		isRemoved[id] = true
	}
	return slices.DeleteFunc(resources, func(r *resource) bool {
		return isRemoved[resourceID{r.kind, r.name}]
	})
}
