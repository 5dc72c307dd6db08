package labengine

import "container/list"

// blockTokens is the number of tokens in a cached prefix block.
const blockTokens = 16

// prefixCache is an LRU cache of the hashes of prefix blocks.
type prefixCache struct {
	entries map[uint64]*list.Element
	// byRecency has the most recently used block at the front.
	byRecency *list.List
}

func newPrefixCache() prefixCache {
	return prefixCache{entries: make(map[uint64]*list.Element), byRecency: list.New()}
}

// matchPrefix returns the number of leading blocks that are cached and marks
// them as recently used.
func (c *prefixCache) matchPrefix(hashes []uint64) int {
	for i, hash := range hashes {
		entry, ok := c.entries[hash]
		if !ok {
			return i
		}
		c.byRecency.MoveToFront(entry)
	}
	return len(hashes)
}

// store adds blocks, marks those already cached as recently used and returns
// the hashes of the new ones.
func (c *prefixCache) store(hashes []uint64) []uint64 {
	var added []uint64
	for _, hash := range hashes {
		if entry, ok := c.entries[hash]; ok {
			c.byRecency.MoveToFront(entry)
			continue
		}
		c.entries[hash] = c.byRecency.PushFront(hash)
		added = append(added, hash)
	}
	return added
}

// evictDownTo evicts the least recently used blocks until at most limit are
// left and returns the hashes of the evicted blocks.
func (c *prefixCache) evictDownTo(limit int) []uint64 {
	var evicted []uint64
	for c.byRecency.Len() > max(limit, 0) {
		last := c.byRecency.Back()
		hash := c.byRecency.Remove(last).(uint64)
		delete(c.entries, hash)
		evicted = append(evicted, hash)
	}
	return evicted
}
