package fleetlog

import (
	"errors"
	"image/color"
	"io"
	"maps"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Dimensions of the drawing, in points except for the width.
const (
	drawingWidth     = 9 * vg.Inch
	drawingMargin    = 80 // height of the drawing above and below the rows of the machines
	heightPerMachine = 16
	phaseLineWidth   = 6
)

// ErrNoMaintenance is returned if there is nothing to draw: the logs contain no maintenance window.
var ErrNoMaintenance = errors.New("logs contain no maintenance window of any machine")

// windowPhase is a phase of a maintenance window, from one step to another.
type windowPhase struct {
	from, to windowStep // steps with which the phase starts and ends
	name     string
	color    color.Color
}

var windowPhases = []windowPhase{
	{stepGiven, stepFree, "leaving", color.RGBA{R: 0xd9, G: 0xa4, B: 0x41, A: 0xff}},
	{stepFree, stepDone, "free to work on", color.RGBA{R: 0xb0, G: 0x3a, B: 0x2e, A: 0xff}},
	{stepDone, stepOver, "cold", color.RGBA{R: 0x5d, G: 0x8a, B: 0xa8, A: 0xff}},
}

// span returns the Unix seconds of the start and the end of the phase in a maintenance window. The phase ends with
// its last step, or when the window is withdrawn, or at the Unix second last if neither was logged. It returns false
// if the phase never started.
func (p *windowPhase) span(window *maintenanceWindow, last int64) (from, to int64, ok bool) {
	from, ok = window.at[p.from]
	if !ok {
		return 0, 0, false
	}
	to = last
	for _, end := range []windowStep{p.to, stepWithdrawn} {
		if at, known := window.at[end]; known {
			to = min(to, at)
		}
	}
	return from, max(to, from), true
}

// DrawMaintenance draws the maintenance windows over time as SVG, with a row for each machine. A phase that has not
// ended is drawn up to the last second that has an event. DrawMaintenance returns ErrNoMaintenance if there are no
// windows.
func (f *Fleet) DrawMaintenance(w io.Writer) error {
	if len(f.windows) == 0 {
		return ErrNoMaintenance
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text = "machines out for work", "s"
	ordered := f.windowsByNumber()
	machines := machinesOf(ordered)
	if err := f.drawPhases(p, ordered, machines); err != nil {
		return err
	}
	p.NominalY(machines...)
	p.Legend.Top = true
	height := vg.Points(float64(drawingMargin + heightPerMachine*len(machines)))
	svg, err := p.WriterTo(drawingWidth, height, "svg")
	if err != nil {
		return err
	}
	_, err = svg.WriteTo(w)
	return err
}

// machinesOf returns the machines of maintenance windows, each once, in the order of their first windows.
func machinesOf(windows []*maintenanceWindow) []string {
	var machines []string
	for _, window := range windows {
		if !slices.Contains(machines, window.machine) {
			machines = append(machines, window.machine)
		}
	}
	return machines
}

// drawPhases draws a line for each phase of each maintenance window, in the row of its machine.
func (f *Fleet) drawPhases(p *plot.Plot, windows []*maintenanceWindow, machines []string) error {
	seconds := slices.Sorted(maps.Keys(f.seconds))
	first, last := seconds[0], seconds[len(seconds)-1]
	inLegend := make(map[string]bool)
	for _, window := range windows {
		row := float64(slices.Index(machines, window.machine))
		for _, phase := range windowPhases {
			from, to, ok := phase.span(window, last)
			if !ok {
				continue
			}
			line, err := plotter.NewLine(plotter.XYs{{X: float64(from - first), Y: row}, {X: float64(to - first), Y: row}})
			if err != nil {
				return err
			}
			line.Width, line.Color = vg.Points(phaseLineWidth), phase.color
			p.Add(line)
			if !inLegend[phase.name] {
				inLegend[phase.name] = true
				p.Legend.Add(phase.name, line)
			}
		}
	}
	return nil
}
