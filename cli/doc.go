// Package cli is the command line of briarcross: one subcommand for each
// daemon and the operators' commands, which use the HTTP interfaces of the
// control replicas, the entries and the sidecars.
//
// Every flag can also be set by an environment variable: BRIARCROSS_ followed
// by the flag's name in capitals, with underscores for hyphens.
package cli
