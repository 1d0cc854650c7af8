package registry

import (
	"slices"
	"time"
)

// change is an entry of the change log. It names the instance that changed; the table holds the result.
type change struct {
	instance, service string
}

// Removal names an upstream that the table no longer lists under the service.
type Removal struct {
	Instance, Service string
}

// Epoch identifies the change numbering of one table. Change numbers of different epochs are not comparable.
type Epoch uint64

// ChangeNumber is the number of a change within an epoch, starting at 1.
type ChangeNumber uint64

// Changes are the changes of a table after a change number of its epoch. If Full is set, Upserts are the full state,
// which replaces all that the reader holds.
type Changes struct {
	Epoch    Epoch
	Number   ChangeNumber
	Full     bool
	Upserts  []Upstream
	Removals []Removal
}

// recordChange assigns the next number to a change of an instance that readers of the service see.
func (t *Table) recordChange(instance, service string) {
	t.number++
	if len(t.changeLog) >= 2*maxChangeLog {
		t.changeLog = slices.Delete(t.changeLog, 0, maxChangeLog)
	}
	t.changeLog = append(t.changeLog, change{instance, service})
}

// Epoch returns the epoch of the table's change numbers.
func (t *Table) Epoch() Epoch { return t.epoch }

// Number returns the number of the last change, or 0 before the first change.
func (t *Table) Number() ChangeNumber { return t.number }

// Since returns the changes after a change number of an epoch. It returns the full state if the epoch is not the
// table's, or if the log no longer reaches back to the number. Keep selects the services that the reader wants; a nil
// keep selects all services.
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

// logReachesBackTo reports whether the change log holds every change after a number of an epoch.
func (t *Table) logReachesBackTo(epoch Epoch, number ChangeNumber) bool {
	return epoch == t.epoch && number <= t.number &&
		t.number-number <= ChangeNumber(min(len(t.changeLog), maxChangeLog))
}
