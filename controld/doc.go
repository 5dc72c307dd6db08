// Package controld runs a control replica: it connects the replicated log, the
// replicated state, the configuration publisher, the batch scheduler and the
// placement planner with the network, the disk and the clock.
package controld
