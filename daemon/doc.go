// Package daemon holds what the shells of all roles share: settings, logs,
// metrics, the subscription to the configuration, and the lifecycle.
package daemon
