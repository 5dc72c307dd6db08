package sidecar

import "slices"

// runningStreams counts what the engine runs.
type runningStreams struct {
	onlineCount int
	// stoppingCount streams were told to stop and still hold their places.
	stoppingCount int
	// awaitingFirstToken streams have produced no token since their start, onlineSilent are
	// the online ones among them.
	awaitingFirstToken       int
	onlineAwaitingFirstToken int
	// batchStreams are the running batch streams in the order of their starts.
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

// stopAwaitingFirstToken counts the first token of a stream.
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

// cheapestToPreempt returns the running batch stream that loses least when it stops, or
// nil. Streams that may not run twice are never chosen.
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

// The costs of stopping a stream, in units of one prompt token computed.
const (
	// A token decoded costs as much as this many prompt tokens.
	decodeCostFactor = 8
	// Moving this many tokens of KV cache costs as much as one prompt token.
	kvTransferDivisor = 4
)

// preemptionCost returns the work that is lost when a stream stops. Each earlier stop
// doubles it, so that no item is stopped for ever.
func (s *Sidecar) preemptionCost(e *entry) int {
	cost := s.uncachedPromptTokens(e.work) + e.producedTokens*decodeCostFactor
	if s.options.CanPause {
		cost = (e.work.PromptTokens + e.producedTokens) / kvTransferDivisor
	}
	const maxDoublings = 16
	return (cost + 1) << min(e.preemptions, maxDoublings)
}

// uncachedPromptTokens returns the prompt tokens that the engine has to compute when the
// work starts.
func (s *Sidecar) uncachedPromptTokens(w Work) int {
	if len(w.PrefixHashes) == 0 {
		return w.PromptTokens
	}
	cached := s.prefixCache.countCached(w.PrefixHashes)
	return w.PromptTokens * (len(w.PrefixHashes) - cached) / len(w.PrefixHashes)
}
