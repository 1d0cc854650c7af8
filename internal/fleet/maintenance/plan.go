// Package maintenance takes a fleet's machines out of service for maintenance, one window after the other. It
// holds the operator's plan, the bounds on how many machines may be out, the order of the machines, and the
// windows as entries of the replicated log.
//
// The package owns the state that results from the log's entries about plans and windows (State), the leader's
// decisions (Leader) and the sidecars' reports that the leader needs for them (Reports, LocalClearance, Load). It
// does no I/O, starts no goroutines and reads no clock; its types are not safe for concurrent use. The same
// entries give the same State on every sidecar. Only the log's leader decides on windows, by its current
// knowledge of the machines.
package maintenance

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"caperarch/internal/proxy/strictconfig"
)

const (
	maxMachines       = 10_000
	maxNameBytes      = 128
	maxWindowDuration = 7 * 24 * time.Hour
)

// Plan is an operator's maintenance plan: which machines need work, and within which bounds. Exactly one of
// Machines, Cells, Zones and All selects the machines.
type Plan struct {
	Machines []string `toml:"machines"` // machine names
	Cells    []int    `toml:"cells"`
	Zones    []string `toml:"zones"`
	All      bool     `toml:"all"` // all machines that discovery lists

	Out     Bounds  `toml:"out"`     // how many machines may be out at the same time, for whatever reason
	Reserve float64 `toml:"reserve"` // share of the remaining machines' capacity that must stay unused
	// CapacityPerMachine is how many requests per second a machine of weight 1 can serve; 0: unknown, in which
	// case Reserve is not enforced.
	CapacityPerMachine float64 `toml:"bears"`
	// InTime is the share of requests that has to be served in time before the next window opens.
	InTime      float64  `toml:"in_time"`
	MaxDuration Duration `toml:"longest"` // of a window's Free and Returning phases; a longer phase pauses the plan
	// DoneWhen says when the work on a machine is done: ByOperator or Restarted.
	DoneWhen string `toml:"back"`
	// CutOff says how to treat unreachable sidecars, which may still send requests to a machine that is out:
	// ByOperator or AwaitExpiry.
	CutOff string `toml:"cut_off"`
}

// The values of Plan.DoneWhen and Plan.CutOff.
const (
	// ByOperator as DoneWhen: an operator says that the work is done. As CutOff: windows go on, and the operator
	// is told how many sidecars are unreachable.
	ByOperator = "told"
	// Restarted as DoneWhen: the work is done when the machine's process has restarted.
	Restarted = "started"
	// AwaitExpiry as CutOff: no window opens or is released while a sidecar is unreachable.
	AwaitExpiry = "awaited"
)

// Parse parses and checks a plan in TOML. An error names the line or the field.
func Parse(text []byte) (*Plan, error) {
	plan := &Plan{InTime: 0.95, MaxDuration: Duration(time.Hour), DoneWhen: ByOperator, CutOff: ByOperator, Reserve: 0.1}
	if err := strictconfig.DecodeTOML(text, plan); err != nil {
		return nil, err
	}
	return plan, plan.check()
}

// check returns an error if the plan contradicts itself or a value is out of range.
func (p *Plan) check() error {
	selectors := 0
	for _, used := range []bool{len(p.Machines) > 0, len(p.Cells) > 0, len(p.Zones) > 0, p.All} {
		if used {
			selectors++
		}
	}
	isShare := func(value float64) bool { return value >= 0 && value <= 1 }
	switch {
	case selectors != 1:
		return errors.New("one of machines, cells, zones and all = true says what needs work")
	case len(p.Machines) > maxMachines:
		return fmt.Errorf("machines: %d of them, %d are possible", len(p.Machines), maxMachines)
	case p.Out.Fleet == nil:
		return errors.New("out.fleet is missing: how many may be out at once")
	case !isShare(p.Reserve) || p.Reserve == 1:
		return fmt.Errorf("reserve: %v is no share below 1", p.Reserve)
	case !(p.CapacityPerMachine >= 0) || math.IsInf(p.CapacityPerMachine, 0):
		return fmt.Errorf("bears: %v is no number of requests a second", p.CapacityPerMachine)
	case !isShare(p.InTime):
		return fmt.Errorf("in_time: %v is no share", p.InTime)
	case p.MaxDuration <= 0 || time.Duration(p.MaxDuration) > maxWindowDuration:
		return fmt.Errorf("longest: %v is not within 0 and %v", time.Duration(p.MaxDuration), maxWindowDuration)
	case p.DoneWhen != ByOperator && p.DoneWhen != Restarted:
		return fmt.Errorf("back: %q is neither %q nor %q", p.DoneWhen, ByOperator, Restarted)
	case p.CutOff != ByOperator && p.CutOff != AwaitExpiry:
		return fmt.Errorf("cut_off: %q is neither %q nor %q", p.CutOff, ByOperator, AwaitExpiry)
	}
	seen := make(map[string]bool, len(p.Machines))
	for i, name := range p.Machines {
		if name == "" || len(name) > maxNameBytes {
			return fmt.Errorf("machines[%d]: an id of %d bytes, 1 to %d are possible", i, len(name), maxNameBytes)
		}
		if seen[name] {
			return fmt.Errorf("machines[%d]: %s stands there twice", i, name)
		}
		seen[name] = true
	}
	return nil
}

// matches reports whether the plan selects a machine.
func (p *Plan) matches(machine *Machine) bool {
	switch {
	case p.All:
		return true
	case len(p.Cells) > 0:
		return slices.Contains(p.Cells, machine.Cell)
	case len(p.Zones) > 0:
		return slices.Contains(p.Zones, machine.Zone)
	}
	return slices.Contains(p.Machines, machine.Name)
}

// CheckMachines returns an error if the plan can't be carried out with the current machines, so that the operator
// who proposes the plan is told at once.
func (p *Plan) CheckMachines(machines []Machine) error {
	listed, selected := make(map[string]bool, len(machines)), 0
	for i := range machines {
		listed[machines[i].Name] = true
		if p.matches(&machines[i]) {
			selected++
		}
	}
	for i, name := range p.Machines {
		if !listed[name] {
			return fmt.Errorf("machines[%d]: %s is not listed", i, name)
		}
	}
	if selected == 0 {
		return errors.New("no machine that is listed is meant")
	}
	return p.checkBounds(machines)
}

// checkBounds returns an error if a bound never lets a selected machine go out, or if no capacity remains without
// that machine.
func (p *Plan) checkBounds(machines []Machine) error {
	zones, cells := countByZoneAndCell(machines)
	for i := range machines {
		machine := &machines[i]
		if !p.matches(machine) {
			continue
		}
		for _, scope := range []struct {
			field string
			bound *Bound
			total int
		}{
			{"fleet", p.Out.Fleet, len(machines)}, {"zone", p.Out.Zone, zones[machine.Zone]},
			{"cell", p.Out.Cell, cells[machine.Cell]},
		} {
			if scope.bound.limit(scope.total) < 1 {
				return fmt.Errorf(
					"out.%s: %v%% of %d machines is less than one, so %s could never go", scope.field,
					scope.bound.Percent, scope.total, machine.Name,
				)
			}
		}
		if reason := p.capacityShortfall(machines, map[uint64]bool{machine.ID: true}, 0); p.CapacityPerMachine > 0 &&
			reason != "" {
			return fmt.Errorf("without %s nothing is left to carry anything", machine.Name)
		}
	}
	return nil
}

// countByZoneAndCell counts the machines of each zone and cell, those that are down included.
func countByZoneAndCell(machines []Machine) (zones map[string]int, cells map[int]int) {
	zones, cells = make(map[string]int), make(map[int]int)
	for i := range machines {
		zones[machines[i].Zone]++
		cells[machines[i].Cell]++
	}
	return zones, cells
}

// capacityShortfall returns why the machines that are not out can't serve the traffic with the plan's reserve; ""
// if they can, or if CapacityPerMachine is unknown. Traffic is in requests per second.
func (p *Plan) capacityShortfall(machines []Machine, out map[uint64]bool, traffic float64) string {
	if p.CapacityPerMachine == 0 {
		return ""
	}
	capacity := 0.0
	for i := range machines {
		if machine := &machines[i]; machine.State == MachineReady && !out[machine.ID] {
			capacity += p.CapacityPerMachine * machine.Weight * machine.Warmth
		}
	}
	if usable := capacity * (1 - p.Reserve); capacity == 0 || traffic > usable {
		return fmt.Sprintf("the others carry %.0f requests a second with the reserve, there are %.0f", usable, traffic)
	}
	return ""
}
