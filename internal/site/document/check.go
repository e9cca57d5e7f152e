package document

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"regexp"

	"github.com/hyssopwall/hyssopwall/internal/site/form"
)

// digestBytes is the length of a SHA-256 digest in bytes.
const digestBytes = 32

// namePattern matches the names of sites, zones, workspaces, keys, pools, servers and
// routes.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// Check reports every problem of the document: invalid and duplicate names, values out
// of range and references to things that the document does not define.
func (d *Document) Check(report *form.Report) {
	c := checker{report: report, doc: d}
	c.checkName("/site", d.Site)
	zones := c.checkZones()
	workspaces := c.checkWorkspaces()
	pools := c.checkPools(zones)
	routes := c.checkRoutes(pools, workspaces)
	c.checkLimits(routes)
	c.checkPrices()
	c.checkObjectives(routes, workspaces)
}

// checker checks one document.
type checker struct {
	report *form.Report
	doc    *Document
}

// names is a set of names.
type names map[string]bool

// checkName reports an invalid name.
func (c checker) checkName(pointer, name string) {
	if !namePattern.MatchString(name) {
		c.report.Add(pointer, fmt.Sprintf("%q is not a valid name", name), "use at most 63 lower-case letters, digits, dots and dashes")
	}
}

// checkUnique reports a name that is invalid or already in seen, and adds it to seen.
func (c checker) checkUnique(pointer, name string, seen names) {
	c.checkName(pointer, name)
	if seen[name] {
		c.report.Add(pointer, fmt.Sprintf("%q appears twice", name), "use unique names")
	}
	seen[name] = true
}

// checkReference reports a name that is not defined in the document. The word kind
// describes the names in defined.
func (c checker) checkReference(pointer, name, kind string, defined names) {
	if !defined[name] {
		c.report.Add(pointer, fmt.Sprintf("there is no %s %q", kind, name), "name one that the document defines")
	}
}

// checkZones checks the zones and returns their names.
func (c checker) checkZones() names {
	seen := names{}
	for i, zone := range c.doc.Zones {
		c.checkUnique(fmt.Sprintf("/zones/%d/name", i), zone.Name, seen)
	}
	if len(seen) == 0 {
		c.report.Add("/zones", "has no zone", "add at least one availability zone")
	}
	return seen
}

// checkWorkspaces checks the workspaces and their keys and returns their names.
func (c checker) checkWorkspaces() names {
	seen, digests := names{}, names{}
	for i, workspace := range c.doc.Workspaces {
		at := fmt.Sprintf("/workspaces/%d", i)
		c.checkUnique(at+"/name", workspace.Name, seen)
		if workspace.Share < 0 {
			c.report.Add(at+"/share", "is negative", "use 1 or more")
		}
		c.checkKeys(at, workspace, digests)
	}
	return seen
}

// checkKeys checks the keys of a workspace; digests collects those of all workspaces.
func (c checker) checkKeys(at string, workspace Workspace, digests names) {
	seen := names{}
	for i, key := range workspace.Keys {
		pointer := fmt.Sprintf("%s/keys/%d", at, i)
		c.checkUnique(pointer+"/name", key.Name, seen)
		if raw, err := hex.DecodeString(key.Digest); err != nil || len(raw) != digestBytes {
			c.report.Add(pointer+"/digest", "is not a SHA-256 digest", "create one with: hyssopwall key new")
		}
		if digests[key.Digest] {
			c.report.Add(pointer+"/digest", "is the digest of another key as well", "use a separate key for each workspace")
		}
		digests[key.Digest] = true
	}
}

// checkPools checks the pools and their servers and returns the pools' kinds by name.
func (c checker) checkPools(zones names) map[string]Kind {
	seen, servers := names{}, names{}
	kinds := make(map[string]Kind, len(c.doc.Pools))
	for i, pool := range c.doc.Pools {
		at := fmt.Sprintf("/pools/%d", i)
		c.checkUnique(at+"/name", pool.Name, seen)
		if pool.Kind != Engine && pool.Kind != Service {
			c.report.Add(at+"/kind", fmt.Sprintf("%q is not a kind", pool.Kind), `write "engine" or "service"`)
		}
		if pool.MinServingShare < 0 || pool.MinServingShare >= 1 {
			c.report.Add(at+"/floor", "is not between 0 and 1", "use a share such as 0.5")
		}
		if pool.MinServers < 0 || pool.MaxServers < pool.MinServers {
			c.report.Add(at+"/most", "is less than least", "use least <= most")
		}
		kinds[pool.Name] = pool.Kind
		c.checkServers(at, pool, zones, servers)
	}
	return kinds
}

// checkServers checks the servers of a pool; seen collects the names of all servers.
func (c checker) checkServers(at string, pool Pool, zones, seen names) {
	for i, server := range pool.Servers {
		pointer := fmt.Sprintf("%s/servers/%d", at, i)
		c.checkUnique(pointer+"/name", server.Name, seen)
		c.checkReference(pointer+"/zone", server.Zone, "zone", zones)
		if _, err := netip.ParseAddrPort(server.Address); err != nil {
			c.report.Add(pointer+"/address", fmt.Sprintf("%q is not IP:port", server.Address), "write an IP address and a port")
		}
		if server.Class != "" && server.Class != "demand" && server.Class != "spot" {
			c.report.Add(pointer+"/class", fmt.Sprintf("%q is not a class", server.Class), `write "demand" or "spot"`)
		}
	}
}

// checkRoutes checks the routes and returns their names.
func (c checker) checkRoutes(pools map[string]Kind, workspaces names) names {
	seen := names{}
	for i, route := range c.doc.Routes {
		at := fmt.Sprintf("/routes/%d", i)
		c.checkUnique(at+"/name", route.Name, seen)
		kind, ok := pools[route.Pool]
		if !ok {
			c.report.Add(at+"/pool", fmt.Sprintf("there is no pool %q", route.Pool), "name one that the document defines")
		}
		if ok && kind == Service && (route.Path == "" || route.Path[0] != '/') {
			c.report.Add(at+"/path", "does not start with /", "write the path prefix of the service")
		}
		if route.Private != "" {
			c.checkReference(at+"/private", route.Private, "workspace", workspaces)
		}
		if route.Open && route.Private != "" {
			c.report.Add(at+"/open", "conflicts with private", "remove one of the two")
		}
	}
	return seen
}

// checkLimits checks the limits of all workspaces.
func (c checker) checkLimits(routes names) {
	for i, workspace := range c.doc.Workspaces {
		for j, limit := range workspace.Limits {
			at := fmt.Sprintf("/workspaces/%d/limits/%d", i, j)
			if limit.Route != "" {
				c.checkReference(at+"/route", limit.Route, "route", routes)
			}
			if limit.Rate < 0 || limit.Tokens < 0 || limit.Running < 0 {
				c.report.Add(at, "has a negative limit", "use zero for no limit")
			}
		}
	}
}

// checkPrices checks the prices.
func (c checker) checkPrices() {
	for i, price := range c.doc.Prices {
		if price.Class != "demand" && price.Class != "spot" {
			c.report.Add(fmt.Sprintf("/prices/%d/class", i), fmt.Sprintf("%q is not a class", price.Class), `write "demand" or "spot"`)
		}
		if price.PerHour < 0 {
			c.report.Add(fmt.Sprintf("/prices/%d/hour", i), "is negative", "use the price per hour")
		}
	}
}

// checkObjectives checks the objectives. Two objectives that differ only in their target
// are duplicates.
func (c checker) checkObjectives(routes, workspaces names) {
	seen := make(map[Objective]bool)
	for i, objective := range c.doc.Objectives {
		at := fmt.Sprintf("/objectives/%d", i)
		if objective.Workspace != "" {
			c.checkReference(at+"/workspace", objective.Workspace, "workspace", workspaces)
		}
		if objective.Route != "" {
			c.checkReference(at+"/route", objective.Route, "route", routes)
		}
		if objective.Target <= 0 || objective.Target >= 1 {
			c.report.Add(at+"/target", "is not between 0 and 1", "use a share such as 0.99")
		}
		c.checkMeasure(at, objective)
		key := objective
		key.Target = 0
		if seen[key] {
			c.report.Add(at, "duplicates an earlier objective", "remove one")
		}
		seen[key] = true
	}
}

// checkMeasure checks that an objective's measure is known and fits its other fields.
func (c checker) checkMeasure(at string, objective Objective) {
	if objective.Route != "" && (objective.Measure == Step || objective.Measure == Fresh) {
		c.report.Add(at+"/route", "does not apply to steps and samples", "remove it")
	}
	switch objective.Measure {
	case Success, Fresh:
	case Latency, Step:
		if objective.Within == 0 {
			c.report.Add(at+"/within", "is missing", `write a limit such as "2s"`)
		}
	default:
		c.report.Add(at+"/measure", fmt.Sprintf("%q is not a measure", objective.Measure), "write latency, success, step or fresh")
	}
}
