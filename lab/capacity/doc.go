// Package capacity measures how the cost of each core grows, and works out what
// each role needs at the size to design for.
//
// Each Slope is measured with the real cores at three or more sizes, on
// virtual time, and fitted by a line. WritePage turns the slopes into
// docs/CAPACITY.md.
package capacity
