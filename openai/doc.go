// Package openai parses and encodes the OpenAI-compatible formats that callers
// and model engines use: completion requests, streamed chunks, complete
// responses and errors.
package openai
