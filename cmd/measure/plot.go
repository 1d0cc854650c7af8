package main

import (
	"fmt"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// series is one line of a plot, with a value every step seconds.
type series struct {
	name   string
	step   float64
	values []float64
}

// plotLines writes a plot of lines over time as an SVG file into plotDir. It does nothing if plotDir is empty.
func plotLines(file, title, unit string, lines ...series) error {
	if plotDir == "" {
		return nil
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "s", unit
	p.Y.Min = 0
	p.Legend.Top = true
	for i, l := range lines {
		points := make(plotter.XYs, len(l.values))
		for n, v := range l.values {
			points[n] = plotter.XY{X: float64(n) * l.step, Y: v}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return fmt.Errorf("plot %s, %s: %w", file, l.name, err)
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(l.name, line)
	}
	return p.Save(20*vg.Centimeter, 9*vg.Centimeter, filepath.Join(plotDir, file))
}
