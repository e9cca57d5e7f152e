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
//     mean gets the request; a popular prefix thus spreads over homes.
//  3. If both are above the bound, the less loaded of all homes gets it.
//  4. Requests sent since a home's last summary are added to its load.
//  5. A home without a summary for summaryExpiry is not chosen.
const (
	loadBound     = 1.25
	loadFloor     = 0.5 // load below which a home is never called loaded
	summaryExpiry = 4 * time.Second
)

// Picker chooses among home hosts from their summaries. The zero value knows
// none. Every method is safe for concurrent use.
type Picker struct {
	mu    sync.Mutex
	pools map[string][]*home
}

type home struct {
	Summary
	sent int // requests sent since the summary (rule 4)
	hash uint64
}

// Learn takes a summary in; one is kept per host and pool. Received is the
// time of arrival.
func (p *Picker) Learn(received time.Time, s Summary) {
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

// Forget drops a host that has left.
func (p *Picker) Forget(host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for pool, homes := range p.pools {
		p.pools[pool] = slices.DeleteFunc(homes, func(h *home) bool { return h.Host == host })
	}
}

// Pick returns the home for a request of a pool and counts the request there.
// prefix is the hash of the start of its prompt, zero for none. Hosts in avoid
// are not chosen. It returns false when no home has capacity.
func (p *Picker) Pick(now time.Time, pool string, prefix uint64, avoid ...string) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	live := make([]*home, 0, 32)
	for _, h := range p.pools[pool] {
		if h.Slots > 0 && now.Sub(h.At) <= summaryExpiry && !slices.Contains(avoid, h.Host) {
			live = append(live, h)
		}
	}
	if len(live) == 0 {
		return "", false
	}
	chosen := pick(live, prefix)
	chosen.sent++
	return chosen.Host, true
}

// Total sums the live summaries of a pool into one, for other zones.
func (p *Picker) Total(now time.Time, zone, pool string) Summary {
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := Summary{Host: zone, Zone: zone, Pool: pool, At: now}
	for _, h := range p.pools[pool] {
		if now.Sub(h.At) > summaryExpiry {
			continue
		}
		sum.Slots += h.Slots
		sum.Running += h.Running + h.sent
		sum.Backlog += h.Backlog
		sum.Rate += h.Rate
		sum.Newest = max(sum.Newest, h.Newest)
	}
	return sum
}

func pick(live []*home, prefix uint64) *home {
	if prefix == 0 {
		return leastLoaded(live)
	}
	bound := max(loadFloor, loadBound*meanLoad(live))
	first, second := rank(live, prefix)
	for _, h := range []*home{first, second} {
		if h != nil && h.fill(h.sent) <= bound {
			return h
		}
	}
	return leastLoaded(live)
}

// rank returns the two best homes for a prefix (rule 1).
func rank(live []*home, prefix uint64) (first, second *home) {
	best, next := math.Inf(-1), math.Inf(-1)
	for _, h := range live {
		score := weightedScore(h.hash^prefix, float64(h.Slots))
		switch {
		case score > best:
			second, next = first, best
			first, best = h, score
		case score > next:
			second, next = h, score
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

func meanLoad(live []*home) float64 {
	sum := 0.0
	for _, h := range live {
		sum += h.fill(h.sent)
	}
	return sum / float64(len(live))
}

func leastLoaded(live []*home) *home {
	return slices.MinFunc(live, func(a, b *home) int {
		return cmp.Or(cmp.Compare(a.fill(a.sent), b.fill(b.sent)), cmp.Compare(a.Host, b.Host))
	})
}

// Live returns the summaries of a pool that have not expired, with what was
// sent since counted as running, ordered by host.
func (p *Picker) Live(now time.Time, pool string) []Summary {
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

// Sent counts a request that went to a home without Pick.
func (p *Picker) Sent(pool, host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.pools[pool] {
		if h.Host == host {
			h.sent++
		}
	}
}

// LearnHost takes in everything that a host says of its pools at a time. Pools
// that it no longer names are forgotten: it is home to none of their backend
// servers any more.
func (p *Picker) LearnHost(received time.Time, host string, summaries []Summary) {
	named := make(map[string]bool, len(summaries))
	for _, s := range summaries {
		if s.Host == host {
			named[s.Pool] = true
			p.Learn(received, s)
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
