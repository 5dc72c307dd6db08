// Package entryd implements the entry, the daemon that receives callers'
// requests. It connects the gate core and the member table to the HTTP server,
// the sidecars, the control replicas and the registrars.
package entryd
