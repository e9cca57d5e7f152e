// Package document defines the configuration document of a site, which operators
// submit: zones, workspaces and their keys, pools of backend servers, routes, limits,
// prices and objectives.
package document

import "github.com/hyssopwall/hyssopwall/internal/site/form"

// Document is the complete configuration of a site.
type Document struct {
	Site       string      `json:"site" jsonschema_description:"Name of the site."`
	Zones      []Zone      `json:"zones" jsonschema:"minItems=1"`
	Workspaces []Workspace `json:"workspaces"`
	Pools      []Pool      `json:"pools"`
	Routes     []Route     `json:"routes,omitempty"`
	Prices     []Price     `json:"prices,omitempty"`
	Objectives []Objective `json:"objectives,omitempty"`
}

// Zone is an availability zone. Region and Spot, which tells whether spot servers may be
// ordered in the zone, are recorded only; hosts do not use them.
type Zone struct {
	Name   string `json:"name"`
	Region string `json:"region,omitempty"`
	Spot   bool   `json:"spot,omitempty" jsonschema_description:"Whether spot servers may be ordered here."`
}

// Workspace is a tenant. Share is its weight in the fair queue, 1 when absent.
// Grace is how long its keys remain valid in a zone that receives no configuration
// updates; if zero, they are refused there at once.
type Workspace struct {
	Name   string        `json:"name"`
	Share  int           `json:"share,omitempty" jsonschema:"minimum=0" jsonschema_description:"Weight in the fair queue; 1 when absent."`
	Grace  form.Duration `json:"grace,omitempty" jsonschema_description:"How long keys remain valid in a zone that receives no configuration updates."`
	Keys   []Key         `json:"keys"`
	Limits []Limit       `json:"limits,omitempty"`
}

// Key is an API key. Digest is the SHA-256 of the key in hexadecimal; the key itself
// is never stored.
type Key struct {
	Name   string `json:"name"`
	Digest string `json:"digest" jsonschema:"pattern=^[0-9a-fA-F]{64}$" jsonschema_description:"SHA-256 of the key in hexadecimal."`
}

// Limit limits the requests of a workspace on one route, or on all routes together when
// Route is empty; a request must meet the limit of its route and that of all routes.
// Rate is in requests per second, Tokens in generated tokens per second, and Running is
// the number of concurrent requests. Zero means no limit.
type Limit struct {
	Route   string  `json:"route,omitempty"`
	Rate    float64 `json:"rate,omitempty" jsonschema:"minimum=0" jsonschema_description:"Requests per second; 0 for no limit."`
	Tokens  float64 `json:"tokens,omitempty" jsonschema:"minimum=0" jsonschema_description:"Generated tokens per second; 0 for no limit."`
	Running int     `json:"running,omitempty" jsonschema:"minimum=0" jsonschema_description:"Concurrent requests; 0 for no limit."`
}

// Kind is the kind of backend servers in a pool: engines generate text, services answer
// plain requests.
type Kind string

// The kinds of pools.
const (
	Engine  Kind = "engine"
	Service Kind = "service"
)

// Pool is a set of interchangeable backend servers. Name is the model of an
// engine pool or the name of a service. MaxSampleAge is the maximum age of samples, in
// weights versions, of steps that set none; zero accepts the newest version only.
// MinServingShare is the minimum share of engines, from 0 to below 1, that keep serving
// while new weights are rolled out; zero takes weights.DefaultMinServingShare.
//
// MinServers and MaxServers, the limits of ordered servers per zone, and Fencing are
// recorded only; hosts do not use them.
type Pool struct {
	Name            string   `json:"name"`
	Kind            Kind     `json:"kind" jsonschema:"enum=engine,enum=service"`
	MaxSampleAge    uint64   `json:"bound,omitempty" jsonschema:"minimum=0" jsonschema_description:"Maximum age of a sample in weights versions."`
	MinServingShare float64  `json:"floor,omitempty" jsonschema:"minimum=0,exclusiveMaximum=1" jsonschema_description:"Minimum share of engines that keep serving while new weights are rolled out."`
	MinServers      int      `json:"least,omitempty" jsonschema:"minimum=0" jsonschema_description:"Minimum number of ordered servers per zone."`
	MaxServers      int      `json:"most,omitempty" jsonschema:"minimum=0" jsonschema_description:"Maximum number of ordered servers per zone."`
	Fencing         bool     `json:"fencing,omitempty"`
	Servers         []Server `json:"servers,omitempty"`
}

// Server is a backend server listed in the document; others are ordered from the
// platform. Class is "demand" (on-demand, also when empty) or "spot". Address is IP:port.
type Server struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address" jsonschema_description:"IP:port."`
	Class   string `json:"class,omitempty" jsonschema:"enum=demand,enum=spot"`
}

// Route configures the requests to one path prefix of a pool. Path starts with / for a
// service; it may be empty for a model and then matches all its requests. An open route
// requires no key. A request on a route that is not idempotent is never sent twice. Private
// is the only workspace that may use the route; empty means every workspace. Index.Route
// replaces a zero Timeout by a default.
type Route struct {
	Name       string        `json:"name"`
	Pool       string        `json:"pool"`
	Path       string        `json:"path,omitempty"`
	Open       bool          `json:"open,omitempty" jsonschema_description:"Whether the route requires no key."`
	Idempotent bool          `json:"idempotent,omitempty" jsonschema_description:"Whether a request may be sent twice."`
	Timeout    form.Duration `json:"timeout,omitempty"`
	Private    string        `json:"private,omitempty" jsonschema_description:"The only workspace that may use the route; empty for every workspace."`
}

// Price is the price of a backend server of a class per hour, in the site's currency.
type Price struct {
	Class   string  `json:"class" jsonschema:"enum=demand,enum=spot"`
	PerHour float64 `json:"hour" jsonschema:"minimum=0" jsonschema_description:"Price per hour in the currency of the site."`
}

// Measure is the criterion by which an objective counts a request, step or sample as
// good.
type Measure string

// The measures of objectives.
const (
	Latency Measure = "latency" // request answered within the limit
	Success Measure = "success" // request answered completely
	Step    Measure = "step"    // step completed within the limit
	Fresh   Measure = "fresh"   // sample delivered within its maximum age
)

// Objective is a service level objective: at least the share Target, between 0 and 1,
// must be good by Measure. Within is the time limit of latency and step objectives.
type Objective struct {
	Workspace string        `json:"workspace,omitempty" jsonschema_description:"Empty for every workspace."`
	Route     string        `json:"route,omitempty" jsonschema_description:"Empty for all routes together."`
	Measure   Measure       `json:"measure" jsonschema:"enum=latency,enum=success,enum=step,enum=fresh"`
	Target    float64       `json:"target" jsonschema:"exclusiveMinimum=0,exclusiveMaximum=1" jsonschema_description:"Minimum share that must be good."`
	Within    form.Duration `json:"within,omitempty" jsonschema_description:"Time limit of latency and step objectives."`
}

// Decode parses and checks a document; file is its name in errors. The error is a
// *form.ProblemsError.
func Decode(file string, data []byte) (Document, error) {
	return form.Decode[Document](file, data)
}
