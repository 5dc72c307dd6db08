// Package storenode runs a replica of the storage group, which keeps batch
// jobs, and on its leader runs their items at upstreams.
package storenode
