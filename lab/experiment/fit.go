package experiment

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Fit is a straight line fitted to measured points.
type Fit struct {
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	// Residual is the root mean square deviation of the points from the line,
	// as a share of their mean.
	Residual float64 `json:"residual"`
	// Points is the number of points.
	Points int `json:"points"`
}

// FitLine fits a line by least squares. It needs at least two points.
func FitLine(x, y []float64) Fit {
	const throughOrigin = false
	intercept, slope := stat.LinearRegression(x, y, nil, throughOrigin)
	sum := 0.0
	for i := range x {
		deviation := y[i] - intercept - slope*x[i]
		sum += deviation * deviation
	}
	mean := stat.Mean(y, nil)
	residual := 0.0
	if mean != 0 {
		residual = math.Sqrt(sum/float64(len(x))) / math.Abs(mean)
	}
	return Fit{Intercept: intercept, Slope: slope, Residual: residual, Points: len(x)}
}

// At returns the value of the line at x.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }
