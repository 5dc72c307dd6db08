package origins

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// EntryHomes is the number of entries that keep the origin of a stream besides the
	// one that began it. Most of them may fail at once.
	EntryHomes = 4
	// StorageHomes is the number of storage daemons that keep it too, for the loss of all
	// entries at once.
	StorageHomes = 2
)

// Homes returns those daemons of one role that keep the origin of a stream: count of the
// addresses, by rendezvous hashing. When a daemon joins or leaves, few streams change
// their homes.
func Homes(requestID string, addresses []string, count int) []string {
	type scored struct {
		address string
		score   uint64
	}
	// The homes so far, the best first.
	homes := make([]scored, 0, count+1)
	for _, address := range addresses {
		candidate := scored{address, xxhash.Sum64String(requestID + "\x00" + address)}
		i, _ := slices.BinarySearchFunc(homes, candidate, func(a, b scored) int {
			return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.address, b.address))
		})
		if i == count {
			continue
		}
		homes = slices.Insert(homes, i, candidate)
		homes = homes[:min(count, len(homes))]
	}
	found := make([]string, len(homes))
	for i, home := range homes {
		found[i] = home.address
	}
	return found
}
