package experiment

import (
	"context"
	"fmt"
	"io"
)

// Relation is the comparison that a value must satisfy against its bound.
type Relation string

// Relations of a value to its bound.
const (
	AtMost  Relation = "<="
	AtLeast Relation = ">="
)

// Bound is the target of a measure.
type Bound struct {
	Relation Relation `json:"relation"`
	Value    float64  `json:"value"`
}

// UpperBound returns a bound that values must not exceed.
func UpperBound(value float64) *Bound { return &Bound{Relation: AtMost, Value: value} }

// LowerBound returns a bound that values must reach.
func LowerBound(value float64) *Bound { return &Bound{Relation: AtLeast, Value: value} }

// Met reports whether a value satisfies the bound.
func (b *Bound) Met(value float64) bool {
	if b.Relation == AtMost {
		return value <= b.Value
	}
	return value >= b.Value
}

// Measure is one measured value. Its bound is nil if it has no target.
type Measure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	Bound *Bound  `json:"bound,omitempty"`
}

// MeetsBound reports whether the measure satisfies its bound or has none.
func (m Measure) MeetsBound() bool { return m.Bound == nil || m.Bound.Met(m.Value) }

// String returns the line that briarcross-lab bench prints for the measure.
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

// Result holds the measures and figures of one run of an experiment.
type Result struct {
	Measures []Measure
	Figures  []Figure
}

// Experiment is a named function that takes measurements. Equal seeds generate
// equal loads.
type Experiment struct {
	Name string
	Run  func(ctx context.Context, seed uint64) (Result, error)
}

// WriteMeasures writes one line for each measure and returns how many miss their
// bounds.
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
