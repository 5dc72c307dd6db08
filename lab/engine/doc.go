// Package labengine emulates a model engine for tests, experiments and demos.
//
// Engine is a deterministic state machine with continuous batching and a
// prompt prefix cache in limited memory. It admits requests in arrival order,
// without priorities. Step times follow a cost model. Server exposes it over
// the HTTP API that package engine uses.
//
// The text of a response is a pure function of the prompt, so that a client
// can check that each response is complete and belongs to its request: see
// ResponseText.
package labengine
