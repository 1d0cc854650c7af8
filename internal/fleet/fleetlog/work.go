package fleetlog

import (
	"errors"
	"fmt"
	"image/color"
	"io"
	"maps"
	"regexp"
	"slices"
	"strconv"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// turn is a machine's turn, by the second in which the first sidecar logged each step of it.
type turn struct {
	number  uint64
	machine string
	at      map[string]int64 // given, free, done, over, withdrawn
}

var workLine = regexp.MustCompile(`^work: (given|free|done|over|withdrawn)"? number=(\d+) by=\d+ machine=(\S+)`)

// work takes a line on machines out for work; false: it is none.
func (f *Fleet) work(second int64, message string) bool {
	m := workLine.FindStringSubmatch(message)
	if m == nil {
		return false
	}
	n, err := strconv.ParseUint(m[2], 10, 32)
	if err != nil {
		return false
	}
	t := f.turns[n]
	if t == nil {
		t = &turn{n, m[3], make(map[string]int64)}
		f.turns[n] = t
	}
	if at, known := t.at[m[1]]; !known || second < at {
		t.at[m[1]] = second
	}
	return true
}

// order are the turns by number.
func (f *Fleet) order() (all []*turn) {
	for _, n := range slices.Sorted(maps.Keys(f.turns)) {
		all = append(all, f.turns[n])
	}
	return all
}

// reportWork writes a line for each turn: in which second it was given, its machine free, done, warm again.
func (f *Fleet) reportWork(w io.Writer, first int64) error {
	if len(f.turns) == 0 {
		return nil
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "turn\tmachine\tgiven\tfree\tdone\tover\twithdrawn")
	for _, x := range f.order() {
		fmt.Fprintf(t, "%d\t%s", x.number, x.machine)
		for _, what := range []string{"given", "free", "done", "over", "withdrawn"} {
			if at, known := x.at[what]; known {
				fmt.Fprintf(t, "\t%d", at-first)
			} else {
				fmt.Fprint(t, "\t-")
			}
		}
		fmt.Fprintln(t)
	}
	return t.Flush()
}

// ErrNoWork is why nothing was drawn.
var ErrNoWork = errors.New("no turn of any machine stands in the logs")

// stretches are what a turn consists of, and how each is drawn.
var stretches = []struct {
	from, to, name string
	color          color.Color
}{
	{"given", "free", "leaving", color.RGBA{R: 0xd9, G: 0xa4, B: 0x41, A: 0xff}},
	{"free", "done", "free to work on", color.RGBA{R: 0xb0, G: 0x3a, B: 0x2e, A: 0xff}},
	{"done", "over", "cold", color.RGBA{R: 0x5d, G: 0x8a, B: 0xa8, A: 0xff}},
}

// DrawWork draws the turns over time as SVG, a line for each machine. What has not ended reaches to the last second that was logged.
func (f *Fleet) DrawWork(w io.Writer) error {
	if len(f.turns) == 0 {
		return ErrNoWork
	}
	seconds := slices.Sorted(maps.Keys(f.seconds))
	first, last := seconds[0], seconds[len(seconds)-1]
	p := plot.New()
	p.Title.Text, p.X.Label.Text = "machines out for work", "s"
	rows, names := make(map[string]int), []string(nil)
	for _, t := range f.order() {
		if _, known := rows[t.machine]; !known {
			rows[t.machine] = len(names)
			names = append(names, t.machine)
		}
	}
	drawn := make(map[string]bool)
	for _, t := range f.order() {
		for _, s := range stretches {
			from, begun := t.at[s.from]
			if !begun {
				continue
			}
			to := last
			for _, end := range []string{s.to, "withdrawn"} {
				if at, known := t.at[end]; known {
					to = min(to, at)
				}
			}
			y := float64(rows[t.machine])
			line, err := plotter.NewLine(plotter.XYs{{X: float64(from - first), Y: y}, {X: float64(max(to, from) - first), Y: y}})
			if err != nil {
				return err
			}
			line.Width, line.Color = vg.Points(6), s.color
			if p.Add(line); !drawn[s.name] {
				drawn[s.name] = true
				p.Legend.Add(s.name, line)
			}
		}
	}
	p.NominalY(names...)
	p.Legend.Top = true
	svg, err := p.WriterTo(9*vg.Inch, vg.Points(float64(80+16*len(names))), "svg")
	if err != nil {
		return err
	}
	_, err = svg.WriteTo(w)
	return err
}
