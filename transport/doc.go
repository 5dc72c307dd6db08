// Package transport sends envelopes between briarcross processes.
//
// A client keeps one TCP connection per server and traffic class and multiplexes
// yamux streams over it, so that batch results never delay online tokens on the
// same connection and a slow reader of one stream doesn't block the others.
// Frames are length-delimited protobuf envelopes. The small periodic membership
// messages are sent as UDP datagrams.
//
// The header of an envelope holds the sender, the sender's incarnation and, if
// known, the incarnation of the intended receiver. A receiver drops and counts
// envelopes for another incarnation of itself or for another group.
package transport
