// Package load is a load generator that follows a plan and checks every
// response.
//
// The load is open loop: arrival times are drawn before the run, and latencies
// are measured from the planned arrival, so that a slow system does not reduce
// its own load (no coordinated omission). Each response is compared with the
// text that the emulated engines generate for the prompt.
package load
