// Package storenode runs a replica of the storage group, which stores batch
// jobs. The leader of the group also runs the items of the jobs at upstreams.
package storenode
