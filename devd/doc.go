// Package devd runs a whole installation in one process: control replicas in
// three data centres, entries, and sidecars before fake engines and a fake
// plain service. It is meant for trying briarcross out, demos and tests.
package devd
