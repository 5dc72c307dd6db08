package labengine

import (
	"github.com/briarcross/briarcross/engine"
	"github.com/briarcross/briarcross/openai"
)

// Input is an input of an Engine.
type Input interface{ isInput() }

// SubmitRequest submits a request.
type SubmitRequest struct {
	// Serial is unique for each SubmitRequest; request IDs may repeat.
	Serial     uint64
	ID         string
	Completion openai.CompletionRequest
	// ResumeFrom is the number of response tokens that the caller already has;
	// generation continues after them.
	ResumeFrom int
	// KVHandle is a handle of exported KV state; empty means that the prompt is
	// prefilled.
	KVHandle []byte
}

// Cancel cancels the request with a serial number.
type Cancel struct{ Serial uint64 }

// CancelByID cancels all requests with an ID.
type CancelByID struct{ ID string }

// SubmitOrder submits an order to change the models, adapters or role of the
// engine.
type SubmitOrder struct {
	Serial  uint64
	Request engine.OrderRequest
}

// SetFaults replaces the simulated faults.
type SetFaults struct{ Faults Faults }

func (SubmitRequest) isInput() {}
func (Cancel) isInput()        {}
func (CancelByID) isInput()    {}
func (SubmitOrder) isInput()   {}
func (SetFaults) isInput()     {}

// Output is an output of an Engine.
type Output interface{ isOutput() }

// Accepted reports that a request was accepted and will run.
type Accepted struct{ Serial uint64 }

// Refused reports that a request was refused and will not run. Status is the
// HTTP status.
type Refused struct {
	Serial  uint64
	Status  int
	Code    string
	Message string
}

// Token is one token of a response.
type Token struct {
	Serial uint64
	// RequestID is the ID of the request that the token belongs to. It differs
	// from that of the stream for a simulated crossed or late token.
	RequestID string
	Text      string
}

// Finished reports the end of a response.
type Finished struct {
	Serial       uint64
	PromptTokens int
	// Tokens is the number of response tokens, resumed ones included.
	Tokens int
	// Truncated means that the response ends early and without its end marker.
	Truncated bool
}

// Cancelled reports that a request was cancelled.
type Cancelled struct{ Serial uint64 }

// OrderResult is the response to an order.
type OrderResult struct {
	Serial   uint64
	Response engine.OrderResponse
}

func (Accepted) isOutput()    {}
func (Refused) isOutput()     {}
func (Token) isOutput()       {}
func (Finished) isOutput()    {}
func (Cancelled) isOutput()   {}
func (OrderResult) isOutput() {}
