// Package config holds the configuration: an immutable Snapshot, the changes that lead from one to
// the next, and the routing table that a snapshot means. It is free of I/O, goroutines and clocks, so
// every replica that applies the same changes in the same order holds the same snapshot.
package config

import (
	"bytes"
	"encoding/json"
	"slices"
	"strconv"

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

// Empty gives the snapshot of version 0, which holds nothing.
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
	// Duplicate changes had been applied before with the very same content: the configuration stays as
	// it is and the operator is to hear of success.
	Duplicate
	// Undetermined changes are not applied now, and the record doesn't tell what became of them or
	// would become of them later: the operator must not hear of a refusal.
	Undetermined
)

// Apply gives the snapshot after a change, in the order of the log. Whether the very same change was
// applied before is looked at first, so that no other check refuses it. Then one that builds on
// another version is Stale and one that is invalid on top of this one is Invalid. An error of kind
// Undetermined goes with Unsettled. With every outcome the caller goes on with the snapshot that is
// returned: a refused change may stand in its record of orders.
func (s *Snapshot) Apply(change *Change) (*Snapshot, Outcome, error) {
	switch {
	case s.requests.hasApplied(change):
		return s, Duplicate, nil
	case s.requests.mayHaveApplied(change):
		return s, Undetermined, errs.New(errs.Undetermined, "orders up to version %d are no longer remembered", s.requests.forgottenUpTo)
	case change.base > s.version:
		return s.rejectAhead(change)
	case change.base < s.version:
		return s, Rejected, s.stale(change)
	case s.requests.hasRejected(change):
		return s, Rejected, errs.New(errs.Stale, "version %d was refused before version %d came", change.version, change.base)
	case change.version <= s.version:
		return s, Rejected, errs.New(errs.Invalid, "configVersion: %d is not above %d, which is in place", change.version, s.version)
	}
	items := s.merge(change)
	table, err := newRoutingTable(items)
	if err != nil {
		return s, Rejected, err
	}
	return &Snapshot{
		version:   change.version,
		base:      change.base,
		resources: items,
		requests:  s.requests.withApplied(change),
		table:     table,
	}, Applied, nil
}

// rejectAhead refuses a change whose base may still come, and remembers it, so that a copy of the
// order that arrives after its base is refused too. Where it can't be remembered it is Unsettled.
func (s *Snapshot) rejectAhead(change *Change) (*Snapshot, Outcome, error) {
	orders, ok := s.requests.withRejected(change)
	if !ok {
		return s, Undetermined, errs.New(errs.Undetermined, "version %d builds on %d, which has not come", change.version, change.base)
	}
	next := *s
	next.requests = orders
	return &next, Rejected, s.stale(change)
}

func (s *Snapshot) stale(change *Change) error {
	return errs.New(errs.Stale, "version %d builds on %d, but %d is in place", change.version, change.base, s.version)
}

// merge gives the items after a change. Items that are sent as they stand stay the same ones. An
// update's upserts take the place of the items they replace or go to the end; its removals come
// after its upserts, and removing what isn't there changes nothing.
func (s *Snapshot) merge(change *Change) []*resource {
	at := make(map[resourceID]int, len(s.resources))
	for i, it := range s.resources {
		at[it.id()] = i
	}
	keep := func(sent *resource) *resource {
		if i, ok := at[sent.id()]; ok && bytes.Equal(s.resources[i].raw, sent.raw) {
			return s.resources[i]
		}
		return sent
	}
	var items []*resource
	if change.form == formReplace {
		for _, sent := range change.resources {
			items = append(items, keep(sent))
		}
		return items
	}
	items = slices.Clone(s.resources)
	for _, sent := range change.resources {
		if i, ok := at[sent.id()]; ok {
			items[i] = keep(sent)
		} else {
			items = append(items, sent)
		}
	}
	removed := make(map[resourceID]bool, len(change.removed))
	for _, gone := range change.removed {
		removed[gone] = true
	}
	return slices.DeleteFunc(items, func(it *resource) bool { return removed[resourceID{it.kind, it.name}] })
}

// Document gives the whole configuration, laid out as a replace puts it: every item as it was sent,
// fields that are unknown here included. An item keeps its place when it is replaced by an update;
// new ones stand at the end.
func (s *Snapshot) Document() json.RawMessage {
	size := len(`{"configVersion":,"baseVersion":,"resources":[]}`) + 2*len("9223372036854775807")
	for _, it := range s.resources {
		size += len(it.raw) + 1
	}
	out := append(make([]byte, 0, size), `{"configVersion":`...)
	out = strconv.AppendInt(out, s.version, 10)
	out = append(out, `,"baseVersion":`...)
	out = strconv.AppendInt(out, s.base, 10)
	out = append(out, `,"resources":[`...)
	for i, it := range s.resources {
		if i > 0 {
			out = append(out, ',')
		}
		out = append(out, it.raw...)
	}
	return append(out, `]}`...)
}

// encodedSnapshot is a snapshot as JSON.
type encodedSnapshot struct {
	Document json.RawMessage    `json:"document"`
	Orders   *encodedRequestLog `json:"orders,omitempty"`
}

// Encode gives the snapshot with the orders it remembers as one JSON value, which Decode reads.
func (s *Snapshot) Encode() ([]byte, error) {
	out, err := json.Marshal(encodedSnapshot{s.Document(), s.requests.encode()})
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "encode snapshot %d", s.version)
	}
	return out, nil
}

// Decode reads what Encode gave. An error says that it isn't a whole and valid snapshot. A document
// without a record of orders is read as one whose orders are all forgotten.
func Decode(text []byte) (*Snapshot, error) {
	var e encodedSnapshot
	if err := unmarshal(text, &e); err != nil {
		return nil, err
	}
	document, err := ParseReplace(e.Document)
	if err != nil {
		return nil, err
	}
	table, err := newRoutingTable(document.resources)
	if err != nil {
		return nil, err
	}
	orders, err := decodeRequestLog(e.Orders, document.version)
	if err != nil {
		return nil, err
	}
	return &Snapshot{
		version:   document.version,
		base:      document.base,
		resources: document.resources,
		requests:  orders,
		table:     table,
	}, nil
}
