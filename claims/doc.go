// Package claims keeps the replicated table of non-idempotent requests that
// carry a Caller's key.
//
// A request is claimed in the log before it runs. The key is unique for each
// Caller until the claim's retention has passed in log time. The same key
// through any entry gets the recorded outcome, or the state CLAIM_PENDING
// while the outcome is not known; it never starts a second run. A claim that
// certainly did not run is released, and the next request may take the key.
package claims
