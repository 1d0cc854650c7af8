package registry

import (
	"slices"
	"time"
)

// change is one numbered change; the entries hold the result.
type change struct {
	instance, service string
}

// Removal names an upstream that is no longer listed.
type Removal struct {
	Instance, Service string
}

// Epoch identifies the numbering of one table: numbers of one epoch mean nothing in another.
type Epoch uint64

// ChangeNumber is the number of a change within an epoch, from 1 on.
type ChangeNumber uint64

// Changes is what changed in a table since a number of its epoch. If Full, the Upserts are the full
// state and replace what the reader held.
type Changes struct {
	Epoch    Epoch
	Number   ChangeNumber
	Full     bool
	Upserts  []Upstream
	Removals []Removal
}

// recordChange gives the next number to a change of an instance that readers of the service see.
func (t *Table) recordChange(instance, service string) {
	t.number++
	if len(t.changeLog) >= 2*maxChangeLog {
		t.changeLog = slices.Delete(t.changeLog, 0, maxChangeLog)
	}
	t.changeLog = append(t.changeLog, change{instance, service})
}

// Epoch identifies this table's numbering.
func (t *Table) Epoch() Epoch { return t.epoch }

// Number is the number of the last change of this epoch, 0 before the first.
func (t *Table) Number() ChangeNumber { return t.number }

// Since returns what changed after a number of an epoch, and the full state when the epoch is another
// one or the number is too old. Keep says which services the reader wants; nil keeps all.
func (t *Table) Since(
	now time.Duration, epoch Epoch, number ChangeNumber, keep func(service string) bool,
) Changes {
	changes := Changes{Epoch: t.epoch, Number: t.number}
	if !t.logReachesBackTo(epoch, number) {
		changes.Full = true
		for _, e := range t.upstreams {
			if keep == nil || keep(e.Service) {
				changes.Upserts = append(changes.Upserts, e.at(now))
			}
		}
		return changes
	}
	missed := t.changeLog[len(t.changeLog)-int(t.number-number):]
	seen := make(map[change]bool, len(missed))
	for _, c := range missed {
		if seen[c] || (keep != nil && !keep(c.service)) {
			continue
		}
		seen[c] = true
		if e := t.upstreams[c.instance]; e != nil && e.Service == c.service {
			changes.Upserts = append(changes.Upserts, e.at(now))
		} else if e == nil || (keep != nil && !keep(e.Service)) {
			changes.Removals = append(changes.Removals, Removal{c.instance, c.service})
		}
	}
	return changes
}

// logReachesBackTo reports whether the log holds every change after a number of an epoch.
func (t *Table) logReachesBackTo(epoch Epoch, number ChangeNumber) bool {
	return epoch == t.epoch && number <= t.number &&
		t.number-number <= ChangeNumber(min(len(t.changeLog), maxChangeLog))
}
