package sidecar

// maxPrefixBlocks is the maximum number of blocks in the index; it is cleared when
// full.
const maxPrefixBlocks = 1 << 15

// prefixIndex estimates which blocks the engine's prefix cache holds. Starts add
// their blocks at once; the engine's events correct the index later.
type prefixIndex struct {
	// lastAdded maps the hash of a block to the clock value of its last addition.
	lastAdded map[uint64]uint64
	// clock counts the additions.
	clock uint64
	// lastSequence is the sequence number of the last event.
	lastSequence uint64
	// trustedSince is the clock value at the last gap in the events. Blocks that
	// were added before it may have been evicted by a lost event.
	trustedSince uint64
}

func newPrefixIndex() prefixIndex {
	return prefixIndex{lastAdded: make(map[uint64]uint64)}
}

// add records blocks that the engine caches from now on.
func (p *prefixIndex) add(blocks []uint64) {
	if len(p.lastAdded)+len(blocks) > maxPrefixBlocks {
		clear(p.lastAdded)
	}
	p.clock++
	for _, block := range blocks {
		p.lastAdded[block] = p.clock
	}
}

// countCached returns the number of leading blocks that are expected to be cached.
func (p *prefixIndex) countCached(blocks []uint64) int {
	for i, block := range blocks {
		addedAt, ok := p.lastAdded[block]
		if !ok || addedAt < p.trustedSince {
			return i
		}
	}
	return len(blocks)
}

// apply corrects the index by an event; events that are not newer than the last
// are ignored. After a gap in the sequence numbers, a block counts as cached only
// once it is added again.
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
