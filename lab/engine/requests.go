package labengine

import (
	"net/http"
	"slices"
)

// submit admits a request or refuses it.
func (e *Engine) submit(start SubmitRequest) {
	entry := e.ledger.entry(start.ID)
	if refused, ok := e.refusal(start); ok {
		entry.Refused++
		e.outbox.Put(refused)
		return
	}
	entry.Started++
	s := newSequence(start)
	if e.chance(e.faults.TruncateProbability) {
		s.truncateAt = s.position + (s.limit-s.position)/2
	}
	e.waiting = append(e.waiting, s)
	e.outbox.Put(Accepted{Serial: start.Serial})
}

func (e *Engine) refusal(start SubmitRequest) (Refused, bool) {
	refused := Refused{Serial: start.Serial}
	switch {
	case start.Completion.MaxTokens < 0:
		refused.Status = http.StatusBadRequest
		refused.Code = "invalid_max_tokens"
		refused.Message = "max_tokens must not be negative"
	case !e.servesModel(start.Completion.Service):
		refused.Status = http.StatusNotFound
		refused.Code = "model_not_found"
		refused.Message = "the engine does not serve this model"
	case newSequence(start).kvTokens()+start.Completion.MaxTokens > e.options.MaxKVTokens:
		refused.Status = http.StatusBadRequest
		refused.Code = "context_length_exceeded"
		refused.Message = "the request exceeds the engine's memory"
	case e.chance(e.faults.FailProbability):
		refused.Status = http.StatusInternalServerError
		refused.Code = "engine_failed"
		refused.Message = "the engine failed on purpose"
	default:
		return Refused{}, false
	}
	return refused, true
}

func (e *Engine) servesModel(name string) bool {
	if len(e.options.Models) == 0 {
		return true
	}
	return slices.Contains(e.serves.Models, name) || slices.Contains(e.serves.Adapters, name)
}

// cancel stops the sequences that match.
func (e *Engine) cancel(match func(*sequence) bool) {
	stop := func(s *sequence) bool {
		if !match(s) {
			return false
		}
		e.ledger.entry(s.start.ID).Cancelled++
		e.lastEnded = s.start.ID
		e.outbox.Put(Cancelled{Serial: s.start.Serial})
		return true
	}
	e.waiting = slices.DeleteFunc(e.waiting, stop)
	e.running = slices.DeleteFunc(e.running, stop)
	e.countMemory()
}

func (e *Engine) countMemory() {
	e.kvUsed = 0
	for _, s := range e.running {
		e.kvUsed += s.kvTokens()
	}
}
