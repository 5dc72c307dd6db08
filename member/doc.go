// Package member keeps the upstreams that announce themselves and spreads
// their changes among the entries.
//
// An Announcer runs on each sidecar. It announces its upstream to a few
// registrars, chosen by rendezvous hashing over the registrars of its
// settings, at once on a change and as a short heartbeat otherwise. A change
// is repeated until each registrar has replied that it holds it; a registrar
// that does not reply is replaced by the next one.
//
// A Registrar runs on each entry that is named as a registrar. It expires
// members that are silent, numbers every change with a version of its own,
// and sends the changes to its subscribers until they are acknowledged.
//
// A Table runs on each entry. It subscribes to every registrar and merges
// what they report: of two reports about a member the higher (incarnation,
// version) wins, so that a member which drains may serve again, and a member
// that left does not return within its incarnation. A member is gone
// when it left, or when no live registrar lists it. While no registrar
// answers, the Table keeps what it has.
//
// All three types follow the contract of package core. Messages may be lost,
// doubled and reordered. The cost of an idle member is one short datagram and
// one reply for each of its registrars and heartbeat; entries hear of it only
// when it changes. The load of a member is announced only when it changed
// greatly, because answers carry it.
package member
