package main

import (
	"fmt"
)

// meshPoints are measured values by mesh size, for a linear fit.
type meshPoints struct{ x, y []float64 }

func (p *meshPoints) add(x, y float64) { p.x, p.y = append(p.x, x), append(p.y, y) }

// fit returns the least-squares line, as its value at 0 and its slope, and the fraction of the variance that it
// explains.
func (p *meshPoints) fit() (at0, slope, explained float64) {
	n := float64(len(p.x))
	var mx, my, xx, xy, yy float64
	for i := range p.x {
		mx, my = mx+p.x[i]/n, my+p.y[i]/n
	}
	for i := range p.x {
		dx, dy := p.x[i]-mx, p.y[i]-my
		xx, xy, yy = xx+dx*dx, xy+dx*dy, yy+dy*dy
	}
	if xx == 0 || yy == 0 {
		return my, 0, 0
	}
	return my - xy/xx*mx, xy / xx, xy * xy / (xx * yy)
}

func (p *meshPoints) print(what, unit string, scale float64) {
	if len(p.x) < 2 {
		return
	}
	at0, slope, explained := p.fit()
	fmt.Printf("slope: %s: %.4g %s + %.4g %s for each sidecar; explains %.3f of the variance over %d sizes\n", what,
		at0*scale, unit, slope*scale, unit, explained, len(p.x))
}
