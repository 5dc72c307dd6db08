// Package dispatch decides on which upstream a request runs, how long it may
// wait for a slot, and when it is refused.
//
// It is designed for bursts of online streams, for seconds at several times the
// mean rate, alongside batch items that hold a slot ten times as long. Upstreams
// run requests in order of arrival without regard to class, so batch requests
// queued at an upstream delay online requests. Therefore requests are queued
// here, batch leaves slots free for the next online requests, and an upstream
// with more requests than slots is relieved by preempting batch runs, which
// resume on another upstream.
//
// A Pool follows the contract of package core: it reads no clock, and all
// randomness comes from its seed.
package dispatch
