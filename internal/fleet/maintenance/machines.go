package maintenance

import (
	"maps"
	"slices"
	"time"
)

const (
	// a machine that left the list counts as down for so long, and then as removed
	downTime      = 10 * time.Minute
	maxRemembered = maxMachines // machines that are remembered as down
)

// MachineList is the list of machines with those that left it recently. The zero value is ready.
type MachineList struct {
	listed  map[uint64]Machine
	missing map[uint64]missingMachine
}

type missingMachine struct {
	Machine
	since time.Duration
}

// Update replaces the list.
func (r *MachineList) Update(now time.Duration, all []Machine) {
	next := make(map[uint64]Machine, len(all))
	for _, m := range all {
		next[m.ID] = m
		delete(r.missing, m.ID)
	}
	for id, m := range r.listed {
		if _, here := next[id]; here {
			continue
		}
		if r.missing == nil {
			r.missing = make(map[uint64]missingMachine)
		}
		if len(r.missing) < maxRemembered {
			m.State, m.Warmth = MachineDown, 0
			r.missing[id] = missingMachine{m, now}
		}
	}
	r.listed = next
}

// Name returns a machine's name for operators; false: it is neither listed nor down.
func (r *MachineList) Name(now time.Duration, id uint64) (string, bool) {
	if m, here := r.listed[id]; here {
		return m.Name, true
	}
	g, left := r.missing[id]
	return g.Name, left && now-g.since < downTime
}

// All returns the list with those that are down, by id.
func (r *MachineList) All(now time.Duration) []Machine {
	all := slices.Collect(maps.Values(r.listed))
	for id, g := range r.missing {
		if now-g.since >= downTime {
			delete(r.missing, id)
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
