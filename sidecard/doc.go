// Package sidecard is the shell of a sidecar, the process beside one upstream.
// It connects the sidecar's core and the batch worker's core with the engine,
// the entries, the control replicas and the registrars.
package sidecard
