package document

import (
	"strings"
	"time"
)

// The timeouts of requests whose route names none.
const (
	engineTimeout  = 2 * time.Minute
	serviceTimeout = 30 * time.Second
)

// Index answers the queries of the request path over an accepted document. It
// never changes after NewIndex, so that it may be shared.
type Index struct {
	Version    uint64
	Document   Document
	pools      map[string]Pool
	workspaces map[string]Workspace
	routes     map[string][]Route
}

// NewIndex indexes a document of an accepted version.
func NewIndex(version uint64, doc Document) *Index {
	x := &Index{
		Version:    version,
		Document:   doc,
		pools:      make(map[string]Pool, len(doc.Pools)),
		workspaces: make(map[string]Workspace, len(doc.Workspaces)),
		routes:     make(map[string][]Route, len(doc.Pools)),
	}
	for _, pool := range doc.Pools {
		x.pools[pool.Name] = pool
	}
	for _, workspace := range doc.Workspaces {
		x.workspaces[workspace.Name] = workspace
	}
	for _, route := range doc.Routes {
		x.routes[route.Pool] = append(x.routes[route.Pool], route)
	}
	return x
}

// Pool returns the pool of that name and kind.
func (x *Index) Pool(name string, kind Kind) (Pool, bool) {
	pool, ok := x.pools[name]
	return pool, ok && pool.Kind == kind
}

// Workspace returns the workspace of that name.
func (x *Index) Workspace(name string) (Workspace, bool) {
	workspace, ok := x.workspaces[name]
	return workspace, ok
}

// Share returns the workspace's weight in the fair queue, at least 1.
func (x *Index) Share(workspace string) int {
	return max(1, x.workspaces[workspace].Share)
}

// Route returns the route with the longest path prefix that matches. A pool
// without a matching route is served by a closed default route: idempotent for
// an engine, not idempotent for a service.
func (x *Index) Route(pool Pool, path string) Route {
	best := Route{Name: pool.Name, Pool: pool.Name, Idempotent: pool.Kind == Engine}
	found := false
	for _, route := range x.routes[pool.Name] {
		if matches(route.Path, path) && (!found || len(route.Path) > len(best.Path)) {
			best, found = route, true
		}
	}
	if best.Timeout == 0 && pool.Kind == Engine {
		best.Timeout.Set(engineTimeout)
	}
	if best.Timeout == 0 {
		best.Timeout.Set(serviceTimeout)
	}
	return best
}

// matches says whether prefix covers path at a boundary between segments.
func matches(prefix, path string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	rest := path[len(prefix):]
	return prefix == "" || prefix[len(prefix)-1] == '/' || rest == "" || rest[0] == '/' || rest[0] == '?'
}

// OpenRoutes returns the names of the routes that need no key.
func (x *Index) OpenRoutes() []string {
	var open []string
	for _, route := range x.Document.Routes {
		if route.Open {
			open = append(open, route.Name)
		}
	}
	return open
}
