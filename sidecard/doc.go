// Package sidecard is the daemon that runs beside one upstream. It connects the
// cores sidecar.Sidecar, batch.Worker and fence.Fence with the upstream, the
// entries, the control replicas and the registrars.
package sidecard
