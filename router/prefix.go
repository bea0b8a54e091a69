package router

// PrefixIndex predicts which prompt blocks each of up to 64 backend servers has in its prefix cache, in two generations of bounded size.
type PrefixIndex struct {
	capacity int
	young    map[uint64]uint64
	old      map[uint64]uint64
}

// NewPrefixIndex returns an empty index that evicts the oldest blocks beyond the capacity.
func NewPrefixIndex(capacity int) *PrefixIndex {
	return &PrefixIndex{
		capacity: capacity,
		young:    map[uint64]uint64{},
		old:      map[uint64]uint64{},
	}
}

// Len returns how many blocks the index holds, counting one in both generations twice.
func (prefixIndex *PrefixIndex) Len() int { return len(prefixIndex.young) + len(prefixIndex.old) }

func (prefixIndex *PrefixIndex) serverMask(block uint64) uint64 {
	return prefixIndex.young[block] | prefixIndex.old[block]
}

// Store records that the server holds the blocks.
func (prefixIndex *PrefixIndex) Store(server int, blocks []uint64) {
	for _, block := range blocks {
		if len(prefixIndex.young) >= prefixIndex.capacity/2 {
			prefixIndex.old = prefixIndex.young
			prefixIndex.young = make(map[uint64]uint64, prefixIndex.capacity/2)
		}
		prefixIndex.young[block] = prefixIndex.serverMask(block) | 1<<server
	}
}

// Remove records that the server no longer holds the blocks.
func (prefixIndex *PrefixIndex) Remove(server int, blocks []uint64) {
	for _, block := range blocks {
		clearBit(prefixIndex.young, block, server)
		clearBit(prefixIndex.old, block, server)
	}
}

func clearBit(generation map[uint64]uint64, block uint64, server int) {
	mask, ok := generation[block]
	if !ok {
		return
	}
	if mask &^= 1 << server; mask == 0 {
		delete(generation, block)
		return
	}
	generation[block] = mask
}

// RemoveServer records that the server holds no blocks, as after a restart.
func (prefixIndex *PrefixIndex) RemoveServer(server int) {
	for _, generation := range []map[uint64]uint64{prefixIndex.young, prefixIndex.old} {
		for block := range generation {
			clearBit(generation, block, server)
		}
	}
}

// Hits sets how many leading blocks of the prompt each server is predicted to hold; it probes a long prompt at increasing distances.
func (prefixIndex *PrefixIndex) Hits(blocks []uint64, hits *[MaxServers]int) {
	*hits = [MaxServers]int{}
	holders := ^uint64(0)
	for i := 0; i < len(blocks) && holders != 0; i = nextProbe(i, len(blocks)) {
		holders &= prefixIndex.serverMask(blocks[i])
		for rest := holders; rest != 0; rest &= rest - 1 {
			hits[trailingZeros(rest)] = i + 1
		}
	}
}

func nextProbe(i, length int) int {
	next := i + 1 + i/4
	if next >= length && i < length-1 {
		return length - 1
	}
	return next
}
