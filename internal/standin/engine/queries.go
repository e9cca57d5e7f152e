package engine

import (
	"net/http"
	"slices"
	"strconv"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
	"github.com/hyssopwall/hyssopwall/internal/platform/rest"
	"github.com/hyssopwall/hyssopwall/internal/standin/web"
)

// state serves GET /v1/state.
func (e *Engine) state(w http.ResponseWriter, r *http.Request) {
	if e.injectFault(w, r, State, "") {
		return
	}
	web.JSON(w, http.StatusOK, e.currentState())
}

// currentState returns the state. The numbers of running and waiting generations are
// refreshed only once they are Settings.LoadLag old.
func (e *Engine) currentState() engine.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.boot
	if b == nil {
		web.Drop()
	}
	now := e.settings.Now()
	if b.reportedLoad.At.IsZero() || now.Sub(b.reportedLoad.At) >= e.settings.LoadLag {
		b.reportedLoad.Running = len(b.batch.running)
		b.reportedLoad.Waiting = len(b.batch.waiting)
		b.reportedLoad.At = now
	}
	state := b.reportedLoad
	state.Name = e.settings.Name
	state.Model = b.model
	state.Version = b.version
	state.Adapters = slices.Clone(b.adapters)
	state.Role = b.role
	state.Slots = e.settings.Slots
	state.Boot = b.id
	return state
}

// cacheEvents serves GET /v1/cache.
func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	if e.injectFault(w, r, Cache, "") {
		return
	}
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		web.Refuse(w, http.StatusBadRequest, rest.Problem{Code: "malformed", Message: err.Error()})
		return
	}
	web.JSON(w, http.StatusOK, e.publishedEvents(after))
}

// publishedEvents returns the cache events with a sequence number above after that are
// at least Settings.CacheLag old.
func (e *Engine) publishedEvents(after uint64) []engine.CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.boot == nil {
		web.Drop()
	}
	until := e.settings.Now().Add(-e.settings.CacheLag)
	return e.boot.cache.since(after, until)
}
