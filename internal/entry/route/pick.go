package route

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Rules of the choice of a home host:
//
//  1. Homes are ranked for a prefix by weighted rendezvous hashing, with the
//     home's slots as weight. Requests with the same prefix thus go to the same
//     home, whose engines have it cached, without any message about caches.
//  2. The first of the two highest ranked homes whose load is at most loadBound
//     times the mean is chosen; a popular prefix thus spreads over homes. While
//     the mean load is 1 or more, a wait of up to maxCacheWait above that is
//     accepted, because it costs less than computing the prompt elsewhere.
//  3. If both are above the bound, or the request has no prefix, the less loaded
//     of two homes drawn at random is chosen. Choosing the least loaded of all
//     would send the requests of every host to one home until the next summaries.
//  4. A home's load is the fraction of its slots in use, requests sent since its
//     last summary included, plus the wait in seconds of the request's workspace
//     there. The waits of other workspaces do not count, since the home's queue
//     is fair.
//  5. A home whose last summary is older than summaryExpiry is not chosen.
const (
	loadBound     = 1.25 // multiple of the mean load
	maxCacheWait  = time.Second
	minBound      = 0.5 // load up to which a home is never above the bound
	summaryExpiry = 4 * time.Second
)

// Picker chooses home hosts by their summaries. The zero value has no summaries.
// Seed varies its random draws and should differ between hosts. Every method is
// safe for concurrent use.
type Picker struct {
	Seed uint64

	mu    sync.Mutex
	draws uint64             // number of draws
	pools map[string][]*home // by name
}

// home is one home host of a pool.
type home struct {
	Summary
	sent int    // requests sent since the summary (rule 4)
	hash uint64 // of the host's name
}

// Update replaces the summary of a host and pool. received is the time of its
// arrival.
func (p *Picker) Update(received time.Time, s Summary) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s.At = received
	if p.pools == nil {
		p.pools = make(map[string][]*home)
	}
	homes := p.pools[s.Pool]
	at := slices.IndexFunc(homes, func(h *home) bool { return h.Host == s.Host })
	if at >= 0 {
		homes[at].Summary = s
		homes[at].sent = 0
		return
	}
	p.pools[s.Pool] = append(homes, &home{Summary: s, hash: xxhash.Sum64String(s.Host)})
}

// RemoveHost removes all summaries of a host that has left.
func (p *Picker) RemoveHost(host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for pool, homes := range p.pools {
		p.pools[pool] = slices.DeleteFunc(homes, func(h *home) bool { return h.Host == host })
	}
}

// Pick returns the home host for a request and counts the request there. prefix
// is the hash of the start of its prompt, zero for none. Hosts in avoid are not
// chosen. It returns false when no other home has slots and a fresh summary.
func (p *Picker) Pick(now time.Time, pool, workspace string, prefix uint64, avoid ...string) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	candidates := make([]candidate, 0, 32)
	for _, h := range p.pools[pool] {
		if h.Slots > 0 && now.Sub(h.At) <= summaryExpiry && !slices.Contains(avoid, h.Host) {
			candidates = append(candidates, candidate{home: h, load: h.load(workspace)})
		}
	}
	if len(candidates) == 0 {
		return "", false
	}
	p.draws++
	chosen := choose(candidates, prefix, mix(p.Seed+p.draws)).home
	chosen.sent++
	return chosen.Host, true
}

// Total returns the sum of a pool's fresh summaries, for other zones. A
// workspace's wait in it is the shortest at any home, since a request is likely
// to be sent to that home.
func (p *Picker) Total(now time.Time, zone, pool string) Summary {
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := Summary{Host: zone, Zone: zone, Pool: pool, At: now}
	var shortest []Wait
	for _, h := range p.pools[pool] {
		if now.Sub(h.At) > summaryExpiry || h.Slots == 0 {
			continue
		}
		sum.Slots += h.Slots
		sum.Running += h.Running + h.sent
		sum.Backlog += h.Backlog
		sum.Rate += h.Rate
		sum.NewestVersion = max(sum.NewestVersion, h.NewestVersion)
		if sum.Slots == h.Slots {
			shortest = slices.Clone(h.Waits)
			continue
		}
		shortest = commonWaits(shortest, h.Waits)
	}
	sum.Waits = shortest
	return sum
}

// commonWaits returns the shorter wait of each workspace that is in both lists.
// It reuses the first one.
func commonWaits(a, b []Wait) []Wait {
	kept := a[:0]
	for _, w := range a {
		at := slices.IndexFunc(b, func(other Wait) bool { return other.Workspace == w.Workspace })
		if at >= 0 {
			w.Units = min(w.Units, b[at].Units)
			kept = append(kept, w)
		}
	}
	return kept
}

// candidate is a home that may be chosen, with its load for the request.
type candidate struct {
	*home
	load float64
}

// load returns the load by rule 4.
func (h *home) load(workspace string) float64 {
	return float64(h.Running+h.sent)/float64(h.Slots) + h.WaitOf(workspace).Seconds()
}

// choose applies rules 2 and 3. draw supplies the random bits.
func choose(candidates []candidate, prefix, draw uint64) candidate {
	if prefix == 0 {
		return lessLoaded(candidates, draw)
	}
	bound := boundOf(meanLoad(candidates))
	first, second := rank(candidates, prefix)
	switch {
	case candidates[first].load <= bound:
		return candidates[first]
	case second >= 0 && candidates[second].load <= bound:
		return candidates[second]
	}
	return lessLoaded(candidates, draw)
}

// boundOf returns the load up to which a request is sent to a home ranked for its
// prefix, given the mean load (rule 2).
func boundOf(mean float64) float64 {
	bound := max(minBound, loadBound*mean)
	if mean >= 1 {
		bound += maxCacheWait.Seconds()
	}
	return bound
}

// rank returns the indexes of the two highest ranked homes for a prefix (rule 1).
// The second is negative if there is only one home.
func rank(candidates []candidate, prefix uint64) (first, second int) {
	first, second = -1, -1
	best, next := math.Inf(-1), math.Inf(-1)
	for i, h := range candidates {
		score := weightedScore(h.hash^prefix, float64(h.Slots))
		switch {
		case score > best:
			second, next = first, best
			first, best = i, score
		case score > next:
			second, next = i, score
		}
	}
	return first, second
}

// weightedScore is the score of weighted rendezvous hashing: -weight/ln(u), where
// u in (0, 1) is derived from the hash. Each home has the highest score for a
// part of all hashes that is proportional to its weight.
func weightedScore(hash uint64, weight float64) float64 {
	u := (float64(mix(hash)>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(u)
}

// mix spreads the bits of a hash (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func meanLoad(candidates []candidate) float64 {
	sum := 0.0
	for _, h := range candidates {
		sum += h.load
	}
	return sum / float64(len(candidates))
}

// lessLoaded returns the less loaded of two homes drawn at random (rule 3).
func lessLoaded(candidates []candidate, draw uint64) candidate {
	n := uint64(len(candidates))
	a, b := candidates[draw%n], candidates[(draw>>32)%n]
	if b.load < a.load {
		return b
	}
	return a
}

// LiveSummaries returns the fresh summaries of a pool, ordered by host. Requests
// sent since a summary are added to its Running.
func (p *Picker) LiveSummaries(now time.Time, pool string) []Summary {
	p.mu.Lock()
	defer p.mu.Unlock()
	var live []Summary
	for _, h := range p.pools[pool] {
		if now.Sub(h.At) > summaryExpiry {
			continue
		}
		s := h.Summary
		s.Running += h.sent
		live = append(live, s)
	}
	slices.SortFunc(live, func(a, b Summary) int { return cmp.Compare(a.Host, b.Host) })
	return live
}

// CountSent counts a request that was sent to a home host without Pick.
func (p *Picker) CountSent(pool, host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.pools[pool] {
		if h.Host == host {
			h.sent++
		}
	}
}

// UpdateHost replaces all summaries of a host. Pools without a summary are removed
// from the host, as it is no longer home to any of their backend servers.
// Summaries that name another host are ignored.
func (p *Picker) UpdateHost(received time.Time, host string, summaries []Summary) {
	reported := make(map[string]bool, len(summaries))
	for _, s := range summaries {
		if s.Host == host {
			reported[s.Pool] = true
			p.Update(received, s)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for pool, homes := range p.pools {
		if !reported[pool] {
			p.pools[pool] = slices.DeleteFunc(homes, func(h *home) bool { return h.Host == host })
		}
	}
}
