package route

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Hop describes another availability zone and the way to it: the zone's summary
// for the pool, and the cost of sending a request there, which is at least the
// round trip.
type Hop struct {
	Total Summary
	Cost  time.Duration
}

// spilloverMargin is the least gain in time for which a request leaves its zone.
const spilloverMargin = 20 * time.Millisecond

// SpilloverZone returns the availability zone that a request of a workspace should
// be sent to, empty to stay in its own. A request leaves only when its wait at
// home exceeds the wait there and the cost of the hop together by
// spilloverMargin. Zones without slots, or whose summary is older than
// summaryExpiry, are ignored.
func SpilloverZone(now time.Time, workspace string, own Summary, hops []Hop) string {
	return SpilloverZoneForPrompt(now, workspace, Prompt{}, own, hops)
}

// Prompt is the start of a request's prompt: its hash, zero for none, and the
// time that an engine takes to compute it when it is not cached.
type Prompt struct {
	Prefix      uint64
	PrefillTime time.Duration
}

// SpilloverZoneForPrompt is SpilloverZone for a request whose prompt may be
// cached. Each prefix has a preferred availability zone, by weighted rendezvous
// hashing. Any other zone is expected to need PrefillTime on top of the wait. Its
// wait is also multiplied by loadBound, because waits at a busy site vary all the
// time, and a prompt that is computed again takes capacity from every request.
//
// A site with small zones thus uses the caches of all its zones together, as long
// as a hop costs less than the prompt. Zones whose summary has expired are not
// considered, so that a zone that is cut off prefers itself.
func SpilloverZoneForPrompt(now time.Time, workspace string, prompt Prompt, own Summary, hops []Hop) string {
	preferred := preferredZone(now, prompt.Prefix, own, hops)
	cost := func(total Summary) time.Duration {
		if preferred == "" || total.Zone == preferred {
			return total.WaitOf(workspace)
		}
		return time.Duration(loadBound*float64(total.WaitOf(workspace))) + prompt.PrefillTime
	}
	best, target := cost(own)-spilloverMargin, ""
	for _, hop := range hops {
		if !hop.isUsable(now) {
			continue
		}
		if remote := cost(hop.Total) + hop.Cost; remote < best {
			best, target = remote, hop.Total.Zone
		}
	}
	return target
}

// isUsable reports whether the zone's summary is fresh and has slots.
func (h Hop) isUsable(now time.Time) bool {
	return now.Sub(h.Total.At) <= summaryExpiry && h.Total.Slots > 0
}

// preferredZone returns the zone with the highest rendezvous score for a prefix,
// weighted by slots, among the own zone and the usable others. It is empty without a
// prefix or any slots.
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
		if hop.isUsable(now) {
			consider(hop.Total)
		}
	}
	return zone
}

// PrefixHashes returns the hash of each prefix of a prompt that ends at a block
// boundary, shortest first. block is the length of a block in bytes.
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
