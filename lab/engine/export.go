package labengine

import (
	"encoding/json"

	"github.com/rotisserie/eris"
)

// kvHandle is the content of a handle of exported KV state. It stands for the
// state that a real engine would transfer.
type kvHandle struct {
	// ResponseSeed is the hash of the prompt.
	ResponseSeed uint64 `json:"answer"`
	// Tokens is the number of response tokens that exist, resumed ones included.
	Tokens int `json:"tokens"`
}

// ErrNotRunning means that no running request with the ID has been prefilled.
var ErrNotRunning = eris.New("labengine: no such request runs")

// ExportKV returns a handle of the KV state of a running request. It returns
// ErrNotRunning if the request is unknown or has not been prefilled.
func (e *Engine) ExportKV(id string) ([]byte, error) {
	for _, s := range e.running {
		if s.request.ID == id && s.prefillTokensLeft == 0 {
			return json.Marshal(kvHandle{ResponseSeed: s.responseSeed, Tokens: s.responseTokens})
		}
	}
	return nil, ErrNotRunning
}

// handleCovers reports whether a handle belongs to the prompt of a sequence and
// holds at least the tokens that the sequence resumes from.
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
