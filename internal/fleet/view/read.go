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

// Load reads a view. The platform may return an old one, which is harmless:
// every update of it is conditional.
func Load(ctx context.Context, store object.Reader, shard string) (View, error) {
	found, err := store.Get(ctx, Key(shard))
	if err != nil {
		return View{}, err
	}
	return Parse(found.Value, found.Version)
}

// Cache holds the newest view known of each shard. The zero value is empty and
// ready for use by many goroutines.
type Cache struct {
	mu    sync.RWMutex
	views map[string]View
}

// Merge keeps the view if it is newer than the one known, and says so.
func (b *Cache) Merge(v View) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	known, ok := b.views[v.Shard]
	if ok && !v.newer(known) {
		return false
	}
	if b.views == nil {
		b.views = map[string]View{}
	}
	b.views[v.Shard] = v
	return true
}

func (v View) newer(known View) bool {
	if v.Epoch != known.Epoch {
		return v.Epoch > known.Epoch
	}
	return v.Version > known.Version
}

// Find returns the newest view known of a shard.
func (b *Cache) Find(shard string) (View, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	v, ok := b.views[shard]
	return v, ok
}

// All returns every view known, in no order.
func (b *Cache) All() []View {
	b.mu.RLock()
	defer b.mu.RUnlock()
	all := make([]View, 0, len(b.views))
	for _, v := range b.views {
		all = append(all, v)
	}
	return all
}
