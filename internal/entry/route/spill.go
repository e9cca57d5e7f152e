package route

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Hop is what is known of the way to another availability zone: its totals for
// the pool and the cost of the hop, which covers the round trip and the prompt
// that the other zone has to compute again.
type Hop struct {
	Total Summary
	Cost  time.Duration
}

// spillMargin is the least gain for which a request leaves its zone.
const spillMargin = 20 * time.Millisecond

// Spill returns the availability zone that a request of a workspace should go
// to, empty to stay. A request leaves only when its wait at home exceeds the
// wait there and the hop together; zones without news for summaryExpiry don't
// count.
func Spill(now time.Time, workspace string, own Summary, hops []Hop) string {
	best, target := own.WaitOf(workspace)-spillMargin, ""
	for _, hop := range hops {
		if now.Sub(hop.Total.At) > summaryExpiry || hop.Total.Slots == 0 {
			continue
		}
		if cost := hop.Total.WaitOf(workspace) + hop.Cost; cost < best {
			best, target = cost, hop.Total.Zone
		}
	}
	return target
}

// PrefixHashes returns the hash of each prefix of a prompt that ends at a
// block boundary, shortest first. block is the block's length in bytes.
func PrefixHashes(prompt string, block int) []uint64 {
	if block <= 0 {
		return nil
	}
	hashes := make([]uint64, 0, len(prompt)/block)
	digest := xxhash.New()
	for rest := range slices.Chunk([]byte(prompt), block) {
		if len(rest) < block {
			break
		}
		_, _ = digest.Write(rest)
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}
