package bench

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement of a slope.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Slope is a quantity measured at several sizes, with the least-squares line through the points.
type Slope struct {
	// Name is the name of the quantity; XUnit and YUnit are the units of the size and of the
	// quantity.
	Name  string `json:"name"`
	XUnit string `json:"xUnit"`
	YUnit string `json:"yUnit"`
	// How describes the setting: real nodes over sockets, or the code alone.
	How    string  `json:"how"`
	Points []Point `json:"points"`
	// Base and PerX define the line y = Base + PerX*x.
	Base float64 `json:"base"`
	PerX float64 `json:"perX"`
	// R2 is the share of the variance that the line explains. WorstError is the largest deviation
	// of a point from the line, relative to the point.
	R2         float64 `json:"r2"`
	WorstError float64 `json:"worstError"`
}

// At returns the value of the line at size x.
func (s *Slope) At(x float64) float64 { return s.Base + s.PerX*x }

// fit sets the line and its errors from the points.
func (s *Slope) fit() {
	xs, ys := make([]float64, len(s.Points)), make([]float64, len(s.Points))
	for i, p := range s.Points {
		xs[i], ys[i] = p.X, p.Y
	}
	s.Base, s.PerX = stat.LinearRegression(xs, ys, nil, false)
	s.R2 = stat.RSquared(xs, ys, nil, s.Base, s.PerX)
	if math.IsNaN(s.R2) {
		// All points have the same value, which a constant line explains fully.
		s.R2 = 1
	}
	for _, p := range s.Points {
		if p.Y != 0 {
			s.WorstError = max(s.WorstError, math.Abs(s.At(p.X)-p.Y)/math.Abs(p.Y))
		}
	}
}
