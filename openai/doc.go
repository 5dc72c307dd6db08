// Package openai reads and writes the OpenAI-compatible formats that callers
// and model engines use: completion requests, streamed chunks, whole answers
// and errors.
package openai
