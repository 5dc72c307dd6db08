// Package origins remembers which engines began the streams of callers.
//
// A stream may go on only at the software version that began it, and its caller may
// take it up at another daemon than the one that began it. The daemon that passes on
// the first event of a stream records its origin in a Table of its own and at the
// daemons that Homes names; the daemon at which the caller returns looks there.
// The package has no clock and does no I/O.
package origins
