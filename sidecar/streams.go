package sidecar

import "slices"

// streams counts what the engine runs.
type streams struct {
	online int
	// stopping streams were told to stop and still hold their places.
	stopping int
	// silent streams have produced no token since their start, onlineSilent are
	// the online ones among them.
	silent       int
	onlineSilent int
	// items are the running batch streams in the order of their starts.
	items []*entry
}

func (s *streams) batch() int { return len(s.items) }

func (s *streams) count() int { return s.online + len(s.items) }

func (s *streams) add(e *entry) {
	s.silent++
	if e.work.Class == Online {
		s.online++
		s.onlineSilent++
		return
	}
	s.items = append(s.items, e)
}

// spoke counts the first token of a stream.
func (s *streams) spoke(e *entry) {
	s.silent--
	if e.work.Class == Online {
		s.onlineSilent--
	}
}

func (s *streams) remove(e *entry) {
	if e.lastToken.IsZero() {
		s.spoke(e)
	}
	if e.work.Class == Online {
		s.online--
		return
	}
	at := slices.Index(s.items, e)
	s.items = slices.Delete(s.items, at, at+1)
}

// cheapest returns the running batch stream that loses least when it stops, or
// nil. Streams that may not run twice are never chosen.
func (s *streams) cheapest(loss func(*entry) int) *entry {
	var best *entry
	var bestLoss int
	for _, e := range slices.Backward(s.items) {
		if e.state != running || !e.work.Idempotent {
			continue
		}
		cost := loss(e)
		if best == nil || cost < bestLoss {
			best, bestLoss = e, cost
		}
	}
	return best
}

// The costs of stopping a stream, in units of one prompt token computed.
const (
	// A token decoded costs as much as this many prompt tokens.
	decodeCost = 8
	// Moving this many tokens of KV cache costs as much as one prompt token.
	moveDivisor = 4
)

// stopLoss returns the work that is lost when a stream stops. Each earlier stop
// doubles it, so that no item is stopped for ever.
func (s *Sidecar) stopLoss(e *entry) int {
	loss := s.uncached(e.work) + e.tokens*decodeCost
	if s.options.CanPause {
		loss = (e.work.PromptTokens + e.tokens) / moveDivisor
	}
	const maxDoublings = 16
	return (loss + 1) << min(e.yields, maxDoublings)
}

// uncached returns the prompt tokens that the engine has to compute when the
// work starts.
func (s *Sidecar) uncached(w Work) int {
	if len(w.PrefixHashes) == 0 {
		return w.PromptTokens
	}
	cached := s.prefixes.match(w.PrefixHashes)
	return w.PromptTokens * (len(w.PrefixHashes) - cached) / len(w.PrefixHashes)
}
