// Package member implements the membership of upstreams: sidecars announce
// them, registrars track them, and entries subscribe to the changes.
//
// An Announcer runs on each sidecar. It announces its upstream to a few
// registrars, chosen by rendezvous hashing from the configured ones. It sends a
// change at once and a short heartbeat at intervals. It retransmits a change
// until each chosen registrar has acknowledged it, and replaces a registrar that
// does not reply by the next one.
//
// A Registrar runs on each entry that is configured as a registrar. It expires
// members whose announcements stop, assigns every change a version of its own,
// and sends the changes to its subscribers until they are acknowledged.
//
// A Table runs on each entry. It subscribes to every registrar and merges their
// reports. Of two reports about a member, the one with the higher (incarnation,
// version) wins; so a draining member may serve again, but a member that left
// stays removed for the rest of its incarnation. A member is removed when it
// left or when no live registrar lists it. While no registrar responds, the
// Table keeps its members.
//
// All three types follow the contract of package core. Messages may be lost,
// duplicated and reordered. An idle member costs one short datagram and one
// reply per registrar and heartbeat; entries receive messages about it only when
// it changes. Only large changes of a member's load are announced, because
// responses to requests also include the load.
package member
