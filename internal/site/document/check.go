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

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// Check reports every problem of the document: names, values out of range and
// references to things that the document does not hold.
func (d *Document) Check(report *form.Report) {
	c := checker{report: report, doc: d}
	c.name("/site", d.Site)
	zones := c.zones()
	workspaces := c.workspaces()
	pools := c.pools(zones)
	routes := c.routes(pools, workspaces)
	c.limits(routes)
	c.prices()
	c.objectives(routes, workspaces)
}

type checker struct {
	report *form.Report
	doc    *Document
}

type names map[string]bool

func (c checker) name(pointer, name string) {
	if !namePattern.MatchString(name) {
		c.report.Add(pointer, fmt.Sprintf("%q is not a name", name), "use lower-case letters, digits, dots and dashes, 63 at most")
	}
}

func (c checker) unique(pointer, name string, seen names) {
	c.name(pointer, name)
	if seen[name] {
		c.report.Add(pointer, fmt.Sprintf("%q stands twice", name), "give each its own name")
	}
	seen[name] = true
}

func (c checker) known(pointer, name, what string, all names) {
	if !all[name] {
		c.report.Add(pointer, fmt.Sprintf("there is no %s %q", what, name), "name one that the document holds")
	}
}

func (c checker) zones() names {
	seen := names{}
	for i, zone := range c.doc.Zones {
		c.unique(fmt.Sprintf("/zones/%d/name", i), zone.Name, seen)
	}
	if len(seen) == 0 {
		c.report.Add("/zones", "holds no zone", "name at least one availability zone")
	}
	return seen
}

func (c checker) workspaces() names {
	seen, digests := names{}, names{}
	for i, workspace := range c.doc.Workspaces {
		at := fmt.Sprintf("/workspaces/%d", i)
		c.unique(at+"/name", workspace.Name, seen)
		if workspace.Share < 0 {
			c.report.Add(at+"/share", "is negative", "use 1 or more")
		}
		c.keys(at, workspace, digests)
	}
	return seen
}

func (c checker) keys(at string, workspace Workspace, digests names) {
	seen := names{}
	for i, key := range workspace.Keys {
		pointer := fmt.Sprintf("%s/keys/%d", at, i)
		c.unique(pointer+"/name", key.Name, seen)
		if raw, err := hex.DecodeString(key.Digest); err != nil || len(raw) != digestBytes {
			c.report.Add(pointer+"/digest", "is not a SHA-256 digest", "make one with: hyssopwall key new")
		}
		if digests[key.Digest] {
			c.report.Add(pointer+"/digest", "is the digest of another key too", "give each workspace its own key")
		}
		digests[key.Digest] = true
	}
}

func (c checker) pools(zones names) map[string]Kind {
	seen, servers := names{}, names{}
	kinds := make(map[string]Kind, len(c.doc.Pools))
	for i, pool := range c.doc.Pools {
		at := fmt.Sprintf("/pools/%d", i)
		c.unique(at+"/name", pool.Name, seen)
		if pool.Kind != Engine && pool.Kind != Service {
			c.report.Add(at+"/kind", fmt.Sprintf("%q is no kind", pool.Kind), `write "engine" or "service"`)
		}
		if pool.MinServingShare < 0 || pool.MinServingShare >= 1 {
			c.report.Add(at+"/floor", "is not between 0 and 1", "use a share such as 0.5")
		}
		if pool.MinServers < 0 || pool.MaxServers < pool.MinServers {
			c.report.Add(at+"/most", "is less than least", "use least <= most")
		}
		kinds[pool.Name] = pool.Kind
		c.servers(at, pool, zones, servers)
	}
	return kinds
}

func (c checker) servers(at string, pool Pool, zones, seen names) {
	for i, server := range pool.Servers {
		pointer := fmt.Sprintf("%s/servers/%d", at, i)
		c.unique(pointer+"/name", server.Name, seen)
		c.known(pointer+"/zone", server.Zone, "zone", zones)
		if _, err := netip.ParseAddrPort(server.Address); err != nil {
			c.report.Add(pointer+"/address", fmt.Sprintf("%q is not IP:port", server.Address), "write an IP number and a port")
		}
		if server.Class != "" && server.Class != "demand" && server.Class != "spot" {
			c.report.Add(pointer+"/class", fmt.Sprintf("%q is no class", server.Class), `write "demand" or "spot"`)
		}
	}
}

func (c checker) routes(pools map[string]Kind, workspaces names) names {
	seen := names{}
	for i, route := range c.doc.Routes {
		at := fmt.Sprintf("/routes/%d", i)
		c.unique(at+"/name", route.Name, seen)
		kind, ok := pools[route.Pool]
		if !ok {
			c.report.Add(at+"/pool", fmt.Sprintf("there is no pool %q", route.Pool), "name one that the document holds")
		}
		if ok && kind == Service && (route.Path == "" || route.Path[0] != '/') {
			c.report.Add(at+"/path", "does not start with /", "write the path prefix of the service")
		}
		if route.Private != "" {
			c.known(at+"/private", route.Private, "workspace", workspaces)
		}
		if route.Open && route.Private != "" {
			c.report.Add(at+"/open", "clashes with private", "remove one of the two")
		}
	}
	return seen
}

func (c checker) limits(routes names) {
	for i, workspace := range c.doc.Workspaces {
		for j, limit := range workspace.Limits {
			at := fmt.Sprintf("/workspaces/%d/limits/%d", i, j)
			if limit.Route != "" {
				c.known(at+"/route", limit.Route, "route", routes)
			}
			if limit.Rate < 0 || limit.Tokens < 0 || limit.Running < 0 {
				c.report.Add(at, "holds a negative bound", "use zero for no bound")
			}
		}
	}
}

func (c checker) prices() {
	for i, price := range c.doc.Prices {
		if price.Class != "demand" && price.Class != "spot" {
			c.report.Add(fmt.Sprintf("/prices/%d/class", i), fmt.Sprintf("%q is no class", price.Class), `write "demand" or "spot"`)
		}
		if price.PerHour < 0 {
			c.report.Add(fmt.Sprintf("/prices/%d/hour", i), "is negative", "use the price per hour")
		}
	}
}

func (c checker) objectives(routes, workspaces names) {
	seen := make(map[Objective]bool)
	for i, objective := range c.doc.Objectives {
		at := fmt.Sprintf("/objectives/%d", i)
		if objective.Workspace != "" {
			c.known(at+"/workspace", objective.Workspace, "workspace", workspaces)
		}
		if objective.Route != "" {
			c.known(at+"/route", objective.Route, "route", routes)
		}
		if objective.Target <= 0 || objective.Target >= 1 {
			c.report.Add(at+"/target", "is not between 0 and 1", "use a share such as 0.99")
		}
		c.measure(at, objective)
		key := objective
		key.Target = 0
		if seen[key] {
			c.report.Add(at, "counts the same as an earlier objective", "remove one")
		}
		seen[key] = true
	}
}

func (c checker) measure(at string, objective Objective) {
	if objective.Route != "" && (objective.Measure == Step || objective.Measure == Fresh) {
		c.report.Add(at+"/route", "means nothing for steps", "remove it")
	}
	switch objective.Measure {
	case Success, Fresh:
	case Latency, Step:
		if objective.Within == 0 {
			c.report.Add(at+"/within", "is missing", `write a limit such as "2s"`)
		}
	default:
		c.report.Add(at+"/measure", fmt.Sprintf("%q is no measure", objective.Measure), "write latency, success, step or fresh")
	}
}
