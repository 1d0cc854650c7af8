package maintenance

import (
	"maps"
	"slices"
	"time"
)

const (
	// downTime is how long a machine that discovery no longer lists counts as down; after it, as removed.
	downTime = 10 * time.Minute
	// maxRemembered bounds how many machines are remembered as down.
	maxRemembered = maxMachines
)

// MachineList holds the machines that discovery lists and those that it stopped listing recently. The zero value
// is ready to use.
type MachineList struct {
	listed  map[uint64]Machine
	missing map[uint64]missingMachine
}

// missingMachine is a machine that discovery no longer lists.
type missingMachine struct {
	Machine
	since time.Duration
}

// Update replaces the listed machines; those that were listed before and are not any more become down.
func (l *MachineList) Update(now time.Duration, machines []Machine) {
	next := make(map[uint64]Machine, len(machines))
	for _, machine := range machines {
		next[machine.ID] = machine
		delete(l.missing, machine.ID)
	}
	for id, machine := range l.listed {
		if _, stillListed := next[id]; stillListed {
			continue
		}
		if l.missing == nil {
			l.missing = make(map[uint64]missingMachine)
		}
		if len(l.missing) < maxRemembered {
			machine.State, machine.Warmth = MachineDown, 0
			l.missing[id] = missingMachine{machine, now}
		}
	}
	l.listed = next
}

// Name returns a machine's name, or false if the machine is neither listed nor down.
func (l *MachineList) Name(now time.Duration, id uint64) (string, bool) {
	if machine, known := l.listed[id]; known {
		return machine.Name, true
	}
	gone, remembered := l.missing[id]
	return gone.Name, remembered && now-gone.since < downTime
}

// All returns the listed machines and those that are down, ordered by id.
func (l *MachineList) All(now time.Duration) []Machine {
	all := slices.Collect(maps.Values(l.listed))
	for id, gone := range l.missing {
		if now-gone.since >= downTime {
			delete(l.missing, id)
			continue
		}
		all = append(all, gone.Machine)
	}
	slices.SortFunc(all, func(a, b Machine) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return all
}
