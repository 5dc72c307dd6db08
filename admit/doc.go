// Package admit limits the requests of callers and the retries of an entry.
//
// CallerLimiter enforces the in-flight and rate limits of each caller of each
// service. When a service is overloaded, it also limits each caller to an equal
// share of the capacity, so that one caller cannot take all of it. RetryBudget
// limits the retries of a service to a share of its requests.
//
// The types are not safe for concurrent use and take the time as an argument.
package admit
