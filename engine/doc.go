// Package engine talks to upstreams: model engines with an OpenAI-compatible
// HTTP interface, and plain HTTP services.
//
// Each call of Client.Run sends one request; calls may run concurrently. Run
// passes the parts of the response to a sink in order and returns a Result.
// Callers may rely on these guarantees:
//
//   - Result.Sent is false only when no byte of the request left this process,
//     so the upstream cannot have run it.
//   - Result.Complete is true only when the whole response was received: up to
//     the end mark of an event stream, or all bytes that Content-Length states.
//   - Every chunk of a model engine's event stream that reaches the sink carries
//     the response ID of the request. Other chunks are dropped and counted.
//
// Which response answers a request is defined in package answer. The connection
// of an upstream that does not send HeaderRequestID back carries one request.
//
// Cancelling the context closes the connection; a model engine is also sent a
// cancel request. A client never retries a request.
package engine
