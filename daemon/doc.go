// Package daemon holds the code that daemons of all roles share: settings, TLS,
// logging, metrics, the HTTP server, the subscription to the configuration, and
// the reporting of fatal errors.
package daemon
