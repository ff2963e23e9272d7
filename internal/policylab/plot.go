package policylab

import (
	"image/color"
	"strings"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// families are the series of the plot; a policy belongs to the series with whose prefix its name
// begins.
var families = []struct {
	prefix, label string
	color         color.RGBA
	shape         draw.GlyphDrawer
}{
	{"fixed", "fixed keep-alive, 30 s to 6 h", color.RGBA{R: 0xb0, G: 0x5a, B: 0x1e, A: 255}, draw.SquareGlyph{}},
	{"costed", "olivetiller, by weight of an idle hour", color.RGBA{R: 0x3b, G: 0x6e, B: 0x22, A: 255}, draw.CircleGlyph{}},
	{"LRU", "LRU on demand", color.RGBA{R: 0x55, G: 0x55, B: 0x55, A: 255}, draw.TriangleGlyph{}},
	{"oracle", "oracle that knows the future", color.RGBA{R: 0x1e, G: 0x4f, B: 0x9c, A: 255}, draw.PyramidGlyph{}},
}

// PlotFrontier plots the idle hours and the cold-start waits of every policy into base.svg and
// base.png. Lower and further left is better.
func PlotFrontier(results []Result, deployment, base string) error {
	p := plot.New()
	p.Title.Text = "What each policy costs: " + deployment
	p.X.Label.Text = "idle accelerator hours"
	p.Y.Label.Text = "seconds spent waiting for cold starts"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for _, f := range families {
		var pts plotter.XYs
		for _, r := range results {
			if strings.HasPrefix(r.Policy, f.prefix) {
				pts = append(pts, plotter.XY{X: r.IdleHours, Y: r.ColdSeconds})
			}
		}
		if len(pts) == 0 {
			continue
		}
		line, points, err := plotter.NewLinePoints(pts)
		if err != nil {
			return eris.Wrap(err, "plot")
		}
		line.Color, points.Color, points.Shape = f.color, f.color, f.shape
		points.Radius = vg.Points(4)
		p.Add(line, points)
		p.Legend.Add(f.label, line, points)
	}
	p.Y.Min = 0
	for _, ending := range []string{".svg", ".png"} {
		if err := p.Save(18*vg.Centimeter, 12*vg.Centimeter, base+ending); err != nil {
			return eris.Wrap(err, "plot")
		}
	}
	return nil
}
