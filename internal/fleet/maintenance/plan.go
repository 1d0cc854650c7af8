// Package maintenance takes a fleet's machines out for work, one maintenance window after the
// other: the operator's plan, the bounds on how many machines may be out, the order, and the
// windows as entries of the replicated log.
//
// It owns the state that the log makes of plans and windows (State), the leader's decisions
// (Leader) and what sidecars report for them (Reports, LocalClearance, Load). It does no I/O,
// starts no goroutines and reads no clock; its types are not safe for concurrent use. Equal entries
// give an equal State everywhere; only the log's leader decides, by what it knows of the machines
// at that moment.
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
	maxMachines  = 10_000
	maxNameBytes = 128
	maxLongest   = 7 * 24 * time.Hour
)

// Plan is an operator's text: what needs work, and within which bounds.
type Plan struct {
	Machines []string `toml:"machines"` // ids,
	Cells    []int    `toml:"cells"`    // or all of these,
	Zones    []string `toml:"zones"`    // or of these,
	All      bool     `toml:"all"`      // or all that are listed

	Out     Bounds  `toml:"out"`     // machines that may be out at once, for whatever reason
	Reserve float64 `toml:"reserve"` // share of the others' capacity that must stay free
	// requests per second of a machine of weight 1; 0: unknown, and no reserve is kept
	CapacityPerMachine float64 `toml:"bears"`
	// share of requests that has to be served in time before the next window
	InTime      float64  `toml:"in_time"`
	MaxDuration Duration `toml:"longest"` // of a window; the plan is paused after it
	// the work is done when "told" by the operator, or when the machine has "started" anew
	DoneWhen string `toml:"back"`
	// sidecars out of contact, which may send to a machine that is out: "told" to the operator, or
	// "awaited"
	CutOff string `toml:"cut_off"`
}

// What ends the work on a machine (Plan.DoneWhen), and what becomes of sidecars out of contact
// (Plan.CutOff).
const (
	ByOperator  = "told"
	Restarted   = "started"
	AwaitExpiry = "awaited"
)

// Parse parses a plan. An error names the line or the field.
func Parse(text []byte) (*Plan, error) {
	p := &Plan{InTime: 0.95, MaxDuration: Duration(time.Hour), DoneWhen: ByOperator, CutOff: ByOperator, Reserve: 0.1}
	if err := strictconfig.DecodeTOML(text, p); err != nil {
		return nil, err
	}
	return p, p.check()
}

func (p *Plan) check() error {
	ways := 0
	for _, is := range []bool{len(p.Machines) > 0, len(p.Cells) > 0, len(p.Zones) > 0, p.All} {
		if is {
			ways++
		}
	}
	share := func(f float64) bool { return f >= 0 && f <= 1 }
	switch {
	case ways != 1:
		return errors.New("one of machines, cells, zones and all = true says what needs work")
	case len(p.Machines) > maxMachines:
		return fmt.Errorf("machines: %d of them, %d are possible", len(p.Machines), maxMachines)
	case p.Out.Fleet == nil:
		return errors.New("out.fleet is missing: how many may be out at once")
	case !share(p.Reserve) || p.Reserve == 1:
		return fmt.Errorf("reserve: %v is no share below 1", p.Reserve)
	case !(p.CapacityPerMachine >= 0) || math.IsInf(p.CapacityPerMachine, 0):
		return fmt.Errorf("bears: %v is no number of requests a second", p.CapacityPerMachine)
	case !share(p.InTime):
		return fmt.Errorf("in_time: %v is no share", p.InTime)
	case p.MaxDuration <= 0 || time.Duration(p.MaxDuration) > maxLongest:
		return fmt.Errorf("longest: %v is not within 0 and %v", time.Duration(p.MaxDuration), maxLongest)
	case p.DoneWhen != ByOperator && p.DoneWhen != Restarted:
		return fmt.Errorf("back: %q is neither %q nor %q", p.DoneWhen, ByOperator, Restarted)
	case p.CutOff != ByOperator && p.CutOff != AwaitExpiry:
		return fmt.Errorf("cut_off: %q is neither %q nor %q", p.CutOff, ByOperator, AwaitExpiry)
	}
	seen := make(map[string]bool, len(p.Machines))
	for i, id := range p.Machines {
		if id == "" || len(id) > maxNameBytes {
			return fmt.Errorf("machines[%d]: an id of %d bytes, 1 to %d are possible", i, len(id), maxNameBytes)
		}
		if seen[id] {
			return fmt.Errorf("machines[%d]: %s stands there twice", i, id)
		}
		seen[id] = true
	}
	return nil
}

// matches reports whether a plan is about a machine.
func (p *Plan) matches(m *Machine) bool {
	switch {
	case p.All:
		return true
	case len(p.Cells) > 0:
		return slices.Contains(p.Cells, m.Cell)
	case len(p.Zones) > 0:
		return slices.Contains(p.Zones, m.Zone)
	}
	return slices.Contains(p.Machines, m.Name)
}

// CheckMachines returns why a plan can't begin with the machines that there are, so that its
// operator learns so at once.
func (p *Plan) CheckMachines(all []Machine) error {
	listed, named := make(map[string]bool, len(all)), 0
	for i := range all {
		listed[all[i].Name] = true
		if p.matches(&all[i]) {
			named++
		}
	}
	for i, id := range p.Machines {
		if !listed[id] {
			return fmt.Errorf("machines[%d]: %s is not listed", i, id)
		}
	}
	if named == 0 {
		return errors.New("no machine that is listed is meant")
	}
	return p.checkBounds(all)
}

// checkBounds returns an error if a bound lets no machine go out, or if one machine is all there
// is.
func (p *Plan) checkBounds(all []Machine) error {
	zones, cells := countByZoneAndCell(all)
	for i := range all {
		m := &all[i]
		if !p.matches(m) {
			continue
		}
		for _, b := range []struct {
			field string
			bound *Bound
			there int
		}{
			{"fleet", p.Out.Fleet, len(all)}, {"zone", p.Out.Zone, zones[m.Zone]},
			{"cell", p.Out.Cell, cells[m.Cell]},
		} {
			if b.bound.limit(b.there) < 1 {
				return fmt.Errorf(
					"out.%s: %v%% of %d machines is less than one, so %s could never go", b.field,
					b.bound.Percent, b.there, m.Name,
				)
			}
		}
		if why := p.whyOverloaded(all, map[uint64]bool{m.ID: true}, 0); p.CapacityPerMachine > 0 && why != "" {
			return fmt.Errorf("without %s nothing is left to carry anything", m.Name)
		}
	}
	return nil
}

// countByZoneAndCell counts machines, down ones included.
func countByZoneAndCell(all []Machine) (zones map[string]int, cells map[int]int) {
	zones, cells = make(map[string]int), make(map[int]int)
	for i := range all {
		zones[all[i].Zone]++
		cells[all[i].Cell]++
	}
	return zones, cells
}

// whyOverloaded returns why the machines that are left can't carry the traffic with the plan's
// reserve; "" if they can, or if their capacity is not known.
func (p *Plan) whyOverloaded(all []Machine, out map[uint64]bool, traffic float64) string {
	if p.CapacityPerMachine == 0 {
		return ""
	}
	bears := 0.0
	for i := range all {
		if m := &all[i]; m.State == MachineReady && !out[m.ID] {
			bears += p.CapacityPerMachine * m.Weight * m.Warmth
		}
	}
	if free := bears * (1 - p.Reserve); bears == 0 || traffic > free {
		return fmt.Sprintf("the others carry %.0f requests a second with the reserve, there are %.0f", free, traffic)
	}
	return ""
}
