// Package engine talks to upstreams: model engines with an OpenAI-compatible
// HTTP interface, and plain HTTP services.
//
// A Client runs one request at a time for each call of Run, and as many calls
// at once as the caller makes. Run passes the parts of the answer to a sink in
// order and returns one Result. The Result is exact in what callers rely on:
//
//   - Sent is false only when no byte of the request left this process, so the
//     upstream cannot have run it.
//   - Complete is true only when the whole answer was seen: the end of the
//     event stream, or every byte that Content-Length announced.
//   - Every chunk that reaches the sink carries the request's own answer ID.
//     Other chunks are dropped and counted.
//
// Cancelling the context closes the connection and sends an explicit cancel to
// a model engine. A client never repeats a request.
package engine
