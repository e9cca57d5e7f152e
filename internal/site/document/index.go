package document

import (
	"strings"
	"time"
)

// The default request timeouts of routes that set none.
const (
	engineTimeout  = 2 * time.Minute
	serviceTimeout = 30 * time.Second
)

// Index provides the lookups of the request path in an accepted document. It is
// immutable, so it may be used concurrently.
type Index struct {
	Version    uint64
	Document   Document
	pools      map[string]Pool
	workspaces map[string]Workspace
	routes     map[string][]Route // by pool
}

// NewIndex returns an index of an accepted document with its version.
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

// Pool returns the pool with the given name and kind.
func (x *Index) Pool(name string, kind Kind) (Pool, bool) {
	pool, ok := x.pools[name]
	return pool, ok && pool.Kind == kind
}

// Workspace returns the workspace with the given name.
func (x *Index) Workspace(name string) (Workspace, bool) {
	workspace, ok := x.workspaces[name]
	return workspace, ok
}

// Share returns the workspace's weight in the fair queue, at least 1.
func (x *Index) Share(workspace string) int {
	return max(1, x.workspaces[workspace].Share)
}

// Route returns the pool's route with the longest prefix that matches the path. Without
// a match it returns a default route that requires a key and is idempotent for an engine
// but not for a service. The result always has a timeout.
func (x *Index) Route(pool Pool, path string) Route {
	best := Route{Name: pool.Name, Pool: pool.Name, Idempotent: pool.Kind == Engine}
	found := false
	for _, route := range x.routes[pool.Name] {
		if matchesPrefix(route.Path, path) && (!found || len(route.Path) > len(best.Path)) {
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

// matchesPrefix reports whether prefix matches path up to the end of a segment or of the
// path before its query.
func matchesPrefix(prefix, path string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	rest := path[len(prefix):]
	return prefix == "" || prefix[len(prefix)-1] == '/' || rest == "" || rest[0] == '/' || rest[0] == '?'
}

// OpenRoutes returns the names of the routes that require no key.
func (x *Index) OpenRoutes() []string {
	var open []string
	for _, route := range x.Document.Routes {
		if route.Open {
			open = append(open, route.Name)
		}
	}
	return open
}
