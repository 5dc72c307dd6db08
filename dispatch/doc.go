// Package dispatch decides at which upstream a request runs, how long it may
// wait for a slot, and when it is refused.
//
// The load pattern that it answers: bursts of online streams, several times
// the mean for seconds, over batch items that hold a slot ten times as long.
// Upstreams admit in the order of arrival and know no classes, so whatever
// queues there queues in front of online work. Hence requests wait here, batch
// leaves slots free for the next arrivals, and an upstream that is overfull is
// relieved by stopping batch runs, which resume elsewhere.
//
// A Pool follows the contract of package core: it reads no clock, and all
// randomness comes from its seed.
package dispatch
