// Package admit limits what callers may ask for and how often an entry tries
// again.
//
// Callers holds the in-flight and rate limits of each caller of each service.
// When a service is overloaded it also admits callers by equal shares of the
// capacity, so that one caller cannot take it all. Budget limits the retries of
// a service to a share of its requests.
//
// The types belong to one goroutine and take the time as an argument.
package admit
