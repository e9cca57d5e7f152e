package engine

import (
	"net/http"
	"slices"
	"strconv"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
	"github.com/hyssopwall/hyssopwall/internal/platform/rest"
	"github.com/hyssopwall/hyssopwall/internal/standin/web"
)

func (e *Engine) state(w http.ResponseWriter, r *http.Request) {
	if e.disturb(w, r, State, "") {
		return
	}
	web.JSON(w, http.StatusOK, e.current())
}

// current returns the state. Its load figures are as old as LoadLag allows.
func (e *Engine) current() engine.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.boot
	if b == nil {
		web.Drop()
	}
	now := e.settings.Now()
	if b.figures.At.IsZero() || now.Sub(b.figures.At) >= e.settings.LoadLag {
		b.figures.Running = len(b.batch.running)
		b.figures.Waiting = len(b.batch.waiting)
		b.figures.At = now
	}
	state := b.figures
	state.Name = e.settings.Name
	state.Model = b.model
	state.Version = b.version
	state.Adapters = slices.Clone(b.adapters)
	state.Role = b.role
	state.Slots = e.settings.Slots
	state.Boot = b.id
	return state
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	if e.disturb(w, r, Cache, "") {
		return
	}
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		web.Refuse(w, http.StatusBadRequest, rest.Problem{Code: "malformed", Message: err.Error()})
		return
	}
	web.JSON(w, http.StatusOK, e.published(after))
}

func (e *Engine) published(after uint64) []engine.CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.boot == nil {
		web.Drop()
	}
	until := e.settings.Now().Add(-e.settings.CacheLag)
	return e.boot.cache.since(after, until)
}
