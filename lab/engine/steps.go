package labengine

import (
	"time"

	"github.com/briarcross/briarcross/engine"
)

// beginStep forms the next batch when none runs and there is work.
func (e *Engine) beginStep(now time.Time) {
	if e.stepping || e.faults.Stall {
		return
	}
	e.admit(now)
	if len(e.running) == 0 {
		return
	}
	duration := e.stepTime()
	e.stepping = true
	e.stepEnds = now.Add(duration)
	e.counters.Steps++
	e.counters.BusyTime += duration
}

// admit moves waiting sequences into the batch, first come first served, while
// there is memory.
func (e *Engine) admit(now time.Time) {
	for len(e.waiting) > 0 && len(e.running) < e.options.MaxSequences {
		s := e.waiting[0]
		need := s.kvTokens() + 1
		if e.kvUsed+need > e.options.MaxKVTokens && len(e.running) > 0 {
			return
		}
		e.waiting[0] = nil
		e.waiting = e.waiting[1:]
		e.prepare(s)
		e.kvUsed += s.kvTokens()
		e.running = append(e.running, s)
	}
	e.evict(now)
}

// prepare finds how much of a sequence must be computed.
func (e *Engine) prepare(s *sequence) {
	if imported(s.start.KVHandle, s) {
		s.prefillLeft = 1
		return
	}
	cached := min(e.cache.match(s.hashes)*blockTokens, s.promptTokens)
	e.counters.CachedTokens += uint64(cached)
	s.prefillLeft = max(1, s.promptTokens-cached+s.position)
}

// evict makes the prefix cache fit the memory that running sequences leave.
func (e *Engine) evict(now time.Time) {
	free := e.options.MaxKVTokens - e.kvUsed
	evicted := e.cache.shrink(free / blockTokens)
	if len(evicted) > 0 {
		e.cacheLog.add(now, engine.CacheEvicted, evicted, e.chance(e.options.CacheEventLossProbability))
	}
}

// stepTime applies the cost model to the batch.
func (e *Engine) stepTime() time.Duration {
	cost := e.options.Cost
	decoding, prefill := 0, 0
	for _, s := range e.running {
		if s.prefillLeft == 0 {
			decoding++
			continue
		}
		prefill += min(s.prefillLeft, cost.PrefillChunk-prefill)
	}
	duration := cost.Base
	duration += time.Duration(decoding) * cost.PerSequence
	duration += time.Duration(prefill) * cost.PerPrefillToken
	duration += cost.PerThousandKVTokens * time.Duration(e.kvUsed) / 1000
	if e.faults.SlowFactor > 0 {
		duration = time.Duration(float64(duration) * e.faults.SlowFactor)
	}
	return max(duration, 1)
}

// endStep gives each sequence of the batch its progress.
func (e *Engine) endStep(now time.Time) {
	e.stepping = false
	budget := e.options.Cost.PrefillChunk
	kept := e.running[:0]
	for _, s := range e.running {
		if s.prefillLeft > 0 {
			share := min(s.prefillLeft, budget)
			budget -= share
			s.prefillLeft -= share
			e.counters.PrefillTokens += uint64(share)
			if s.prefillLeft > 0 {
				kept = append(kept, s)
				continue
			}
			e.storePrefix(now, s)
		}
		e.generate(s)
		if !e.finished(s) {
			kept = append(kept, s)
		}
	}
	clear(e.running[len(kept):])
	e.running = kept
	e.countMemory()
	e.makeRoom()
	e.evict(now)
}

func (e *Engine) storePrefix(now time.Time, s *sequence) {
	added := e.cache.store(s.hashes)
	if len(added) > 0 {
		e.cacheLog.add(now, engine.CacheStored, added, e.chance(e.options.CacheEventLossProbability))
	}
}

// generate adds one token to a sequence.
func (e *Engine) generate(s *sequence) {
	if s.done() {
		return
	}
	e.injectForeign(s)
	token := Token{Serial: s.start.Serial, RequestID: s.start.ID}
	token.Text = tokenText(s.seed, s.position)
	s.position++
	e.counters.Tokens++
	e.ledger.entry(s.start.ID).Tokens++
	e.outbox.Put(token)
}

// injectForeign adds a token of another request to a stream when the faults
// ask for it.
func (e *Engine) injectForeign(s *sequence) {
	if e.chance(e.faults.CrossedTokenProbability) {
		other := e.running[e.rand.IntN(len(e.running))]
		if other != nil && other.start.ID != s.start.ID {
			text := tokenText(other.seed, other.position)
			e.outbox.Put(Token{Serial: s.start.Serial, RequestID: other.start.ID, Text: text})
		}
	}
	if e.chance(e.faults.LateTokenProbability) && e.lastEnded != "" {
		e.outbox.Put(Token{Serial: s.start.Serial, RequestID: e.lastEnded, Text: " late"})
	}
}

// finished ends a sequence that has all of its tokens.
func (e *Engine) finished(s *sequence) bool {
	truncated := s.truncateAt >= 0 && s.position >= s.truncateAt
	if !s.done() && !truncated {
		return false
	}
	e.lastEnded = s.start.ID
	if !truncated {
		e.ledger.entry(s.start.ID).Finished++
	}
	e.outbox.Put(Finished{
		Serial:       s.start.Serial,
		PromptTokens: s.promptTokens,
		Tokens:       s.position,
		Truncated:    truncated,
	})
	return true
}

// makeRoom sends the newest sequences back to the queue while the batch does
// not fit the memory; they are computed again later.
func (e *Engine) makeRoom() {
	for e.kvUsed+len(e.running) > e.options.MaxKVTokens && len(e.running) > 1 {
		last := len(e.running) - 1
		s := e.running[last]
		e.running[last] = nil
		e.running = e.running[:last]
		e.kvUsed -= s.kvTokens()
		s.start.KVHandle = nil
		e.waiting = append([]*sequence{s}, e.waiting...)
		e.counters.Recomputations++
	}
}
