package server

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopwall/hyssopwall/internal/fleet/view"
)

// Member returns the process that a host runs, as it last said.
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

func (p *peer) member() view.Member { return view.Member{Host: p.Host, Incarnation: p.Process} }

// near returns the live hosts that may keep what belongs to this zone, this
// one included, in an order that depends on the key. A zone with one host
// takes others in, since a copy elsewhere is better than none.
func (p *peers) near(key string) []view.Member {
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

// mates returns the live hosts that should keep copies of this host's
// counters: one of another zone and one of this zone come first.
func (p *peers) mates() []view.Member {
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

func (p *peers) zoneOf(host string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if peer := p.known[host]; peer != nil {
		return peer.Zone
	}
	return ""
}

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

// all returns every live host's process, this one included.
func (p *peers) all() []view.Member {
	all := []view.Member{p.server.member()}
	for _, peer := range p.live(func(*peer) bool { return true }) {
		all = append(all, peer.member())
	}
	return all
}
