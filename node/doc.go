// Package node holds the common parts of the daemons of a deployment without a
// static list of members: their settings, the discovery of control replicas and
// the subscriptions to them, and the exchange of load reports.
//
// A daemon starts with a few seed addresses. It subscribes to every control
// replica that it discovers and merges their updates, so that its view depends
// on no single replica: it holds the routing table with the highest version, the
// latest heartbeat of each upstream, and all daemons that any replica reports.
package node
