package maintenance

import (
	"maps"
	"slices"
	"time"
)

const (
	lately   = 10 * time.Minute // a machine that left the list is taken to be down for so long; behind that it is gone for good
	rollMost = machinesMost     // that are remembered so
)

// Roll is the list of machines with those that left it lately. The zero value is ready.
type Roll struct {
	listed map[uint64]Machine
	left   map[uint64]gone
}

type gone struct {
	Machine
	at time.Duration
}

// Heard takes the list as it is now.
func (r *Roll) Heard(now time.Duration, all []Machine) {
	next := make(map[uint64]Machine, len(all))
	for _, m := range all {
		next[m.ID] = m
		delete(r.left, m.ID)
	}
	for id, m := range r.listed {
		if _, here := next[id]; here {
			continue
		}
		if r.left == nil {
			r.left = make(map[uint64]gone)
		}
		if len(r.left) < rollMost {
			m.State, m.Warmth = Down, 0
			r.left[id] = gone{m, now}
		}
	}
	r.listed = next
}

// Name is a machine as people call it; false: it is neither listed nor down.
func (r *Roll) Name(now time.Duration, id uint64) (string, bool) {
	if m, here := r.listed[id]; here {
		return m.Name, true
	}
	g, left := r.left[id]
	return g.Name, left && now-g.at < lately
}

// All is the list with those that are down, in the order of ids.
func (r *Roll) All(now time.Duration) []Machine {
	all := slices.Collect(maps.Values(r.listed))
	for id, g := range r.left {
		if now-g.at >= lately {
			delete(r.left, id)
			continue
		}
		all = append(all, g.Machine)
	}
	slices.SortFunc(all, func(a, b Machine) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return all
}
