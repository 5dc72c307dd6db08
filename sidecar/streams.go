package sidecar

import "slices"

// runningStreams counts the streams that the engine runs.
type runningStreams struct {
	onlineCount int
	// stoppingCount is the number of streams that were told to stop and still use
	// their slots.
	stoppingCount int
	// awaitingFirstToken is the number of streams that have produced no token since
	// their start; onlineAwaitingFirstToken counts the online ones among them.
	awaitingFirstToken       int
	onlineAwaitingFirstToken int
	// batchStreams are the running batch streams in order of their starts.
	batchStreams []*entry
}

func (s *runningStreams) batchCount() int { return len(s.batchStreams) }

func (s *runningStreams) total() int { return s.onlineCount + len(s.batchStreams) }

func (s *runningStreams) add(e *entry) {
	s.awaitingFirstToken++
	if e.work.Class == Online {
		s.onlineCount++
		s.onlineAwaitingFirstToken++
		return
	}
	s.batchStreams = append(s.batchStreams, e)
}

// stopAwaitingFirstToken removes a stream from the counts of those that wait for
// their first token.
func (s *runningStreams) stopAwaitingFirstToken(e *entry) {
	s.awaitingFirstToken--
	if e.work.Class == Online {
		s.onlineAwaitingFirstToken--
	}
}

func (s *runningStreams) remove(e *entry) {
	if e.lastTokenAt.IsZero() {
		s.stopAwaitingFirstToken(e)
	}
	if e.work.Class == Online {
		s.onlineCount--
		return
	}
	at := slices.Index(s.batchStreams, e)
	s.batchStreams = slices.Delete(s.batchStreams, at, at+1)
}

// cheapestToPreempt returns the running batch stream with the lowest preemption
// cost, the latest started among equals, or nil. Non-idempotent items may not run
// twice and are never chosen.
func (s *runningStreams) cheapestToPreempt(costOf func(*entry) int) *entry {
	var cheapest *entry
	var lowestCost int
	for _, e := range slices.Backward(s.batchStreams) {
		if e.state != running || !e.work.Idempotent {
			continue
		}
		cost := costOf(e)
		if cheapest == nil || cost < lowestCost {
			cheapest, lowestCost = e, cost
		}
	}
	return cheapest
}

// Costs of preempting a stream, in units of the computation of one prompt token.
const (
	// decodeCostFactor is the cost of decoding one token.
	decodeCostFactor = 8
	// kvTransferDivisor is the number of KV cache tokens whose transfer costs as
	// much as computing one prompt token.
	kvTransferDivisor = 4
)

// preemptionCost returns the cost of preempting a stream: the work to do again, or
// the transfer of its KV cache. Each earlier preemption doubles the cost, so that
// no item is preempted for ever.
func (s *Sidecar) preemptionCost(e *entry) int {
	cost := s.uncachedPromptTokens(e.work) + e.producedTokens*decodeCostFactor
	if s.options.CanPause {
		cost = (e.work.PromptTokens + e.producedTokens) / kvTransferDivisor
	}
	const maxDoublings = 16
	return (cost + 1) << min(e.preemptions, maxDoublings)
}

// uncachedPromptTokens returns the number of prompt tokens that the engine has to
// compute when the work starts.
func (s *Sidecar) uncachedPromptTokens(w Work) int {
	if len(w.PrefixHashes) == 0 {
		return w.PromptTokens
	}
	cached := s.prefixCache.countCached(w.PrefixHashes)
	return w.PromptTokens * (len(w.PrefixHashes) - cached) / len(w.PrefixHashes)
}
