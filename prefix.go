package cranberryward

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlockBytes is the size of a prompt block in the prefix cache.
const PrefixBlockBytes = 64

// AppendBlockHashes appends the chained hashes of a prompt's complete blocks to the given slice.
func AppendBlockHashes(blocks []uint64, prompt string) []uint64 {
	var previous uint64
	for len(prompt) >= PrefixBlockBytes {
		previous = hashBlock(previous, prompt[:PrefixBlockBytes])
		blocks = append(blocks, previous)
		prompt = prompt[PrefixBlockBytes:]
	}
	return blocks
}

func hashBlock(previous uint64, block string) uint64 {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], previous)
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.Write(seed[:])
	_, _ = digest.WriteString(block)
	return digest.Sum64()
}

// RendezvousWeight returns the weight of a node for a key in rendezvous hashing.
func RendezvousWeight(key, node string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(node)
	return digest.Sum64()
}
