// Package quarantine finds the parts of prompts that crash engines, so that requests
// with such a part are kept away from the engines that are left. A request that comes again
// and crashes engines whatever its prompt shares with others is a part as well, the last
// one of its prompt; see RequestPart.
//
// The evidence is a set of crashes and a set of served parts. A crash is the loss of one
// start of an engine. Its suspects are the shared parts of the prompts that the engine had,
// and had not answered with more than a few events. A part is served once
// an engine has gone beyond that with it; that clears the part of earlier crashes, and of
// those within servedWindow after it.
//
// A part is quarantined while it explains at least minCrashes crashes that no other
// part explains better, and one of them is repeated: its prompt was sent by a daemon that
// knew of an earlier crash with the part. Requests that were begun beside the one that
// crashed the engine share some of its crashes, but not all. Requests that wait at an
// engine break off unanswered whatever it crashed on, so that a shared part needs
// minUnansweredCrashes if fewer than minCrashes engines had begun to answer.
//
// Daemons exchange evidence, not verdicts. Merging is idempotent and independent of the
// order, so daemons with the same evidence agree. A Table reads no clock and is not
// safe for concurrent use.
package quarantine
