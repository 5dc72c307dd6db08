package entrynode

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"slices"

	"github.com/briarcross/briarcross/dispatch"
	"github.com/briarcross/briarcross/eventlog"
	"github.com/briarcross/briarcross/quarantine"
)

// Reasons of the refusal of requests that crash engines.
const (
	// promptQuarantined: engines crash on a part that the prompt shares with others.
	promptQuarantined = "prompt_quarantined"
	// requestQuarantined: engines crash on this request.
	requestQuarantined = "request_quarantined"
)

// digestBytes is the length of the digest of a request.
const digestBytes = 12

// requestDigest identifies the content of a request. The same request has the same digest
// when it comes again, at any entry.
func requestDigest(r *http.Request, body []byte) string {
	h := sha256.New()
	// Writes to a hash do not fail.
	for _, field := range []string{r.Method, r.Host, r.RequestURI} {
		_, _ = io.WriteString(h, field+"\n")
	}
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:digestBytes])
}

// endIfQuarantined ends a request that crashes engines.
func (x *exchange) endIfQuarantined() bool {
	remaining, quarantined := x.node.Quarantine.Check(x.suspectParts())
	if !quarantined {
		return false
	}
	reason := requestQuarantined
	if _, sharedPart := x.node.Quarantine.Check(x.promptParts); sharedPart {
		reason = promptQuarantined
	}
	if x.mayHaveRunCount > 0 {
		x.fail(reason)
		return true
	}
	x.refuse(refusal{
		reason: reason, retryAfter: remaining, route: x.route.Name, routingVersion: x.table.Version, elapsed: x.elapsed(),
		timeToDeadline: x.timeout - x.elapsed(),
	})
	return true
}

// suspectParts returns what of the request may crash an engine: the shared parts of its
// prompt, and the request itself.
func (x *exchange) suspectParts() []string {
	return append(slices.Clip(x.promptParts), x.requestPart)
}

// recordInterruption logs that the connection to an upstream broke before the response
// was complete. events is the number of events of this attempt. An engine that had
// answered hardly or not at all may have crashed on the request.
func (x *exchange) recordInterruption(grant dispatch.Grant, reason string, answering bool, events int) {
	if x.ctx.Err() != nil {
		return
	}
	x.node.logger.Info(eventlog.AttemptInterrupted, "request", x.loggedID(), "upstream", grant.Upstream, "born", grant.StartUnixMs,
		"reason", reason, "answering", answering, "events", events, "parts", x.promptParts, "content", x.requestPart)
	if events < quarantine.MinServedEvents {
		x.node.Quarantine.RecordCrash(grant, x.suspectParts(), answering)
	}
}
