// Package gate decides what an entry does with each online request.
//
// A request arrives, is admitted by the limits of its caller, claims its key
// when it is not idempotent and has one, and is sent to an upstream. The answer
// of the attempt that sends the first byte is relayed; other attempts are
// aborted.
//
// The contract between the core and its shell:
//
//   - Each Arrive leads to exactly one Finish, and a request that is given up
//     gets it at once.
//   - The shell reports Ended once for each Send that was not aborted. The
//     outcome not-run is reported only when no engine can have seen the
//     attempt: the sidecar said so, or nothing of it was written.
//   - Each Send is carried out once, on a stream of its own, and Ended tells
//     only what came on this stream.
//   - The shell relays only frames of the attempt that it reported FirstByte
//     for, until the Finish of the request.
//   - Frames and ends of attempts that the core no longer knows are late. The
//     core drops them with a Dropped output, which is counted.
//
// An attempt is repeated when the last one has truthfully not run, or when the
// request is idempotent and nothing was relayed. A non-idempotent request is
// sent again only after a not-run. Retries and hedges share one budget for each
// service.
//
// A claimed request goes on when its caller goes away, so that the caller finds
// the recorded answer when it asks again.
//
// While the entry is not ready, new requests are refused as not run, since the
// profiles in force are not known. Requests that were admitted before go on.
package gate
