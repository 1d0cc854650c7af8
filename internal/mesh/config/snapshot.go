// Package config holds the configuration: an immutable Snapshot, the changes that lead from one to
// the next, and the routing table that a charter means. It is free of I/O, goroutines and clocks, so
// every replica that applies the same changes in the same order holds the same charter.
package config

import (
	"bytes"
	"encoding/json"
	"slices"
	"strconv"

	"caperarch/internal/mesh/errs"
)

// maxTaken is the number of changes whose digests are remembered, the newest ones. It bounds what a
// charter and its snapshot hold; an operator's resend older than that is answered as stale.
const maxTaken = 256

// taken is a change that led to the charter.
type taken struct {
	Version int64  `json:"version"`
	Digest  digest `json:"digest"`
}

// Snapshot is one version of the configuration. It is immutable and safe for concurrent use.
type Snapshot struct {
	version int64
	base    int64
	items   []*item // in the document's order; their ids differ
	taken   []taken // in the order they were taken, maxTaken at most
	table   *table
}

var empty = &Snapshot{table: &table{limits: defaultLimits}}

// Empty gives the charter of version 0, which holds nothing.
func Empty() *Snapshot { return empty }

// Version is the configVersion in force, 0 before the first.
func (c *Snapshot) Version() int64 { return c.version }

// Outcome is what became of a change.
type Outcome uint8

const (
	// Refused changes left the charter as it was, and an error says why.
	Refused Outcome = iota
	// Applied changes led to the charter that was returned.
	Applied
	// Repeated changes had been taken before with the very same content: the charter stays as it
	// is and the operator is to hear of success.
	Repeated
)

// Apply gives the charter after a change. A change that builds on another version than this one is
// Stale, one that is invalid on top of it is Invalid; in both cases, and for a repeated change, the
// charter that is returned is this one.
func (c *Snapshot) Apply(change *Change) (*Snapshot, Outcome, error) {
	if slices.Contains(c.taken, taken{change.version, change.digest}) {
		return c, Repeated, nil
	}
	if change.base != c.version {
		return c, Refused, errs.New(errs.Stale, "version %d builds on %d, but %d is in place", change.version, change.base, c.version)
	}
	if change.version <= c.version {
		return c, Refused, errs.New(errs.Invalid, "configVersion: %d is not above %d, which is in place", change.version, c.version)
	}
	items := c.merge(change)
	table, err := newTable(items)
	if err != nil {
		return c, Refused, err
	}
	from := max(0, len(c.taken)+1-maxTaken)
	return &Snapshot{
		version: change.version,
		base:    change.base,
		items:   items,
		taken:   append(slices.Clone(c.taken[from:]), taken{change.version, change.digest}),
		table:   table,
	}, Applied, nil
}

// merge gives the items after a change. Items that are sent as they stand stay the same ones. An
// update's upserts take the place of the items they replace or go to the end; its removals come
// after its upserts, and removing what isn't there changes nothing.
func (c *Snapshot) merge(change *Change) []*item {
	at := make(map[id]int, len(c.items))
	for i, it := range c.items {
		at[it.id()] = i
	}
	keep := func(sent *item) *item {
		if i, ok := at[sent.id()]; ok && bytes.Equal(c.items[i].raw, sent.raw) {
			return c.items[i]
		}
		return sent
	}
	var items []*item
	if change.form == formReplace {
		for _, sent := range change.items {
			items = append(items, keep(sent))
		}
		return items
	}
	items = slices.Clone(c.items)
	for _, sent := range change.items {
		if i, ok := at[sent.id()]; ok {
			items[i] = keep(sent)
		} else {
			items = append(items, sent)
		}
	}
	removed := make(map[id]bool, len(change.removed))
	for _, gone := range change.removed {
		removed[gone] = true
	}
	return slices.DeleteFunc(items, func(it *item) bool { return removed[id{it.kind, it.name}] })
}

// Document gives the whole configuration, laid out as a replace puts it: every item as it was sent,
// fields that are unknown here included. An item keeps its place when it is replaced by an update;
// new ones stand at the end.
func (c *Snapshot) Document() json.RawMessage {
	size := len(`{"configVersion":,"baseVersion":,"resources":[]}`) + 2*len("9223372036854775807")
	for _, it := range c.items {
		size += len(it.raw) + 1
	}
	out := append(make([]byte, 0, size), `{"configVersion":`...)
	out = strconv.AppendInt(out, c.version, 10)
	out = append(out, `,"baseVersion":`...)
	out = strconv.AppendInt(out, c.base, 10)
	out = append(out, `,"resources":[`...)
	for i, it := range c.items {
		if i > 0 {
			out = append(out, ',')
		}
		out = append(out, it.raw...)
	}
	return append(out, `]}`...)
}

// snapshot is an encoded charter.
type snapshot struct {
	Document json.RawMessage `json:"document"`
	Taken    []taken         `json:"taken"`
}

// Encode gives the charter with the changes it remembers as one JSON value, which Decode reads.
func (c *Snapshot) Encode() ([]byte, error) {
	out, err := json.Marshal(snapshot{c.Document(), c.taken})
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "encode charter %d", c.version)
	}
	return out, nil
}

// Decode reads what Encode gave. An error says that it isn't a whole and valid charter.
func Decode(text []byte) (*Snapshot, error) {
	var s snapshot
	if err := unmarshal(text, &s); err != nil {
		return nil, err
	}
	document, err := ReadReplace(s.Document)
	if err != nil {
		return nil, err
	}
	table, err := newTable(document.items)
	if err != nil {
		return nil, err
	}
	return &Snapshot{
		version: document.version,
		base:    document.base,
		items:   document.items,
		taken:   s.Taken[max(0, len(s.Taken)-maxTaken):],
		table:   table,
	}, nil
}
