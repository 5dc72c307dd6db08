// Package upstream exchanges HTTP/1.1 requests with the engines of a service
// and relays their answers as they come.
//
// An exchange tells apart what the callers of a retry must know: a request
// that was certainly not sent, one that the engine says it has not run, and
// one that may have run. Answers are matched with their request by its ID, so
// that a late answer to an earlier request on the same connection is dropped.
// How the platform writes these things is the business of a Dialect.
package upstream
