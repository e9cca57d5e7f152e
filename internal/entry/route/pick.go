package route

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Rules of the choice among home hosts:
//
//  1. Homes are ranked for a prefix by weighted rendezvous hashing, the weight
//     being the home's slots. Equal prefixes so meet at one home, whose engines
//     hold them in their caches, without any message about caches.
//  2. The first of the two best ranked whose load is within loadBound of the
//     mean gets the request; a popular prefix thus spreads over homes. While
//     all are busy, a wait up to cachedWorth above that is cheaper than to
//     compute the prompt elsewhere.
//  3. If both are above the bound, the less loaded of two homes drawn at random
//     gets it. Taking the least loaded of all would send the requests of every
//     host to one home until the next summaries.
//  4. A home's load is the part of its slots in use, requests sent since its
//     last summary included, and the wait of the request's own workspace there.
//     What others have waiting does not count: the home's queue is fair.
//  5. A home without a summary for summaryExpiry is not chosen.
const (
	loadBound     = 1.25
	cachedWorth   = time.Second
	loadFloor     = 0.5 // load below which a home is never called loaded
	summaryExpiry = 4 * time.Second
)

// Picker chooses among home hosts from their summaries. The zero value knows
// none. Seed varies its draws and differs between hosts. Every method is safe
// for concurrent use.
type Picker struct {
	Seed uint64

	mu    sync.Mutex
	draws uint64
	pools map[string][]*home
}

type home struct {
	Summary
	sent int // requests sent since the summary (rule 4)
	hash uint64
}

// Update takes a summary in; one is kept per host and pool. Received is the
// time of arrival.
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

// RemoveHost drops a host that has left.
func (p *Picker) RemoveHost(host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for pool, homes := range p.pools {
		p.pools[pool] = slices.DeleteFunc(homes, func(h *home) bool { return h.Host == host })
	}
}

// Pick returns the home for a request of a pool and counts the request there.
// prefix is the hash of the start of its prompt, zero for none. Hosts in avoid
// are not chosen. It returns false when no home has capacity.
func (p *Picker) Pick(now time.Time, pool, workspace string, prefix uint64, avoid ...string) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	live := make([]candidate, 0, 32)
	for _, h := range p.pools[pool] {
		if h.Slots > 0 && now.Sub(h.At) <= summaryExpiry && !slices.Contains(avoid, h.Host) {
			live = append(live, candidate{home: h, load: h.load(workspace)})
		}
	}
	if len(live) == 0 {
		return "", false
	}
	p.draws++
	chosen := pick(live, prefix, mix(p.Seed+p.draws)).home
	chosen.sent++
	return chosen.Host, true
}

// Total sums the live summaries of a pool into one, for other zones. The wait
// of a workspace is that of the home where it waits least, since the choice
// would take the request there.
func (p *Picker) Total(now time.Time, zone, pool string) Summary {
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := Summary{Host: zone, Zone: zone, Pool: pool, At: now}
	var least []Wait
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
			least = slices.Clone(h.Waits)
			continue
		}
		least = leastWaits(least, h.Waits)
	}
	sum.Waits = least
	return sum
}

// leastWaits keeps the workspaces that wait at both, with the shorter wait.
func leastWaits(a, b []Wait) []Wait {
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

// candidate is a home with its load for the request at hand.
type candidate struct {
	*home
	load float64
}

// load applies rule 4.
func (h *home) load(workspace string) float64 {
	return float64(h.Running+h.sent)/float64(h.Slots) + h.WaitOf(workspace).Seconds()
}

func pick(live []candidate, prefix, draw uint64) candidate {
	if prefix == 0 {
		return lessLoaded(live, draw)
	}
	bound := boundOf(meanLoad(live))
	first, second := rank(live, prefix)
	switch {
	case live[first].load <= bound:
		return live[first]
	case second >= 0 && live[second].load <= bound:
		return live[second]
	}
	return lessLoaded(live, draw)
}

// boundOf returns the load up to which a home keeps a request of its prefixes.
func boundOf(mean float64) float64 {
	bound := max(loadFloor, loadBound*mean)
	if mean >= 1 {
		bound += cachedWorth.Seconds()
	}
	return bound
}

// rank returns the places of the two best homes for a prefix (rule 1). The
// second is negative for a lone home.
func rank(live []candidate, prefix uint64) (first, second int) {
	first, second = -1, -1
	best, next := math.Inf(-1), math.Inf(-1)
	for i, h := range live {
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

// weightedScore is the score of weighted rendezvous hashing: -weight/ln(u) for
// u drawn from the hash, so that each home wins in proportion to its weight.
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

func meanLoad(live []candidate) float64 {
	sum := 0.0
	for _, h := range live {
		sum += h.load
	}
	return sum / float64(len(live))
}

// lessLoaded applies rule 3.
func lessLoaded(live []candidate, draw uint64) candidate {
	n := uint64(len(live))
	a, b := live[draw%n], live[(draw>>32)%n]
	if b.load < a.load {
		return b
	}
	return a
}

// LiveSummaries returns the summaries of a pool that have not expired, with what was
// sent since counted as running, ordered by host.
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

// CountSent counts a request that went to a home without Pick.
func (p *Picker) CountSent(pool, host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.pools[pool] {
		if h.Host == host {
			h.sent++
		}
	}
}

// UpdateHost takes in everything that a host says of its pools at a time. Pools
// that it no longer names are forgotten: it is home to none of their backend
// servers any more.
func (p *Picker) UpdateHost(received time.Time, host string, summaries []Summary) {
	named := make(map[string]bool, len(summaries))
	for _, s := range summaries {
		if s.Host == host {
			named[s.Pool] = true
			p.Update(received, s)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for pool, homes := range p.pools {
		if !named[pool] {
			p.pools[pool] = slices.DeleteFunc(homes, func(h *home) bool { return h.Host == host })
		}
	}
}
