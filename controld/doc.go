// Package controld is the shell of a control replica: it connects the
// replicated log, the agreed state, the configuration publisher and the batch
// scheduler with the network, the disk and the clock.
package controld
