// Package config holds the configuration: an immutable Snapshot, the change requests that lead from
// one to the next, and the routing table of a snapshot. It has no I/O, goroutines or clocks, so
// every replica that applies the same changes in the same order holds the same snapshot. All
// functions and methods may be called from any goroutine.
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
	resources []*resource // in the document's order; their ids differ
	requests  requestLog
	table     *routingTable
}

var empty = &Snapshot{table: &routingTable{limits: defaultLimits}}

// Empty returns the snapshot of version 0, which holds nothing.
func Empty() *Snapshot { return empty }

// Version is the configVersion in force, 0 before the first.
func (s *Snapshot) Version() int64 { return s.version }

// Outcome is what became of a change.
type Outcome uint8

const (
	// Rejected changes have not been applied and never will be: an error says why.
	Rejected Outcome = iota
	// Applied changes led to the snapshot that was returned.
	Applied
	// Duplicate changes had been applied before with the very same content: the configuration stays
	// as it is and the operator gets the success of the first.
	Duplicate
	// Undetermined changes are not applied now, and the request log doesn't show what became of
	// them or would become of them later: the operator must not get a rejection.
	Undetermined
)

// Apply returns the snapshot after a change, in the order of the replicated log. Whether the very
// same change was applied before is checked first, so that no other check rejects it. Then one that
// builds on another version is Stale and one that is invalid on top of this one is Invalid. An
// error of kind Undetermined goes with that outcome. With every outcome the caller continues with
// the snapshot that is returned: a rejected change may be in its request log.
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

// rejectAhead rejects a change whose base may still be applied, and remembers it, so that a copy of the
// request that arrives after its base is rejected too. Where it can't be remembered the outcome is
// Undetermined.
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

func (s *Snapshot) stale(change *Change) error {
	return errs.New(errs.Stale,
		"version %d builds on %d, but %d is in place", change.version, change.base, s.version)
}

// merge returns the resources after a change. A resource that is sent unchanged stays the same one,
// with its pointer.
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

// update returns the resources after an update. Upserts take the place of the resources they replace
// or go to the end; removals come after upserts, and removing what doesn't exist changes nothing.
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
