// Package transport carries envelopes between briarcross processes.
//
// Each pair of processes holds one TCP connection for each traffic class, with
// yamux streams over it, so that a batch result never stands before an online
// token in one connection, and a slow reader of one stream holds up no other.
// Frames are length-delimited protobuf envelopes. Datagrams carry the small
// periodic messages of the membership over UDP.
//
// Every envelope names its sender, the sender's incarnation and, where the
// sender knows it, the incarnation of the receiver that it is meant for. A
// receiver drops envelopes for another incarnation of itself and counts them.
package transport
