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

// SpilloverZone returns the availability zone that a request of a workspace should go
// to, empty to stay. A request leaves only when its wait at home exceeds the
// wait there and the hop together; zones without news for summaryExpiry don't
// count.
func SpilloverZone(now time.Time, workspace string, own Summary, hops []Hop) string {
	return SpilloverZoneForPrompt(now, workspace, Prompt{}, own, hops)
}

// Prompt is the start of a request's prompt: its hash, zero for none, and the
// time that an engine takes to compute it when its cache lacks it.
type Prompt struct {
	Prefix      uint64
	PrefillTime time.Duration
}

// SpilloverZoneForPrompt is Spill for a request with a prompt that a cache may hold. Each
// prefix has a preferred availability zone, by weighted rendezvous hashing; in
// any other the prompt is expected to cost its worth on top of the wait, and
// the wait must be shorter by loadBound, since waits of a busy site differ all
// the time and prompts computed again cost everybody. A site
// whose zones are small thus uses the caches of all of them together, as long
// as the hop costs less than the prompt. Zones without news count for nothing,
// so that a zone that is cut off prefers itself.
func SpilloverZoneForPrompt(now time.Time, workspace string, prompt Prompt, own Summary, hops []Hop) string {
	preferred := preferredZone(now, prompt.Prefix, own, hops)
	cost := func(total Summary) time.Duration {
		if preferred == "" || total.Zone == preferred {
			return total.WaitOf(workspace)
		}
		return time.Duration(loadBound*float64(total.WaitOf(workspace))) + prompt.PrefillTime
	}
	best, target := cost(own)-spillMargin, ""
	for _, hop := range hops {
		if !hop.isOpen(now) {
			continue
		}
		if there := cost(hop.Total) + hop.Cost; there < best {
			best, target = there, hop.Total.Zone
		}
	}
	return target
}

func (h Hop) isOpen(now time.Time) bool {
	return now.Sub(h.Total.At) <= summaryExpiry && h.Total.Slots > 0
}

func preferredZone(now time.Time, prefix uint64, own Summary, hops []Hop) string {
	if prefix == 0 {
		return ""
	}
	zone, best := "", 0.0
	consider := func(total Summary) {
		score := weightedScore(xxhash.Sum64String(total.Zone)^prefix, float64(total.Slots))
		if score > best {
			zone, best = total.Zone, score
		}
	}
	consider(own)
	for _, hop := range hops {
		if hop.isOpen(now) {
			consider(hop.Total)
		}
	}
	return zone
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
