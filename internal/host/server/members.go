package server

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopwall/hyssopwall/internal/fleet/view"
)

// Member returns the process of a host by its last hello.
func (p *peers) Member(host string) (view.Member, bool) {
	if host == p.server.config.Settings.Host {
		return p.server.member(), true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	peer := p.known[host]
	if peer == nil {
		return view.Member{}, false
	}
	return peer.member(), true
}

// member identifies the peer's process.
func (p *peer) member() view.Member { return view.Member{Host: p.Host, Incarnation: p.Incarnation} }

// shardHosts returns the live hosts that may keep copies of a shard of this zone, this
// host included, in an order that depends on the key. If this host is the only one of
// its zone, hosts of other zones follow, since a copy elsewhere is better than none.
func (p *peers) shardHosts(key string) []view.Member {
	zone := p.server.config.Settings.Zone
	own := []view.Member{p.server.member()}
	for _, peer := range p.live(func(peer *peer) bool { return peer.Zone == zone }) {
		own = append(own, peer.member())
	}
	slices.SortFunc(own, func(a, b view.Member) int {
		return cmp.Or(
			cmp.Compare(xxhash.Sum64String(key+a.Host), xxhash.Sum64String(key+b.Host)),
			cmp.Compare(a.Host, b.Host),
		)
	})
	if len(own) > 1 {
		return own
	}
	for _, host := range p.CopyHosts(key) {
		if member, ok := p.Member(host); ok {
			own = append(own, member)
		}
	}
	return own
}

// usageCopyHosts returns the live hosts that should keep copies of this host's usage
// counters: other zones and this zone alternate, another zone first.
func (p *peers) usageCopyHosts() []view.Member {
	zone := p.server.config.Settings.Zone
	var far, near []view.Member
	for _, host := range p.CopyHosts(p.server.config.Settings.Host) {
		member, ok := p.Member(host)
		switch {
		case !ok:
		case p.zoneOf(host) == zone:
			near = append(near, member)
		default:
			far = append(far, member)
		}
	}
	return interleave(far, near)
}

// zoneOf returns the zone of a peer, empty if the host is unknown.
func (p *peers) zoneOf(host string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if peer := p.known[host]; peer != nil {
		return peer.Zone
	}
	return ""
}

// interleave merges two lists by turns, a first.
func interleave(a, b []view.Member) []view.Member {
	var all []view.Member
	for i := range max(len(a), len(b)) {
		if i < len(a) {
			all = append(all, a[i])
		}
		if i < len(b) {
			all = append(all, b[i])
		}
	}
	return all
}

// liveMembers returns the processes of all live hosts, this one included.
func (p *peers) liveMembers() []view.Member {
	all := []view.Member{p.server.member()}
	for _, peer := range p.live(func(*peer) bool { return true }) {
		all = append(all, peer.member())
	}
	return all
}
