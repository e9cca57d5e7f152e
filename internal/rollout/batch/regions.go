package batch

import (
	"math"
	"slices"
	"strings"
)

// SetRegions sets the lists of regions that bind the items of a batch and their scorers.
func (b *Batch) SetRegions(lists [][]string) {
	b.Regions = lists
	for i := range b.Items {
		if b.Items[i].Scorer != nil {
			b.Items[i].Scorer.Regions = lists
		}
	}
}

// ownerRegions returns the regions whose hosts may own a batch, which holds its bodies: those
// in which its items may run, and the region of this host, which the caller has reached. It
// returns nil if all hosts may.
func (b *Batches) ownerRegions(batch Batch) []string {
	if len(batch.Regions) == 0 {
		return nil
	}
	regions := []string{b.Region}
	for _, region := range batch.Regions[0] {
		inAll := !slices.ContainsFunc(batch.Regions, func(list []string) bool { return !slices.Contains(list, region) })
		if inAll && !slices.Contains(regions, region) {
			regions = append(regions, region)
		}
	}
	return regions
}

// mayOwn reports whether this host may take over a batch.
func (b *Batches) mayOwn(r Record) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, b.Region)
}

// outside returns the other hosts that may not own a batch of the regions.
func (b *Batches) outside(regions []string) []string {
	if len(regions) == 0 || b.HostsOutside == nil {
		return nil
	}
	return b.HostsOutside(regions)
}

// rank returns the position of this host in the order of the hosts that may own a batch.
func (b *Batches) rank(id string, r Record, without ...string) int {
	return b.Peers.Rank(id, append(b.outside(r.Regions), without...)...)
}

// firstInRegions returns the first count hosts in rank for a key that may own a batch of the
// regions.
func (b *Batches) firstInRegions(key string, count int, regions []string) []string {
	outside := b.outside(regions)
	if len(outside) == 0 {
		return b.Peers.First(key, count)
	}
	var first []string
	for _, host := range b.Peers.First(key, math.MaxInt) {
		if len(first) < count && !slices.Contains(outside, host) {
			first = append(first, host)
		}
	}
	return first
}

// regionsKey returns a text that is the same for equal lists of regions.
func regionsKey(lists [][]string) string {
	var key strings.Builder
	for _, list := range lists {
		key.WriteString(strings.Join(list, "\x00") + "\x01")
	}
	return key.String()
}
