// Package e2e tests an installation of separate processes under failures: it
// kills, freezes and stops processes while requests and jobs are running. Run it
// with `make e2e`.
package e2e
