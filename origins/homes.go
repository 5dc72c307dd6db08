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
	candidates := make([]scored, len(addresses))
	for i, address := range addresses {
		candidates[i] = scored{address, xxhash.Sum64String(requestID + "\x00" + address)}
	}
	slices.SortFunc(candidates, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.address, b.address))
	})
	var homes []string
	for _, c := range candidates[:min(HomeCount, len(candidates))] {
		homes = append(homes, c.address)
	}
	return homes
}
