package engine

import "github.com/cespare/xxhash/v2"

// BlockBytes is the length of a prefix block in bytes of the prompt.
const BlockBytes = 64

// PrefixHashes returns the hash of each prefix of the prompt that ends at a whole
// block, shortest first. CacheEvent.Prefix uses the same hashes. Prompts of
// different adapters never share a block.
func PrefixHashes(adapter, prompt string) []uint64 {
	count := len(prompt) / BlockBytes
	hashes := make([]uint64, 0, count)
	var digest xxhash.Digest
	digest.Reset()
	// The separator can't be part of an adapter's name.
	_, _ = digest.WriteString(adapter + "\x00")
	for block := range count {
		_, _ = digest.WriteString(prompt[block*BlockBytes : (block+1)*BlockBytes])
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}
