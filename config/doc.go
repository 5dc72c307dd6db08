// Package config holds the configuration. It consists of two kinds of documents:
// profiles, which set targets and limits for a class of requests, and services,
// which refer to their profiles by name.
//
// Parse and Format convert documents from and to YAML. A stored document contains
// its schema version and the value of every field, including defaults, so that
// its meaning doesn't change when a later version has other defaults.
//
// State is the replicated configuration on the control replicas. A change has a
// change ID and, for each document, the revision that the operator edited. It is
// validated as a whole. Of two changes that edit the same revision of a document,
// the first is accepted and the second is rejected with CHANGE_CONFLICT and the
// current documents. A change that is sent again within OutcomeRetention of log
// time returns its first result. The revision of the configuration increases by
// one with each accepted change that modifies a document.
//
// Table is the copy in force at a daemon. Its revision never decreases.
package config
