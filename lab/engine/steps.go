package labengine

import (
	"time"

	"github.com/briarcross/briarcross/engine"
)

// beginStep starts the next step unless one is running, the engine is stalled
// or there is no work.
func (e *Engine) beginStep(now time.Time) {
	if e.stepRunning || e.faults.Stall {
		return
	}
	e.admitWaiting(now)
	if len(e.running) == 0 {
		return
	}
	duration := e.stepDuration()
	e.stepRunning = true
	e.stepEndTime = now.Add(duration)
	e.counters.Steps++
	e.counters.BusyTime += duration
}

// admitWaiting moves waiting sequences into the batch, first come first served,
// while there is KV memory. An empty batch admits one regardless.
func (e *Engine) admitWaiting(now time.Time) {
	for len(e.waiting) > 0 && len(e.running) < e.options.MaxSequences {
		s := e.waiting[0]
		neededTokens := s.kvTokens() + 1
		if e.runningKVTokens+neededTokens > e.options.MaxKVTokens && len(e.running) > 0 {
			return
		}
		e.waiting[0] = nil
		e.waiting = e.waiting[1:]
		e.computePrefill(s)
		e.runningKVTokens += s.kvTokens()
		e.running = append(e.running, s)
	}
	e.evictCachedPrefixes(now)
}

// computePrefill sets the number of tokens of a sequence that must be prefilled:
// those covered neither by imported KV state nor by the prefix cache, but at
// least one.
func (e *Engine) computePrefill(s *sequence) {
	if handleCovers(s.request.KVHandle, s) {
		s.prefillTokensLeft = 1
		return
	}
	cachedTokens := min(e.cache.matchPrefix(s.prefixHashes)*blockTokens, s.promptTokens)
	e.counters.CachedTokens += uint64(cachedTokens)
	s.prefillTokensLeft = max(1, s.promptTokens-cachedTokens+s.responseTokens)
}

// evictCachedPrefixes shrinks the prefix cache to the KV memory that the running
// sequences leave free.
func (e *Engine) evictCachedPrefixes(now time.Time) {
	freeTokens := e.options.MaxKVTokens - e.runningKVTokens
	evicted := e.cache.evictDownTo(freeTokens / blockTokens)
	if len(evicted) > 0 {
		e.cacheEvents.add(now, engine.CacheEvicted, evicted, e.bernoulli(e.options.CacheEventLossProbability))
	}
}

// stepDuration returns the duration of the next step by the cost model.
func (e *Engine) stepDuration() time.Duration {
	cost := e.options.Cost
	decodingSequences, prefillTokens := 0, 0
	for _, s := range e.running {
		if s.prefillTokensLeft == 0 {
			decodingSequences++
			continue
		}
		prefillTokens += min(s.prefillTokensLeft, cost.PrefillChunk-prefillTokens)
	}
	duration := cost.Base
	duration += time.Duration(decodingSequences) * cost.PerSequence
	duration += time.Duration(prefillTokens) * cost.PerPrefillToken
	duration += cost.PerThousandKVTokens * time.Duration(e.runningKVTokens) / 1000
	if e.faults.SlowFactor > 0 {
		duration = time.Duration(float64(duration) * e.faults.SlowFactor)
	}
	return max(duration, 1)
}

// endStep applies a completed step: it prefills or generates a token for each
// sequence of the batch.
func (e *Engine) endStep(now time.Time) {
	e.stepRunning = false
	prefillBudget := e.options.Cost.PrefillChunk
	unfinished := e.running[:0]
	for _, s := range e.running {
		if s.prefillTokensLeft > 0 {
			prefilled := min(s.prefillTokensLeft, prefillBudget)
			prefillBudget -= prefilled
			s.prefillTokensLeft -= prefilled
			e.counters.PrefillTokens += uint64(prefilled)
			if s.prefillTokensLeft > 0 {
				unfinished = append(unfinished, s)
				continue
			}
			e.storePrefix(now, s)
		}
		e.generateToken(s)
		if !e.finishIfComplete(s) {
			unfinished = append(unfinished, s)
		}
	}
	clear(e.running[len(unfinished):])
	e.running = unfinished
	e.recountRunningKVTokens()
	e.requeueNewest()
	e.evictCachedPrefixes(now)
}

func (e *Engine) storePrefix(now time.Time, s *sequence) {
	added := e.cache.store(s.prefixHashes)
	if len(added) > 0 {
		e.cacheEvents.add(now, engine.CacheStored, added, e.bernoulli(e.options.CacheEventLossProbability))
	}
}

// generateToken generates the next token of a sequence, if it is not complete.
func (e *Engine) generateToken(s *sequence) {
	if s.complete() {
		return
	}
	e.injectForeignTokens(s)
	token := Token{Serial: s.request.Serial, RequestID: s.request.ID}
	token.Text = tokenText(s.responseSeed, s.responseTokens)
	s.responseTokens++
	e.counters.Tokens++
	e.ledger.entry(s.request.ID).Tokens++
	e.outbox.Put(token)
}

// injectForeignTokens adds tokens of other requests to a stream, as the
// simulated faults demand.
func (e *Engine) injectForeignTokens(s *sequence) {
	if e.bernoulli(e.faults.CrossedTokenProbability) {
		other := e.running[e.rand.IntN(len(e.running))]
		if other != nil && other.request.ID != s.request.ID {
			text := tokenText(other.responseSeed, other.responseTokens)
			e.outbox.Put(Token{Serial: s.request.Serial, RequestID: other.request.ID, Text: text})
		}
	}
	if e.bernoulli(e.faults.LateTokenProbability) && e.lastEndedID != "" {
		e.outbox.Put(Token{Serial: s.request.Serial, RequestID: e.lastEndedID, Text: " late"})
	}
}

// finishIfComplete ends a sequence that has all of its tokens or is truncated,
// and reports whether it did.
func (e *Engine) finishIfComplete(s *sequence) bool {
	truncated := s.truncateAtTokens >= 0 && s.responseTokens >= s.truncateAtTokens
	if !s.complete() && !truncated {
		return false
	}
	e.lastEndedID = s.request.ID
	if !truncated {
		e.ledger.entry(s.request.ID).Finished++
	}
	e.outbox.Put(Finished{
		Serial:       s.request.Serial,
		PromptTokens: s.promptTokens,
		Tokens:       s.responseTokens,
		Truncated:    truncated,
	})
	return true
}

// requeueNewest moves the newest sequences back to the waiting queue until the
// batch has KV memory for its next step. Their KV state is discarded and
// recomputed later.
func (e *Engine) requeueNewest() {
	for e.runningKVTokens+len(e.running) > e.options.MaxKVTokens && len(e.running) > 1 {
		newest := len(e.running) - 1
		s := e.running[newest]
		e.running[newest] = nil
		e.running = e.running[:newest]
		e.runningKVTokens -= s.kvTokens()
		s.request.KVHandle = nil
		e.waiting = append([]*sequence{s}, e.waiting...)
		e.counters.Recomputations++
	}
}
