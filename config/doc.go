// Package config holds the configuration: profiles, which state how a class
// of work must be treated, and services, which name the profiles that govern
// them.
//
// Parse and Format convert documents from and to YAML. A document carries its
// schema version and every default, so that a document accepted today means
// the same under later code.
//
// State is the replicated table on the control replicas. A change carries a
// change ID and, for each document, the revision that the operator edited. It
// is validated as a whole; of two changes that edit the same revision one is
// accepted and the other gets CHANGE_CONFLICT with the documents as they
// stand. A resent change gets its first answer for OutcomeRetention of log
// time. The revision grows by one with each accepted change.
//
// Table is the copy in force at a daemon. Its revision only grows.
package config
