package view

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/hyssopwall/hyssopwall/internal/platform/object"
)

// Parse decodes and checks the value of a view object.
func Parse(value []byte, version uint64) (View, error) {
	var v View
	if err := json.Unmarshal(value, &v); err != nil {
		return View{}, err
	}
	v.Version = version
	return v, v.Check()
}

// Load reads a view. The platform may return a stale one, which is harmless:
// every update of it is conditional. If the shard has no view, the error is an
// *object.NotFoundError.
func Load(ctx context.Context, store object.Reader, shard string) (View, error) {
	found, err := store.Get(ctx, Key(shard))
	if err != nil {
		return View{}, err
	}
	return Parse(found.Value, found.Version)
}

// Cache holds the newest known view of each shard. The zero value is empty and
// ready to use. It is safe for concurrent use.
type Cache struct {
	mu    sync.RWMutex
	views map[string]View
}

// Merge keeps the view if it is newer than the known one of its shard, and
// reports whether it is.
func (c *Cache) Merge(v View) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.views[v.Shard]
	if ok && !v.newer(known) {
		return false
	}
	if c.views == nil {
		c.views = map[string]View{}
	}
	c.views[v.Shard] = v
	return true
}

// newer reports whether the view has a higher epoch, or a higher object version
// under the same epoch.
func (v View) newer(known View) bool {
	if v.Epoch != known.Epoch {
		return v.Epoch > known.Epoch
	}
	return v.Version > known.Version
}

// Find returns the newest known view of a shard.
func (c *Cache) Find(shard string) (View, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	v, ok := c.views[shard]
	return v, ok
}

// All returns the newest known view of every shard, in no particular order.
func (c *Cache) All() []View {
	c.mu.RLock()
	defer c.mu.RUnlock()
	all := make([]View, 0, len(c.views))
	for _, v := range c.views {
		all = append(all, v)
	}
	return all
}
