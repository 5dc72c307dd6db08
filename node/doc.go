// Package node holds what the daemons of a deployment without a static list
// of members share: their settings, the way they find and follow the control
// replicas, and the exchange of load reports.
//
// A daemon knows a few addresses at its start. It subscribes to every control
// replica that it hears of and merges what they say, so that its view depends
// on no single replica: the routing table with the highest version, the latest
// heartbeat of each upstream, and all daemons that any replica sees.
package node
