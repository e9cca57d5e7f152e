// Package document defines the one document by which operators change what
// hyssopwall does: zones, workspaces and their keys, pools of backend servers,
// routes, limits, prices and objectives.
package document

import "github.com/hyssopwall/hyssopwall/internal/site/form"

// Document is the whole configuration of a site.
type Document struct {
	Site       string      `json:"site" jsonschema_description:"Name of the site."`
	Zones      []Zone      `json:"zones" jsonschema:"minItems=1"`
	Workspaces []Workspace `json:"workspaces"`
	Pools      []Pool      `json:"pools"`
	Routes     []Route     `json:"routes,omitempty"`
	Prices     []Price     `json:"prices,omitempty"`
	Objectives []Objective `json:"objectives,omitempty"`
}

// Zone is an availability zone. Spot says whether its spot servers may be
// ordered.
type Zone struct {
	Name   string `json:"name"`
	Region string `json:"region,omitempty"`
	Spot   bool   `json:"spot,omitempty" jsonschema_description:"Whether spot servers may be ordered here."`
}

// Workspace is a tenant. Share is its weight in the fair queue, 1 when absent.
// Grace is how long its keys go on working in a zone that is cut off from any
// news of the configuration.
type Workspace struct {
	Name   string        `json:"name"`
	Share  int           `json:"share,omitempty" jsonschema:"minimum=0" jsonschema_description:"Weight in the fair queue; 1 when absent."`
	Grace  form.Duration `json:"grace,omitempty" jsonschema_description:"How long keys go on working in a zone that is cut off from any news."`
	Keys   []Key         `json:"keys"`
	Limits []Limit       `json:"limits,omitempty"`
}

// Key is a caller's key. Digest is the SHA-256 of the key in hexadecimal; the
// key itself is never stored.
type Key struct {
	Name   string `json:"name"`
	Digest string `json:"digest" jsonschema:"pattern=^[0-9a-fA-F]{64}$" jsonschema_description:"SHA-256 of the key in hexadecimal."`
}

// Limit bounds one workspace on one route, or on all routes when Route is
// empty. Rate is in requests per second, Tokens in generated tokens per second
// and Running in requests at once. Zero means no bound.
type Limit struct {
	Route   string  `json:"route,omitempty"`
	Rate    float64 `json:"rate,omitempty" jsonschema:"minimum=0" jsonschema_description:"Requests per second; 0 for no bound."`
	Tokens  float64 `json:"tokens,omitempty" jsonschema:"minimum=0" jsonschema_description:"Generated tokens per second; 0 for no bound."`
	Running int     `json:"running,omitempty" jsonschema:"minimum=0" jsonschema_description:"Requests at once; 0 for no bound."`
}

// Kind tells model engines from plain services.
type Kind string

// The kinds of a pool.
const (
	Engine  Kind = "engine"
	Service Kind = "service"
)

// Pool is a set of interchangeable backend servers. Name is the model of an
// engine pool or the name of a service. Bound is the largest age, in weight
// versions, of a sample whose step names none. Floor is the share of engines
// that keeps serving during a weight roll-out, between 0 and 1. Least and Most
// bound the number of ordered servers per zone.
type Pool struct {
	Name            string   `json:"name"`
	Kind            Kind     `json:"kind" jsonschema:"enum=engine,enum=service"`
	MaxSampleAge    uint64   `json:"bound,omitempty" jsonschema:"minimum=0" jsonschema_description:"Largest age of a sample in weight versions."`
	MinServingShare float64  `json:"floor,omitempty" jsonschema:"minimum=0,exclusiveMaximum=1" jsonschema_description:"Share of engines that keeps serving during a weight roll-out."`
	MinServers      int      `json:"least,omitempty" jsonschema:"minimum=0" jsonschema_description:"Fewest ordered servers per zone."`
	MaxServers      int      `json:"most,omitempty" jsonschema:"minimum=0" jsonschema_description:"Most ordered servers per zone."`
	Fencing         bool     `json:"fencing,omitempty"`
	Servers         []Server `json:"servers,omitempty"`
}

// Server is a backend server that the site names itself; others come from the
// platform's orders. Class is "demand" or "spot". Address is IP:port.
type Server struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address" jsonschema_description:"IP:port."`
	Class   string `json:"class,omitempty" jsonschema:"enum=demand,enum=spot"`
}

// Route says how the requests to one path prefix of a service are treated, or
// all requests to a model when Path is empty. An open route needs no key. A
// route that is not idempotent is never sent twice. Private is the workspace
// that alone may use the route; empty means every workspace.
type Route struct {
	Name       string        `json:"name"`
	Pool       string        `json:"pool"`
	Path       string        `json:"path,omitempty"`
	Open       bool          `json:"open,omitempty" jsonschema_description:"Whether the route needs no key."`
	Idempotent bool          `json:"idempotent,omitempty" jsonschema_description:"Whether a request may be sent twice."`
	Timeout    form.Duration `json:"timeout,omitempty"`
	Private    string        `json:"private,omitempty" jsonschema_description:"The one workspace that may use the route."`
}

// Price is what a backend server of a class costs per hour, in the site's
// currency.
type Price struct {
	Class   string  `json:"class" jsonschema:"enum=demand,enum=spot"`
	PerHour float64 `json:"hour" jsonschema:"minimum=0" jsonschema_description:"Price per hour in the currency of the site."`
}

// Measure names what an objective counts as good.
type Measure string

// The measures of objectives.
const (
	Latency Measure = "latency" // answered within the limit
	Success Measure = "success" // answered whole
	Step    Measure = "step"    // step whole within the limit
	Fresh   Measure = "fresh"   // sample within the age bound
)

// Objective is a service level: the share Target, between 0 and 1, of what is
// counted must be good. Within is the limit of latency and step objectives.
type Objective struct {
	Workspace string        `json:"workspace,omitempty" jsonschema_description:"Empty for every workspace."`
	Route     string        `json:"route,omitempty" jsonschema_description:"Empty for all routes together."`
	Measure   Measure       `json:"measure" jsonschema:"enum=latency,enum=success,enum=step,enum=fresh"`
	Target    float64       `json:"target" jsonschema:"exclusiveMinimum=0,exclusiveMaximum=1" jsonschema_description:"Share that must be good."`
	Within    form.Duration `json:"within,omitempty" jsonschema_description:"Limit of latency and step objectives."`
}

// Decode reads and checks a document; the error is a *form.ProblemsError.
func Decode(file string, data []byte) (Document, error) {
	return form.Decode[Document](file, data)
}
