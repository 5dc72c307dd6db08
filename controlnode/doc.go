// Package controlnode runs a control replica of a deployment whose routing is
// replaced as one document. It replicates the routing table, receives the
// heartbeats of upstreams, and sends updates of both to all daemons.
package controlnode
