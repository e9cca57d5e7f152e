package batch

import (
	"slices"
	"time"
)

// With ToleratedZones, a batch has a succession: all hosts but its owner, in the order in
// which they take it over. It depends on the batch, its record and the list of hosts alone,
// so that all hosts agree on it, but for hosts that some of them don't reach. Hosts in other
// zones than the owner's come first, since a zone fails as a unit.

// RankedHost is a host of the site and its availability zone. Silent says that it has stopped
// answering this host; it may have been removed for good.
type RankedHost struct {
	Name, Zone string
	Silent     bool
}

// succession returns the hosts that may take over a batch, first the one that does so first:
// the hosts outside the owner's zone, those inside it, then the previous owner, which has failed
// lately, and last the silent ones. Ranked holds all hosts in the order of the batch's rank.
func succession(ranked []RankedHost, owner, previousOwner string) []string {
	zone := ""
	for _, h := range ranked {
		if h.Name == owner {
			zone = h.Zone
		}
	}
	var outside, inside, last, silent []string
	for _, h := range ranked {
		switch {
		case h.Name == owner:
		case h.Silent:
			silent = append(silent, h.Name)
		case h.Name == previousOwner:
			last = append(last, h.Name)
		case h.Zone == zone:
			inside = append(inside, h.Name)
		default:
			outside = append(outside, h.Name)
		}
	}
	return slices.Concat(outside, inside, last, silent)
}

// takeoverRank returns the position of this host, from 0, among those that may take over a
// batch. The owner of a batch without one is the host that drained.
func (b *Batches) takeoverRank(id string, k known) int {
	if b.ToleratedZones <= 0 {
		return b.rank(id, k.Record, k.Owner, k.PreviousOwner)
	}
	revision := b.Peers.RankRevision()
	b.mu.Lock()
	kept, ok := b.ranks[id]
	b.mu.Unlock()
	if ok && kept.revision == revision && kept.epoch == k.Epoch {
		return kept.rank
	}
	rank := b.computeTakeoverRank(id, k)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initMaps()
	b.ranks[id] = takeoverRank{revision, k.Epoch, rank}
	return rank
}

// takeoverRank is the rank of this host for a batch at an epoch, as long as the hosts are those of a
// revision. It is asked for several times a second for each open batch, and sorting the hosts of a
// large site takes 0.1 ms.
type takeoverRank struct {
	revision, epoch uint64
	rank            int
}

// computeTakeoverRank is takeoverRank for a batch whose rank isn't kept.
func (b *Batches) computeTakeoverRank(id string, k known) int {
	owner, previousOwner := k.Owner, k.PreviousOwner
	if owner == "" {
		owner, previousOwner = k.PreviousOwner, ""
	}
	order := succession(b.rankedInRegions(id, k.Regions), owner, previousOwner)
	if at := slices.Index(order, b.Host); at >= 0 {
		return at
	}
	return len(order) // this host drained, or is not in the list of hosts
}

// rankedInRegions returns the hosts that may own a batch of the regions, in the order of its
// rank.
func (b *Batches) rankedInRegions(id string, regions []string) []RankedHost {
	ranked, outside := b.Peers.Ranked(id), b.outside(regions)
	if len(outside) == 0 {
		return ranked
	}
	return slices.DeleteFunc(ranked, func(h RankedHost) bool { return slices.Contains(outside, h.Name) })
}

// watchesOwner reports whether this host is one of those that watch the owner of a batch.
func (b *Batches) watchesOwner(id string, k known) bool {
	if b.ToleratedZones <= 0 {
		return b.rank(id, k.Record, k.Owner) < watchersPerOwner
	}
	return b.takeoverRank(id, k) < watchersPerOwner
}

// ownerWatch holds the times and limits of the watch over owners.
type ownerWatch struct {
	interval      time.Duration // between two polls
	pingTimeout   time.Duration
	parallelPings int
	missesPerRank int           // further misses for which each later rank waits
	stallMargin   time.Duration // by how much pings may exceed their timeout and still count; 0 for any time
}

// roundTimeout returns the longest time of a round of pings on a host that does not stand still. More
// owners than parallelPings are pinged one after the other.
func (w ownerWatch) roundTimeout(owners int) time.Duration {
	waves := max(1, (owners+w.parallelPings-1)/w.parallelPings)
	return time.Duration(waves)*w.pingTimeout + w.stallMargin
}

// Limits of the watch over owners that tolerates the loss of zones. A silent owner has to
// be replaced 1.5 s after its last answer. Three pings in a row time out 1.25 s after it at
// the latest, which leaves a quarter of a second for the takeover. An owner that answers
// within 300 ms is only slow and keeps its batches.
const (
	zoneOwnerPollInterval = 250 * time.Millisecond
	zoneOwnerPingTimeout  = 330 * time.Millisecond
	// maxParallelPings bounds the pings in flight. A site has an owner for each route of
	// each trainer, a few more while batches move.
	maxParallelPings = 32
	// ownerStallMargin is how late the timeout of a ping may fire. Hosts have a fraction of a
	// core, and a host that is not scheduled would miss the answers of all owners at once.
	ownerStallMargin = 150 * time.Millisecond
	// pathCheckTimeout bounds the read of a record before a takeover. The store answers
	// within milliseconds, and within a quarter of a second while it is slow.
	pathCheckTimeout = 350 * time.Millisecond
)

// ownerWatch returns the times of this host's watch over owners. With ToleratedZones a
// later rank waits for only one further miss, since the earlier ones may all be in zones
// that are cut off; two takeovers at a time are harmless (rule 3).
func (b *Batches) ownerWatch() ownerWatch {
	if b.ToleratedZones <= 0 {
		return ownerWatch{interval: ownerPollInterval, pingTimeout: ownerPingTimeout, parallelPings: 1, missesPerRank: missesPerRank}
	}
	return ownerWatch{interval: zoneOwnerPollInterval, pingTimeout: zoneOwnerPingTimeout, parallelPings: maxParallelPings, missesPerRank: 1, stallMargin: ownerStallMargin}
}
