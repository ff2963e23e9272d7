package quotalab

import (
	"time"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Named is a result with the name of its traffic pattern.
type Named struct {
	Name string
	Result
}

// NodeCounts are the numbers of nodes with which Compare runs each pattern.
var NodeCounts = []int{7, 71, 300}

// pattern is a traffic pattern; disturb adds its hot customer and faults to a load.
type pattern struct {
	name    string
	disturb func(l *Load)
}

// patterns are the traffic patterns that Compare runs.
var patterns = []pattern{
	{"quiet", func(*Load) {}},
	{"hot customer", addHotCustomer},
	{"hot, granter lost 3.5 s", func(l *Load) {
		addHotCustomer(l)
		l.LostFrom, l.LostFor = 15*time.Second, 3500*time.Millisecond
	}},
	{"hot, a third cut off 9 s", func(l *Load) {
		addHotCustomer(l)
		l.CutShare, l.CutFrom, l.CutFor = 0.33, 12*time.Second, 9*time.Second
	}},
}

// addHotCustomer lets the largest customer send 7.5 times its usual traffic from the fifth second on.
func addHotCustomer(l *Load) { l.Hot, l.HotFrom = 7.5, 5*time.Second }

// Compare simulates every pattern with every design and number of nodes, each with the given number
// of seeds, and returns the worst value of each figure over the seeds.
func Compare(seeds int, lasts time.Duration) []Named {
	var out []Named
	for _, p := range patterns {
		for _, nodes := range NodeCounts {
			for _, d := range Designs {
				worst := Named{Name: p.name}
				for seed := range seeds {
					l := Load{Nodes: nodes, Customers: 16, Tokens: 418000, For: lasts, Seed: uint64(seed) + 1}
					p.disturb(&l)
					worst.keepWorst(Simulate(d, l))
				}
				out = append(out, worst)
			}
		}
	}
	return out
}

// keepWorst replaces each figure by that of r if it is worse.
func (n *Named) keepWorst(r Result) {
	n.Design, n.Load = r.Design, r.Load
	n.Worst, n.Over = max(n.Worst, r.Worst), max(n.Over, r.Over)
	n.Refused, n.Questions = max(n.Refused, r.Refused), max(n.Questions, r.Questions)
}

// Plot plots the share of tokens refused within the limit against the number of nodes, for the
// pattern in which the granter is lost, into base.svg and base.png.
func Plot(results []Named, base string) error {
	p := plot.New()
	p.Title.Text = "Refused beneath the limit: one hot customer, granter lost for 3.5 s"
	p.X.Label.Text, p.Y.Label.Text = "nodes", "share of tokens"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left, p.Y.Min = true, true, 0
	for _, d := range Designs {
		var pts plotter.XYs
		for _, r := range results {
			if r.Design == d && r.Load.LostFor > 0 {
				pts = append(pts, plotter.XY{X: float64(r.Load.Nodes), Y: r.Refused})
			}
		}
		line, points, err := plotter.NewLinePoints(pts)
		if err != nil {
			return eris.Wrap(err, "plot")
		}
		p.Add(line, points)
		p.Legend.Add(string(d), line, points)
	}
	for _, ending := range []string{".svg", ".png"} {
		if err := p.Save(16*vg.Centimeter, 10*vg.Centimeter, base+ending); err != nil {
			return eris.Wrap(err, "plot")
		}
	}
	return nil
}
