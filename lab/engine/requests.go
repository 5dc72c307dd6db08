package labengine

import (
	"net/http"
	"slices"
)

// submitRequest queues a request, or refuses it.
func (e *Engine) submitRequest(request SubmitRequest) {
	entry := e.ledger.entry(request.ID)
	if refused, ok := e.refusal(request); ok {
		entry.Refused++
		e.outbox.Put(refused)
		return
	}
	entry.Started++
	s := newSequence(request)
	if e.bernoulli(e.faults.TruncateProbability) {
		s.truncateAtTokens = s.responseTokens + (s.maxResponseTokens-s.responseTokens)/2
	}
	e.waiting = append(e.waiting, s)
	e.outbox.Put(Accepted{Serial: request.Serial})
}

// refusal returns the reason to refuse a request, and false if it is accepted.
func (e *Engine) refusal(request SubmitRequest) (Refused, bool) {
	refused := Refused{Serial: request.Serial}
	switch {
	case request.Completion.MaxTokens < 0:
		refused.Status = http.StatusBadRequest
		refused.Code = "invalid_max_tokens"
		refused.Message = "max_tokens must not be negative"
	case !e.servesModel(request.Completion.Service):
		refused.Status = http.StatusNotFound
		refused.Code = "model_not_found"
		refused.Message = "the engine does not serve this model"
	case newSequence(request).kvTokens()+request.Completion.MaxTokens > e.options.MaxKVTokens:
		refused.Status = http.StatusBadRequest
		refused.Code = "context_length_exceeded"
		refused.Message = "the request exceeds the engine's memory"
	case e.bernoulli(e.faults.FailProbability):
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
	return slices.Contains(e.identity.Models, name) || slices.Contains(e.identity.Adapters, name)
}

// cancel cancels the sequences that match.
func (e *Engine) cancel(match func(*sequence) bool) {
	stop := func(s *sequence) bool {
		if !match(s) {
			return false
		}
		e.ledger.entry(s.request.ID).Cancelled++
		e.lastEndedID = s.request.ID
		e.outbox.Put(Cancelled{Serial: s.request.Serial})
		return true
	}
	e.waiting = slices.DeleteFunc(e.waiting, stop)
	e.running = slices.DeleteFunc(e.running, stop)
	e.recountRunningKVTokens()
}

func (e *Engine) recountRunningKVTokens() {
	e.runningKVTokens = 0
	for _, s := range e.running {
		e.runningKVTokens += s.kvTokens()
	}
}
