// Package claims is the replicated table of claims on idempotency keys, for
// non-idempotent requests that a Caller sends with such a key.
//
// A claim is committed to the log before its request runs. A key is unique for
// each Caller until the claim's retention has passed in log time. Another
// request with the same key, through any entry, gets the recorded outcome, or
// the state CLAIM_PENDING while the outcome is unknown; it is never run. When
// a request certainly did not run, its claim is released, and another request
// may claim the key.
package claims
