package experiment

import (
	"context"
	"fmt"
	"io"
)

// Relation tells on which side of a bound a value must be.
type Relation string

// Relations of a value to its bound.
const (
	AtMost  Relation = "<="
	AtLeast Relation = ">="
)

// Bound is a stated target.
type Bound struct {
	Relation Relation `json:"relation"`
	Value    float64  `json:"value"`
}

// UpperBound returns a bound that values must not exceed.
func UpperBound(value float64) *Bound { return &Bound{Relation: AtMost, Value: value} }

// LowerBound returns a bound that values must reach.
func LowerBound(value float64) *Bound { return &Bound{Relation: AtLeast, Value: value} }

// Met reports whether a value keeps the bound.
func (b *Bound) Met(value float64) bool {
	if b.Relation == AtMost {
		return value <= b.Value
	}
	return value >= b.Value
}

// Measure is one measured value. A nil bound states no target.
type Measure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	Bound *Bound  `json:"bound,omitempty"`
}

// MeetsBound reports whether the measure keeps its bound, if it has one.
func (m Measure) MeetsBound() bool { return m.Bound == nil || m.Bound.Met(m.Value) }

// String returns the line that the bench prints.
func (m Measure) String() string {
	bound, verdict := "none", "ok"
	if m.Bound != nil {
		bound = fmt.Sprintf("%s%g", m.Bound.Relation, m.Bound.Value)
	}
	if !m.MeetsBound() {
		verdict = "short"
	}
	return fmt.Sprintf("bench %s value=%.4g%s bound=%s %s", m.Name, m.Value, unitSuffix(m.Unit), bound, verdict)
}

func unitSuffix(unit string) string {
	if unit == "" {
		return ""
	}
	return " unit=" + unit
}

// Series is one line of a figure.
type Series struct {
	Name string
	X, Y []float64
}

// Figure is a plot of series.
type Figure struct {
	Name   string
	Title  string
	XLabel string
	YLabel string
	Series []Series
}

// Result is what an experiment has found.
type Result struct {
	Measures []Measure
	Figures  []Figure
}

// Experiment is one measurement. Equal seeds give equal loads.
type Experiment struct {
	Name string
	Run  func(ctx context.Context, seed uint64) (Result, error)
}

// WriteMeasures prints one line for each measure and returns how many fall short.
func WriteMeasures(w io.Writer, measures []Measure) (missed int, err error) {
	for _, m := range measures {
		if !m.MeetsBound() {
			missed++
		}
		if _, err := fmt.Fprintln(w, m); err != nil {
			return missed, err
		}
	}
	return missed, nil
}
