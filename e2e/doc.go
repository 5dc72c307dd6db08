// Package e2e tests an installation of separate processes under failure: it
// kills, freezes and stops them while work is running. It runs with `make e2e`.
package e2e
