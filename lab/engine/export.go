package labengine

import (
	"encoding/json"

	"github.com/rotisserie/eris"
)

// kvHandle is the content of a handle: what a real engine would transfer.
type kvHandle struct {
	// ResponseSeed identifies the prompt.
	ResponseSeed uint64 `json:"answer"`
	// Tokens is the number of tokens generated so far.
	Tokens int `json:"tokens"`
}

// ErrNotRunning means that no request with the ID runs.
var ErrNotRunning = eris.New("labengine: no such request runs")

// ExportKV returns a handle of the KV state of a running request. It returns
// ErrNotRunning when the request is unknown or has not been prefilled.
func (e *Engine) ExportKV(id string) ([]byte, error) {
	for _, s := range e.running {
		if s.request.ID == id && s.prefillTokensLeft == 0 {
			return json.Marshal(kvHandle{ResponseSeed: s.responseSeed, Tokens: s.responseTokens})
		}
	}
	return nil, ErrNotRunning
}

// handleCovers reports whether a handle covers the state of a sequence.
func handleCovers(handle []byte, s *sequence) bool {
	if len(handle) == 0 {
		return false
	}
	var state kvHandle
	if json.Unmarshal(handle, &state) != nil {
		return false
	}
	return state.ResponseSeed == s.responseSeed && state.Tokens >= s.request.ResumeFrom
}
