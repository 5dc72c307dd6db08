package entrynode

import (
	"crypto/sha256"
	"encoding/hex"
	"io"

	"github.com/briarcross/briarcross/dispatch"
	"github.com/briarcross/briarcross/eventlog"
	"github.com/briarcross/briarcross/quarantine"
)

// promptQuarantined is the reason of the refusal of requests on whose prompt engines
// crash.
const promptQuarantined = "prompt_quarantined"

// digestBytes is the length of the digest of a request.
const digestBytes = 12

// requestDigest identifies the content of a request. The same request has the same digest
// when it comes again, at any entry.
func (x *exchange) requestDigest() string {
	h := sha256.New()
	// Writes to a hash do not fail.
	for _, field := range []string{x.request.Method, x.request.Host, x.request.RequestURI} {
		_, _ = io.WriteString(h, field+"\n")
	}
	_, _ = h.Write(x.body)
	return hex.EncodeToString(h.Sum(nil)[:digestBytes])
}

// endIfQuarantined ends a request on whose prompt engines crash.
func (x *exchange) endIfQuarantined() bool {
	remaining, quarantined := x.node.Quarantine.Check(x.promptParts)
	if !quarantined {
		return false
	}
	if x.mayHaveRunCount > 0 {
		x.fail(promptQuarantined)
		return true
	}
	x.node.refuse(x.w, x.headers.ID, refusal{
		reason: promptQuarantined, retryAfter: remaining, route: x.route.Name, routingVersion: x.table.Version, elapsed: x.elapsed(),
		timeToDeadline: x.timeout - x.elapsed(),
	})
	return true
}

// recordInterruption logs that the connection to an upstream broke before the response
// was complete. events is the number of events of this attempt. An engine that had just
// begun to answer may have crashed on the prompt.
func (x *exchange) recordInterruption(grant dispatch.Grant, reason string, answering bool, events int) {
	if x.ctx.Err() != nil {
		return
	}
	x.node.logger.Info(eventlog.AttemptInterrupted, "request", x.headers.ID, "upstream", grant.Upstream, "born", grant.StartUnixMs,
		"reason", reason, "answering", answering, "events", events, "parts", x.promptParts, "content", x.requestDigest())
	if answering && events < quarantine.MinServedEvents {
		x.node.Quarantine.RecordCrash(grant, x.promptParts)
	}
}
