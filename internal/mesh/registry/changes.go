package registry

import (
	"slices"
	"time"
)

// change is one numbered change: what it was is read from the entries.
type change struct {
	instance, service string
}

// Removal names an upstream that is no longer listed.
type Removal struct {
	Instance, Service string
}

// Changes is what changed in a table since a number of its epoch. If Full, the
// Upserts are all there is and replace what was held.
type Changes struct {
	Epoch    uint64
	Number   uint64
	Full     bool
	Upserts  []Upstream
	Removals []Removal
}

func (t *Table) recordChange(instance, service string) {
	t.number++
	if len(t.changeLog) >= 2*maxChangeLog {
		t.changeLog = slices.Delete(t.changeLog, 0, maxChangeLog)
	}
	t.changeLog = append(t.changeLog, change{instance, service})
}

// Epoch names this table's numbering, and Number is that of its last change.
func (t *Table) Epoch() uint64 { return t.epoch }

// Number is the number of the last change of this epoch.
func (t *Table) Number() uint64 { return t.number }

// Since gives what changed after a number of an epoch, and everything when the
// epoch is another one or the number is too old. Keep says which services the
// reader wants; nil keeps all.
func (t *Table) Since(now time.Duration, epoch, number uint64, keep func(service string) bool) Changes {
	news := Changes{Epoch: t.epoch, Number: t.number}
	if epoch != t.epoch || number > t.number || t.number-number > uint64(min(len(t.changeLog), maxChangeLog)) {
		news.Full = true
		for _, e := range t.upstreams {
			if keep == nil || keep(e.Service) {
				news.Upserts = append(news.Upserts, e.at(now))
			}
		}
		return news
	}
	missed := t.changeLog[len(t.changeLog)-int(t.number-number):]
	seen := make(map[change]bool, len(missed))
	for _, c := range missed {
		if seen[c] || (keep != nil && !keep(c.service)) {
			continue
		}
		seen[c] = true
		if e := t.upstreams[c.instance]; e != nil && e.Service == c.service {
			news.Upserts = append(news.Upserts, e.at(now))
		} else if e == nil || (keep != nil && !keep(e.Service)) {
			news.Removals = append(news.Removals, Removal{c.instance, c.service})
		}
	}
	return news
}
