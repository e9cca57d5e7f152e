package server

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopwall/hyssopwall/internal/entry/route"
)

// zoneHopCost is the time that routing adds to the expected latency of a request that
// runs in another zone.
const zoneHopCost = 5 * time.Millisecond

// live returns copies of the peers that are neither failed nor leaving and for which
// accept returns true, ordered by host.
func (p *peers) live(accept func(*peer) bool) []*peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []*peer
	for _, peer := range p.known {
		if !peer.down && !peer.Leaving && accept(peer) {
			copied := *peer
			all = append(all, &copied)
		}
	}
	slices.SortFunc(all, func(a, b *peer) int { return cmp.Compare(a.Host, b.Host) })
	return all
}

// silentHostTTL is how long a silent host of another zone still counts for the division
// of limits, because it may be cut off and serving.
const silentHostTTL = time.Hour

// limitSharers returns the number of hosts among which limits are divided, this one
// included: the live hosts of this zone, and the hosts of other zones that may be
// serving.
func (p *peers) limitSharers() int {
	zone := p.server.config.Settings.Zone
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := 1
	for _, peer := range p.known {
		silent := peer.down && (peer.Zone == zone || time.Since(peer.lastSeen) > silentHostTTL)
		if !peer.Leaving && !silent {
			sum++
		}
	}
	return sum
}

// rank returns the index of this host among the live hosts of its zone ordered by name,
// and -1 for a host that is stopping.
func (p *peers) rank() int {
	return slices.Index(slices.Sorted(slices.Values(p.zoneHosts())), p.server.config.Settings.Host)
}

// zoneHosts returns the live hosts of this zone, this one included unless it is
// stopping.
func (p *peers) zoneHosts() []string {
	set := p.server.config.Settings
	var names []string
	if !p.server.draining.Load() {
		names = append(names, set.Host)
	}
	for _, peer := range p.live(func(peer *peer) bool { return peer.Zone == set.Zone }) {
		names = append(names, peer.Host)
	}
	return names
}

// Address returns the link address of a host that has not failed.
func (p *peers) Address(host string) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer := p.known[host]
	if peer == nil || peer.down {
		return "", false
	}
	return peer.Address, true
}

// Hops returns the other zones that have slots for a pool with their load, the zone
// with the most free slots first.
func (p *peers) Hops(pool string) []route.Hop {
	now := time.Now()
	var hops []route.Hop
	for zone, picker := range p.zonePickers() {
		if total := picker.Total(now, zone, pool); total.Slots > 0 {
			hops = append(hops, route.Hop{Total: total, Cost: zoneHopCost})
		}
	}
	slices.SortFunc(hops, func(a, b route.Hop) int {
		return cmp.Or(cmp.Compare(b.Total.Slots-b.Total.Running, a.Total.Slots-a.Total.Running), cmp.Compare(a.Total.Zone, b.Total.Zone))
	})
	return hops
}

// zonePickers returns the pickers of the other zones by zone.
func (p *peers) zonePickers() map[string]*route.Picker {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.pickers)
}

// pickerFor returns the picker that chooses among the home hosts of a zone.
func (p *peers) pickerFor(zone string) *route.Picker {
	if zone == p.server.config.Settings.Zone {
		return &p.server.picker
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	picker := p.pickers[zone]
	if picker == nil {
		picker = &route.Picker{}
		p.pickers[zone] = picker
	}
	return picker
}

// Gateway returns the link address of a live host of another zone. The hosts
// of this zone spread over the gateways by the hash of their names.
func (p *peers) Gateway(zone string) (string, bool) {
	hosts := p.live(func(peer *peer) bool { return peer.Zone == zone })
	if len(hosts) == 0 {
		return "", false
	}
	at := xxhash.Sum64String(p.server.config.Settings.Host) % uint64(len(hosts))
	return hosts[at].Address, true
}

// CopyHosts returns the other live hosts that should keep copies for a key: those of other
// zones, then those of this zone. Both groups are in an order by hash that all hosts agree
// on.
func (p *peers) CopyHosts(key string) []string {
	zone := p.server.config.Settings.Zone
	hosts := p.live(func(*peer) bool { return true })
	slices.SortFunc(hosts, func(a, b *peer) int {
		return cmp.Or(
			compareBool(a.Zone == zone, b.Zone == zone),
			cmp.Compare(xxhash.Sum64String(key+a.Host), xxhash.Sum64String(key+b.Host)),
		)
	})
	names := make([]string, len(hosts))
	for i, host := range hosts {
		names[i] = host.Host
	}
	return names
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
