// Package customers identifies the customers of a deployment by their keys.
//
// A Registry is built from one version of the configuration and does not change
// afterwards. It holds digests of the keys, never the keys themselves.
package customers
