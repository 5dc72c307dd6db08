package labengine

import (
	"github.com/briarcross/briarcross/engine"
	"github.com/briarcross/briarcross/openai"
)

// Input is a message to an Engine.
type Input interface{ isInput() }

// SubmitRequest submits a request.
type SubmitRequest struct {
	// Serial is unique for each Start; request IDs may repeat.
	Serial     uint64
	ID         string
	Completion openai.CompletionRequest
	// ResumeFrom is the number of tokens to leave out.
	ResumeFrom int
	// KVHandle is a handle of an exported state.
	KVHandle []byte
}

// Cancel stops the request with a serial number.
type Cancel struct{ Serial uint64 }

// CancelByID stops all requests with an ID.
type CancelByID struct{ ID string }

// SubmitOrder asks the engine to change what it serves.
type SubmitOrder struct {
	Serial  uint64
	Request engine.OrderRequest
}

// SetFaults replaces the faults.
type SetFaults struct{ Faults Faults }

func (SubmitRequest) isInput() {}
func (Cancel) isInput()        {}
func (CancelByID) isInput()    {}
func (SubmitOrder) isInput()   {}
func (SetFaults) isInput()     {}

// Output is a message from an Engine.
type Output interface{ isOutput() }

// Accepted tells that a request was admitted.
type Accepted struct{ Serial uint64 }

// Refused tells that a request did not run.
type Refused struct {
	Serial  uint64
	Status  int
	Code    string
	Message string
}

// Token is one token of an answer.
type Token struct {
	Serial uint64
	// RequestID is the ID of the request that the token belongs to: another
	// than the stream's own when a crossed or late answer is simulated.
	RequestID string
	Text      string
}

// Finished ends an answer.
type Finished struct {
	Serial       uint64
	PromptTokens int
	Tokens       int
	// Truncated leaves out the end mark.
	Truncated bool
}

// Cancelled tells that a request was cancelled.
type Cancelled struct{ Serial uint64 }

// OrderResult is the answer to an order.
type OrderResult struct {
	Serial   uint64
	Response engine.OrderReply
}

func (Accepted) isOutput()    {}
func (Refused) isOutput()     {}
func (Token) isOutput()       {}
func (Finished) isOutput()    {}
func (Cancelled) isOutput()   {}
func (OrderResult) isOutput() {}
