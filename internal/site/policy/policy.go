// Package policy holds the configuration in force as the request path needs
// it: routes by host name and path prefix, services, workspaces and limits.
package policy

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/entry/gate"
)

// Kind says what may be done with the requests of a route.
type Kind string

// The kinds of routes.
const (
	Safe   Kind = "safe"   // may run more than once
	Unsafe Kind = "unsafe" // runs at most once
	Stream Kind = "stream" // answered by a stream of events
	Batch  Kind = "batch"  // takes batches of generations
)

// Policy is one accepted configuration. It never changes once it is in force.
type Policy struct {
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Route says how requests to one path prefix of a host name are treated.
type Route struct {
	Name             string
	Host             string
	Prefix           string
	Kind             Kind
	Targets          []Target
	Timeout          time.Duration // longest wait of a caller, zero for none
	LatencyTarget    time.Duration // latency objective
	Attempts         int           // backend servers that one request may be sent to
	Priority         int           // 0 is the most urgent
	Open             bool          // needs no key
	Resumable        bool          // a broken stream may go on at another engine
	SingleVersion    bool          // one weight version per sample
	CompletionTarget time.Duration // batches: time until every result is due
	ItemTTL          time.Duration // batches: time after which an item may be given up
}

// Target is a share of a route's requests that goes to a service.
type Target struct {
	Service string
	Weight  int
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name           string
	HealthPath     string // path of the health check
	MaxConnections int    // connections that one backend server accepts, zero for no bound
	Models         []string
	Scale          *Scale
}

// Scale bounds the number of ordered backend servers of a service per zone.
type Scale struct {
	Min, Max       int
	BootTime       time.Duration // from the order until a new one serves
	ZonePrices     map[string]float64
	SpotPriceRatio float64 // price of reclaimable ones as a share of the others', zero for none
}

// Workspace is a customer with its keys, known only by digest.
type Workspace struct {
	Name       string
	KeyDigests []string // SHA-256 in hexadecimal
	Priority   *int     // goes before that of the route
}

// Limits bound what a caller may send and how long a connection may idle.
type Limits struct {
	MaxHeaderBytes int // bytes
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Route returns the route of a host name with the longest prefix of the path.
func (p *Policy) Route(host, path string) (Route, bool) {
	best, found := Route{}, false
	for _, r := range p.Routes {
		if strings.EqualFold(r.Host, host) && strings.HasPrefix(path, r.Prefix) && (!found || len(r.Prefix) > len(best.Prefix)) {
			best, found = r, true
		}
	}
	return best, found
}

// Priority returns the priority of a workspace's requests on a route.
func (p *Policy) Priority(route Route, workspace string) int {
	for _, w := range p.Workspaces {
		if w.Name == workspace && w.Priority != nil {
			return *w.Priority
		}
	}
	return route.Priority
}

// ChooseService returns the target for a draw from 0 up to, but not including, 1.
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

// Rules returns what the gate needs of the policy. All workspaces share one
// grace: the time for which a host without news goes on admitting keys.
func (p *Policy) Rules(grace time.Duration) gate.Rules {
	rules := gate.Rules{Version: p.Version, Grace: make(map[string]time.Duration, len(p.Workspaces))}
	for _, w := range p.Workspaces {
		rules.Grace[w.Name] = grace
		for _, digest := range w.KeyDigests {
			rules.Grants = append(rules.Grants, gate.Grant{Workspace: w.Name, KeyID: digest[:min(len(digest), keyIDLength)], Digest: digest})
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

// keyIDLength is the number of digits of a digest that name a key in logs.
const keyIDLength = 12
