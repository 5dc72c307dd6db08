// Package load generates load by a plan and checks every answer.
//
// Arrivals are open loop: their times are drawn before the run, and latencies
// count from the planned arrival, so that a slow system cannot thin its own
// load out (no coordinated omission). Each answer is compared with the one
// that the fake engines give to the prompt.
package load
