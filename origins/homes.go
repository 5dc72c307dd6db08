package origins

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// HomeCount is the number of daemons that keep the origin of a stream besides the one
// that began it. Most of them may fail at once.
const HomeCount = 4

// Homes returns the daemons that keep the origin of a stream: HomeCount of the
// addresses, by rendezvous hashing. When a daemon joins or leaves, few streams change
// their homes.
func Homes(requestID string, addresses []string) []string {
	type scored struct {
		address string
		score   uint64
	}
	// The homes so far, the best first.
	homes := make([]scored, 0, HomeCount+1)
	for _, address := range addresses {
		candidate := scored{address, xxhash.Sum64String(requestID + "\x00" + address)}
		i, _ := slices.BinarySearchFunc(homes, candidate, func(a, b scored) int {
			return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.address, b.address))
		})
		if i == HomeCount {
			continue
		}
		homes = slices.Insert(homes, i, candidate)
		homes = homes[:min(HomeCount, len(homes))]
	}
	found := make([]string, len(homes))
	for i, home := range homes {
		found[i] = home.address
	}
	return found
}
