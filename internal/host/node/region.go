package node

import (
	"slices"
	"strconv"

	"github.com/hyssopwall/hyssopwall/internal/fleet/peer"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
	"github.com/hyssopwall/hyssopwall/internal/site/policy"
)

// regionOf returns the region of a zone, empty if unknown.
func (n *Node) regionOf(zone string) string {
	if len(n.Settings.Zones) == 0 {
		return n.Settings.Region
	}
	return n.Settings.Zones[zone]
}

// mayRelay reports whether calls to the store may go through a host. They may hold the bodies
// of batches, which must not get to hosts in other regions if the configuration names regions.
func (n *Node) mayRelay(host peer.Host) bool {
	return !n.regionsBind.Load() || n.regionOf(host.Zone) == n.Settings.Region
}

// hostsOutside returns the other hosts that are in none of the regions.
func (n *Node) hostsOutside(regions []string) []string {
	var names []string
	for _, h := range n.Directory.Hosts() {
		if h.Name != n.Settings.Host && !slices.Contains(regions, n.regionOf(h.Zone)) {
			names = append(names, h.Name)
		}
	}
	return names
}

// checkRegions records whether a configuration names regions, and logs those that no zone
// belongs to.
func (n *Node) checkRegions(p *policy.Policy) {
	n.regionsBind.Store(slices.ContainsFunc(p.Routes, func(r policy.Route) bool { return len(r.Regions) > 0 }) ||
		slices.ContainsFunc(p.Workspaces, func(w policy.Workspace) bool { return len(w.Regions) > 0 }))
	known := []string{n.Settings.Region}
	for _, region := range n.Settings.Zones {
		known = append(known, region)
	}
	check := func(route, workspace string, regions []string) {
		for _, region := range regions {
			if region == "" || !slices.Contains(known, region) {
				n.Log.Emit(event.RegionUnknown, "route", route, "workspace", workspace, "reason", "no zone is in region "+strconv.Quote(region), "version", p.Version)
			}
		}
	}
	for _, r := range p.Routes {
		check(r.Name, "", r.Regions)
	}
	for _, w := range p.Workspaces {
		check("", w.Name, w.Regions)
	}
}
