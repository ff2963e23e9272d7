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

// Slope is a measured quantity against a size, with the straight line fitted.
type Slope struct {
	// Name says what was measured, XUnit and YUnit in what.
	Name  string `json:"name"`
	XUnit string `json:"xUnit"`
	YUnit string `json:"yUnit"`
	// How says on what: real nodes over sockets, or the code alone.
	How    string  `json:"how"`
	Points []Point `json:"points"`
	// Base and PerX are the line Base + PerX * x.
	Base float64 `json:"base"`
	PerX float64 `json:"perX"`
	// R2 is the share of the variance that the line explains; WorstError the
	// largest deviation of a point from the line, as a share of the point.
	R2         float64 `json:"r2"`
	WorstError float64 `json:"worstError"`
}

// At returns the line's value at a size.
func (s *Slope) At(x float64) float64 { return s.Base + s.PerX*x }

// fit puts the least-squares line through the points.
func (s *Slope) fit() {
	xs, ys := make([]float64, len(s.Points)), make([]float64, len(s.Points))
	for i, p := range s.Points {
		xs[i], ys[i] = p.X, p.Y
	}
	s.Base, s.PerX = stat.LinearRegression(xs, ys, nil, false)
	s.R2 = stat.RSquared(xs, ys, nil, s.Base, s.PerX)
	if math.IsNaN(s.R2) {
		// All points are equal: the level line explains them.
		s.R2 = 1
	}
	for _, p := range s.Points {
		if p.Y != 0 {
			s.WorstError = max(s.WorstError, math.Abs(s.At(p.X)-p.Y)/math.Abs(p.Y))
		}
	}
}
