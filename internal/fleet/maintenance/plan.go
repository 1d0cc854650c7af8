// Package maintenance is how the sidecars of a fleet take machines out for work, one turn after the other: the operator's plan, the bounds on how many may be out, the order, and the turns as entries of the
// agreed log. It is free of I/O, goroutines and clocks. Equal entries give equal State everywhere; only the log's leader decides (Leader), by what it knows of the machines at that moment.
package maintenance

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
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

	Out                Bounds   `toml:"out"`     // how many may be out at once, for whatever reason
	Reserve            float64  `toml:"reserve"` // share of what the others carry that must stay free
	CapacityPerMachine float64  `toml:"bears"`   // requests a second that a machine of weight 1 carries; 0: not known, and no reserve is kept
	InTime             float64  `toml:"in_time"` // share of the requests that has to be served in time before the next turn
	MaxDuration        Duration `toml:"longest"` // that one may be out; the plan stops then
	DoneWhen           string   `toml:"back"`    // what says that a machine is done: "told" by the operator, or that it has "started" anew
	CutOff             string   `toml:"cut_off"` // sidecars out of contact, which may send to a machine that is out: "told" with the answer, or "awaited"
}

// Bounds are how many may be out at once. Those left out don't bind.
type Bounds struct {
	Fleet *Bound `toml:"fleet"`
	Zone  *Bound `toml:"zone"` // in each
	Cell  *Bound `toml:"cell"`
}

// Bound is a number of machines, or a share of them in percent, rounded down.
type Bound struct {
	Count   int
	Percent float64
}

// UnmarshalText reads "2" or "10%".
func (b *Bound) UnmarshalText(text []byte) error {
	s := string(text)
	if share, is := strings.CutSuffix(s, "%"); is {
		p, err := strconv.ParseFloat(share, 64)
		if err != nil || !(p > 0 && p <= 100) {
			return fmt.Errorf("%q is no share: above 0%% and at most 100%%", s)
		}
		*b = Bound{Percent: p}
		return nil
	}
	n, err := strconv.Atoi(s)
	if err != nil || n < 1 || n > maxMachines {
		return fmt.Errorf("%q is no bound: a number from 1 to %d, or a share such as \"10%%\"", s, maxMachines)
	}
	*b = Bound{Count: n}
	return nil
}

// limit is the bound where there are so many; a nil one does not bind.
func (b *Bound) limit(n int) int {
	switch {
	case b == nil:
		return math.MaxInt
	case b.Count > 0:
		return b.Count
	}
	return int(b.Percent / 100 * float64(n))
}

// Duration is a time as operators write it, such as "30m".
type Duration time.Duration

// UnmarshalText reads one.
func (d *Duration) UnmarshalText(text []byte) error {
	t, err := time.ParseDuration(string(text))
	*d = Duration(t)
	return err
}

// What says that a machine is done, and what becomes of sidecars out of contact.
const (
	ByOperator  = "told"
	Restarted   = "started"
	AwaitExpiry = "awaited"
)

// Parse reads a plan. An error names line or field.
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

// matches says whether a plan is about a machine.
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

// CheckMachines says why a plan can't begin with the machines that there are: told at once, not waited for.
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
		}{{"fleet", p.Out.Fleet, len(all)}, {"zone", p.Out.Zone, zones[m.Zone]}, {"cell", p.Out.Cell, cells[m.Cell]}} {
			if b.bound.limit(b.there) < 1 {
				return fmt.Errorf("out.%s: %v%% of %d machines is less than one, so %s could never go", b.field, b.bound.Percent, b.there, m.Name)
			}
		}
		if why := p.whyOverloaded(all, map[uint64]bool{m.ID: true}, 0); p.CapacityPerMachine > 0 && why != "" {
			return fmt.Errorf("without %s nothing is left to carry anything", m.Name)
		}
	}
	return nil
}

// countByZoneAndCell counts machines by zone and cell, those that are gone for now among them.
func countByZoneAndCell(all []Machine) (zones map[string]int, cells map[int]int) {
	zones, cells = make(map[string]int), make(map[int]int)
	for i := range all {
		zones[all[i].Zone]++
		cells[all[i].Cell]++
	}
	return zones, cells
}

// whyOverloaded says why those that are left can't carry the traffic with the plan's reserve; "" where they can, or where it is not known what they bear.
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
