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

// The size of a drawing, in points but for the width.
const (
	drawingWidth     = 9 * vg.Inch
	drawingMargin    = 80 // above and below the machines
	heightPerMachine = 16
	phaseLineWidth   = 6
)

// ErrNoWork means that there is nothing to draw: the logs name no turn of any machine.
var ErrNoWork = errors.New("no turn of any machine stands in the logs")

// workPhase is what a turn consists of, from one step to another.
type workPhase struct {
	from, to workStep
	name     string
	color    color.Color
}

var workPhases = []workPhase{
	{stepGiven, stepFree, "leaving", color.RGBA{R: 0xd9, G: 0xa4, B: 0x41, A: 0xff}},
	{stepFree, stepDone, "free to work on", color.RGBA{R: 0xb0, G: 0x3a, B: 0x2e, A: 0xff}},
	{stepDone, stepOver, "cold", color.RGBA{R: 0x5d, G: 0x8a, B: 0xa8, A: 0xff}},
}

// span returns the Unix seconds in which a turn was in the phase; one that has not ended lasts until last. false: it
// never began.
func (p *workPhase) span(turn *workTurn, last int64) (from, to int64, ok bool) {
	from, ok = turn.at[p.from]
	if !ok {
		return 0, 0, false
	}
	to = last
	for _, end := range []workStep{p.to, stepWithdrawn} {
		if at, known := turn.at[end]; known {
			to = min(to, at)
		}
	}
	return from, max(to, from), true
}

// DrawWork draws the turns over time as SVG, a row for each machine. A phase that has not ended lasts until the last
// second that has an event. Without a turn it returns ErrNoWork.
func (f *Fleet) DrawWork(w io.Writer) error {
	if len(f.workTurns) == 0 {
		return ErrNoWork
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text = "machines out for work", "s"
	turns := f.turnsByNumber()
	machines := machinesOf(turns)
	if err := f.drawPhases(p, turns, machines); err != nil {
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

// machinesOf returns the machines of turns, each once, in the order of their first turns.
func machinesOf(turns []*workTurn) []string {
	var machines []string
	for _, turn := range turns {
		if !slices.Contains(machines, turn.machine) {
			machines = append(machines, turn.machine)
		}
	}
	return machines
}

// drawPhases draws a line for each phase of each turn, at the height of its machine's row.
func (f *Fleet) drawPhases(p *plot.Plot, turns []*workTurn, machines []string) error {
	seconds := slices.Sorted(maps.Keys(f.seconds))
	first, last := seconds[0], seconds[len(seconds)-1]
	inLegend := make(map[string]bool)
	for _, turn := range turns {
		row := float64(slices.Index(machines, turn.machine))
		for _, phase := range workPhases {
			from, to, ok := phase.span(turn, last)
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
