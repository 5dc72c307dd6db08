package sidecar

// prefixCapacity bounds the blocks that the index remembers.
const prefixCapacity = 1 << 15

// prefixIndex is what the engine's prefix cache is believed to hold. Starts add
// to it at once; the engine's events correct it later.
type prefixIndex struct {
	blocks   map[uint64]uint64
	clock    uint64
	sequence uint64
	// trusted is the oldest clock value that no gap in the events has put in
	// doubt.
	trusted uint64
}

func newPrefixIndex() prefixIndex {
	return prefixIndex{blocks: make(map[uint64]uint64)}
}

// add records blocks that a started prompt brings into the cache.
func (p *prefixIndex) add(blocks []uint64) {
	if len(p.blocks)+len(blocks) > prefixCapacity {
		clear(p.blocks)
	}
	p.clock++
	for _, block := range blocks {
		p.blocks[block] = p.clock
	}
}

// match returns the number of leading blocks that are believed to be cached.
func (p *prefixIndex) match(blocks []uint64) int {
	for i, block := range blocks {
		at, ok := p.blocks[block]
		if !ok || at < p.trusted {
			return i
		}
	}
	return len(blocks)
}

// apply corrects the index. After a gap, blocks count as cached only once they
// are seen again.
func (p *prefixIndex) apply(event CacheEvent) {
	if event.Sequence <= p.sequence {
		return
	}
	if p.sequence != 0 && event.Sequence != p.sequence+1 {
		p.trusted = p.clock
	}
	p.sequence = event.Sequence
	if event.Cleared {
		clear(p.blocks)
	}
	for _, block := range event.Evicted {
		delete(p.blocks, block)
	}
	if len(event.Stored) > 0 {
		p.add(event.Stored)
	}
}
