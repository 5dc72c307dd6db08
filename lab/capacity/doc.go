// Package capacity measures how the costs of the cores grow with their load, and
// calculates what each role requires at the design size.
//
// Each CostSeries is measured with the real cores at three or more sizes, in
// virtual time, and a line is fitted to it. WritePage writes the lines and the
// requirements to docs/capacity-cores.md.
package capacity
