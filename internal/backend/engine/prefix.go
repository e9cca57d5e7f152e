package engine

import "github.com/cespare/xxhash/v2"

// BlockBytes is the length of a prompt block in bytes.
const BlockBytes = 64

// PrefixHashes returns the hash of each prefix of the prompt that consists of complete
// blocks, shortest prefix first. CacheEvent.Prefix is such a hash. The hashes include
// the adapter, so that prompts for different adapters never share a block.
func PrefixHashes(adapter, prompt string) []uint64 {
	count := len(prompt) / BlockBytes
	hashes := make([]uint64, 0, count)
	var digest xxhash.Digest
	digest.Reset()
	// An adapter name can't contain the separator.
	_, _ = digest.WriteString(adapter + "\x00")
	for block := range count {
		_, _ = digest.WriteString(prompt[block*BlockBytes : (block+1)*BlockBytes])
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}
