// Package controlnode runs a control replica of a deployment that is
// configured as a whole. It replicates the routing table, takes the upstreams'
// heartbeats, and tells all daemons of both.
package controlnode
