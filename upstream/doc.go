// Package upstream sends HTTP/1.1 requests to the engines of a service and
// streams their responses.
//
// For the decision to retry, a client distinguishes a request that was not sent,
// one that the engine states it has not run, and one that may have run. Which
// response answers a request is defined in package answer. A HeaderCodec maps the
// request ID and the engine's statements to the headers of the platform.
package upstream
