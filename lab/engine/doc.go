// Package labengine is a fake model engine for tests, experiments and demos.
//
// Engine is a deterministic core: it batches continuously, caches prompt
// prefixes in limited memory, admits requests as they come and knows no
// priorities. Step times follow a cost model. Server puts it behind the HTTP
// interface that package engine speaks.
//
// The text of an answer is a pure function of the prompt, so that a client can
// check that each answer is whole and its own: see Answer.
package labengine
