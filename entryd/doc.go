// Package entryd is the shell of an entry, the daemon that callers reach. It
// connects the gate's core and the member table with callers' HTTP requests,
// the sidecars, the control replicas and the registrars.
package entryd
