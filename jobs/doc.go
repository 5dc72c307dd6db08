// Package jobs is a client of the batch API of an entry, which follows the
// OpenAI batch format.
package jobs
