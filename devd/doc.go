// Package devd runs a whole installation in one process: control replicas in
// three data centres, entries, and sidecars with fake engines and a fake plain
// service. It serves evaluation, demos and tests.
package devd
