// Package answer reads the responses to requests on the connections of package
// connpool. It defines what an answer is and to which exchange it belongs, for all
// clients of upstreams.
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
package answer
