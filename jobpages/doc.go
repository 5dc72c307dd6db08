// Package jobpages keeps batch jobs whose results are read by position.
//
// A job is accepted as a whole, once. Each item ends with one result, which
// takes the next position of its job and never moves. State is the replicated
// part: the commands of a log change it, so every replica shows the same
// positions. Plan is the volatile part on the leader: which items run, and
// which come next.
package jobpages
