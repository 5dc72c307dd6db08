package sidecar

// maxPrefixBlocks bounds the blocks that the index remembers.
const maxPrefixBlocks = 1 << 15

// prefixIndex is what the engine's prefix cache is believed to hold. Starts add
// to it at once; the engine's events correct it later.
type prefixIndex struct {
	lastAdded    map[uint64]uint64
	clock        uint64
	lastSequence uint64
	// trustedSince is the oldest clock value that no gap in the events has put in
	// doubt.
	trustedSince uint64
}

func newPrefixIndex() prefixIndex {
	return prefixIndex{lastAdded: make(map[uint64]uint64)}
}

// add records blocks that a started prompt brings into the cache.
func (p *prefixIndex) add(blocks []uint64) {
	if len(p.lastAdded)+len(blocks) > maxPrefixBlocks {
		clear(p.lastAdded)
	}
	p.clock++
	for _, block := range blocks {
		p.lastAdded[block] = p.clock
	}
}

// countCached returns the number of leading blocks that are believed to be cached.
func (p *prefixIndex) countCached(blocks []uint64) int {
	for i, block := range blocks {
		addedAt, ok := p.lastAdded[block]
		if !ok || addedAt < p.trustedSince {
			return i
		}
	}
	return len(blocks)
}

// apply corrects the index. After a gap, blocks count as cached only once they
// are seen again.
func (p *prefixIndex) apply(event CacheEvent) {
	if event.Sequence <= p.lastSequence {
		return
	}
	if p.lastSequence != 0 && event.Sequence != p.lastSequence+1 {
		p.trustedSince = p.clock
	}
	p.lastSequence = event.Sequence
	if event.Cleared {
		clear(p.lastAdded)
	}
	for _, block := range event.Evicted {
		delete(p.lastAdded, block)
	}
	if len(event.Stored) > 0 {
		p.add(event.Stored)
	}
}
