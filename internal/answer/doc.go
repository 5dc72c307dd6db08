// Package answer reads the responses to requests on the connections of package
// connpool. It defines what an answer is, to which exchange it belongs and when it
// is whole, for all clients of upstreams.
//
// What an answer is. The status line names HTTP/1 and a status of 200 to 599. A
// status of 100 to 199 is an interim response, which an answer follows, except
// 101: no client asks for another protocol. All other bytes are no answer,
// whatever their status. An exchange without an answer has failed, and its request
// may have run.
//
// To which exchange it belongs. An engine may write a response once more, where
// the next one is expected. So an answer belongs to an exchange only if it
// follows from the connection and the ID of the request:
//
//   - An ID is sent at most once on a connection (connpool.Pool.GetFor). An answer
//     with the ID of the request thus belongs to no earlier exchange, whatever
//     the status of the earlier one was.
//   - An answer with another ID is discarded.
//   - An answer without an ID belongs to the exchange only if no earlier request
//     was sent on the connection. The connection is not used again after it.
//
// When it is whole. A body with a length or in chunks is whole when its last byte
// has been read, also if the connection is reset later. A body that ends with its
// connection is whole only if the upstream ended its side of the connection in
// order, after it acknowledged the whole request; see connpool.Conn.CheckEnd.
//
// The status makes no difference: a refusal counts by its head alone, but the
// body of an early error that is not known to be whole is not relayed either.
//
// A request is written whole before its answer is read. After a failed write
// nothing may be read: the write takes the error of the socket with it, so that
// a connection that was reset would seem to end in order.
//
// Limit: an upstream's kernel acknowledges a short request that the upstream
// itself never reads. If the upstream ends its side and resets the connection
// only after that end was read, the body passes for a whole one.
package answer
