// Package policy holds the applied configuration in the form that the request path
// needs: routes by host name and path prefix, services, workspaces and limits.
package policy

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopwall/hyssopwall/internal/entry/gate"
)

// Kind is how the requests of a route may be run and answered.
type Kind string

// The kinds of routes.
const (
	Safe   Kind = "safe"   // may run more than once
	Unsafe Kind = "unsafe" // runs at most once
	Stream Kind = "stream" // answered by a server-sent event stream; runs at most once
	Batch  Kind = "batch"  // accepts batches of generations by POST; other requests run at most once
)

// Policy is one accepted configuration. It is immutable once it is applied.
type Policy struct {
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Route configures the requests to one path prefix of a host name.
//
// Timeout is the time for a request, unless the request states less; zero leaves the time
// that the request states, or the forwarder's default. A request waits for a free server
// for a share of LatencyTarget, or until its deadline if that is zero. LatencyTarget is
// also the time until a hedge while the forwarder has measured too few responses. Attempts
// is the maximum number of backend servers that one request is sent to, or of failures of
// a batch item; zero counts as 1. Items of a batch whose ItemTTL is zero may fail at once.
// Resumable is decoded, but not applied.
type Route struct {
	Name             string
	Host             string
	Prefix           string
	Kind             Kind
	Targets          []Target
	Timeout          time.Duration
	LatencyTarget    time.Duration // latency objective
	Attempts         int
	Priority         int           // 0 is the most urgent
	Open             bool          // requires no API key
	Resumable        bool          // a broken stream may resume on another engine
	SingleVersion    bool          // one weights version per sample
	CompletionTarget time.Duration // batches: time after which all results should be complete
	ItemTTL          time.Duration // batches: time after which an unfinished item may fail
	Regions          []string      // in which requests may run and their bodies may be kept; empty for all
}

// Target is a service that gets a share of a route's requests, in proportion to Weight.
type Target struct {
	Service string
	Weight  int
}

// Service is a set of interchangeable backend servers. Models are the models that its
// engines serve, empty if the servers are not engines. MaxConnections and Scale are decoded,
// but not applied.
type Service struct {
	Name           string
	HealthPath     string // path of the health check
	MaxConnections int    // per backend server, zero for no limit
	Models         []string
	Scale          *Scale
	WarmUpTime     time.Duration // how long a server is cold after a start
	WarmUpRate     float64       // requests per second that a cold server can take, zero for no limit
}

// Scale configures how many backend servers of a service are ordered per zone. It is
// decoded, but not applied.
type Scale struct {
	Min, Max       int
	BootTime       time.Duration      // from the order of a server until it serves
	ZonePrices     map[string]float64 // price of an on-demand server by zone
	SpotPriceRatio float64            // price of a spot server relative to an on-demand one, zero for no spot servers
}

// Workspace is a tenant. Its API keys are stored only as digests.
type Workspace struct {
	Name       string
	KeyDigests []string // SHA-256 in hexadecimal
	Priority   *int     // overrides the route's priority
	Regions    []string // as Route.Regions; both bind
}

// Limits bound the size of requests and the time to send a header or stay idle. For one that
// is zero or less, the host's default applies.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Route returns the route of a host name with the longest prefix of the path, or false if
// there is none. Host names are compared without regard to case; a port is part of the
// name. A prefix need not end at a path segment: /x matches /xy.
func (p *Policy) Route(host, path string) (Route, bool) {
	best, found := Route{}, false
	for _, r := range p.Routes {
		if strings.EqualFold(r.Host, host) && strings.HasPrefix(path, r.Prefix) && (!found || len(r.Prefix) > len(best.Prefix)) {
			best, found = r, true
		}
	}
	return best, found
}

// Priority returns the priority of a workspace's requests on a route; the workspace's
// own priority overrides the route's.
func (p *Policy) Priority(route Route, workspace string) int {
	for _, w := range p.Workspaces {
		if w.Name == workspace && w.Priority != nil {
			return *w.Priority
		}
	}
	return route.Priority
}

// Regions returns the lists of regions that bind the requests of a workspace on a route. A
// region has to be in each of them.
func (p *Policy) Regions(route Route, workspace string) [][]string {
	var lists [][]string
	if len(route.Regions) > 0 {
		lists = append(lists, route.Regions)
	}
	for _, w := range p.Workspaces {
		if w.Name == workspace && len(w.Regions) > 0 {
			lists = append(lists, w.Regions)
		}
	}
	return lists
}

// ChooseService returns the service for a random draw in [0, 1), by the targets' weights.
// A negative weight counts as zero. If all weights are zero it returns the last target's
// service, and without targets the empty string.
func (r Route) ChooseService(draw float64) string {
	total := 0
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	left := draw * float64(total)
	for _, t := range r.Targets {
		left -= float64(max(t.Weight, 0))
		if left < 0 {
			return t.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}

// ServiceOf returns the service for a batch, by the targets' weights. It follows from the
// batch's ID, so that each attempt to submit the batch gets the same one.
func (r Route) ServiceOf(batchID string) string {
	const bits = 53 // of a float64 without rounding
	return r.ChooseService(float64(xxhash.Sum64String(batchID)>>(64-bits)) / (1 << bits))
}

// Rules returns the access rules for the gate. All workspaces share one grace period,
// the time for which a host admits keys without an update from the store.
func (p *Policy) Rules(grace time.Duration) gate.Rules {
	rules := gate.Rules{Version: p.Version, Grace: make(map[string]time.Duration, len(p.Workspaces))}
	for _, w := range p.Workspaces {
		rules.Grace[w.Name] = grace
		for _, digest := range w.KeyDigests {
			rules.Grants = append(rules.Grants, gate.Grant{Workspace: w.Name, KeyID: digest[:min(len(digest), keyIDDigits)], Digest: digest})
		}
	}
	for _, r := range p.Routes {
		if r.Open {
			rules.OpenRoutes = append(rules.OpenRoutes, r.Name)
		}
	}
	slices.SortFunc(rules.Grants, func(a, b gate.Grant) int { return cmp.Compare(a.Digest, b.Digest) })
	return rules
}

// keyIDDigits is the number of leading hexadecimal digits of a digest that identify a key
// in logs.
const keyIDDigits = 12
