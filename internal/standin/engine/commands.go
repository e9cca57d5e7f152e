package engine

import (
	"encoding/json"
	"net/http"
	"slices"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
	"github.com/hyssopwall/hyssopwall/internal/platform/rest"
	"github.com/hyssopwall/hyssopwall/internal/standin/fault"
	"github.com/hyssopwall/hyssopwall/internal/standin/web"
)

// generationRef is the body of a request that refers to a generation by its ID.
type generationRef struct {
	ID string `json:"id"`
}

// cancel serves POST /v1/cancel. Canceling an unknown generation succeeds.
func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	var ref generationRef
	if !web.Read(w, r, &ref) || e.injectFault(w, r, Cancel, ref.ID) {
		return
	}
	e.endGeneration(ref.ID, "canceled")
	if _, due := e.settings.Faults.Take(Cancel, ref.ID, fault.DropAfter); due {
		web.Drop()
	}
	web.JSON(w, http.StatusOK, rest.None{})
}

// endGeneration finishes a generation early and returns it, or nil if there is none
// with this ID.
func (e *Engine) endGeneration(id, reason string) *sequence {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.boot == nil {
		return nil
	}
	s := e.boot.batch.find(id)
	if s == nil {
		return nil
	}
	e.boot.batch.remove(s)
	e.counts.Canceled++
	s.finish(reason)
	return s
}

// export serves POST /v1/export: it ends a generation and returns its state, from
// which another engine can resume it.
func (e *Engine) export(w http.ResponseWriter, r *http.Request) {
	var ref generationRef
	if !web.Read(w, r, &ref) || e.injectFault(w, r, Export, ref.ID) {
		return
	}
	s := e.endGeneration(ref.ID, "exported")
	if s == nil {
		web.Refuse(w, http.StatusNotFound, rest.Problem{Code: "absent"})
		return
	}
	if _, due := e.settings.Faults.Take(Export, ref.ID, fault.DropAfter); due {
		web.Drop()
	}
	web.JSON(w, http.StatusOK, engine.Resume{
		Text:     s.text.String(),
		Tokens:   s.generated,
		Versions: s.versions,
		Cache:    encodeCache(s.request, s.generated, s.versions),
	})
}

// encodeCache returns the stand-in for the key/value cache of a generation: a hash of its
// prompt and seed, the number of its tokens and its weights versions. An engine imports a
// cache only if encodeCache gives the same bytes for the resuming request.
func encodeCache(request engine.Request, tokens int, versions []uint64) []byte {
	data, err := json.Marshal(struct {
		Source   uint64
		Tokens   int
		Versions []uint64
	}{textHash(request.Prompt, request.Seed), tokens, versions})
	if err != nil {
		return nil
	}
	return data
}

// command serves POST /v1/commands.
func (e *Engine) command(w http.ResponseWriter, r *http.Request) {
	var command engine.Command
	if !web.Read(w, r, &command) || e.injectFault(w, r, Command, command.ID) {
		return
	}
	if code := e.accept(command); code != "" { //nolint:contextcheck // a load outlives the request that started it
		web.Refuse(w, http.StatusConflict, rest.Problem{Code: code})
		return
	}
	if _, due := e.settings.Faults.Take(Command, command.ID, fault.DropAfter); due {
		web.Drop()
	}
	web.JSON(w, http.StatusOK, rest.None{})
}

// accept records and executes a command, or returns the error code of its refusal. A
// command of an older epoch is refused unless a setting or a fault disables fencing.
// Otherwise, a command with a known ID is accepted without effect.
func (e *Engine) accept(command engine.Command) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.boot == nil {
		web.Drop()
	}
	if command.Check() != nil {
		return "malformed"
	}
	if command.Epoch < e.epoch {
		if !e.ignoresFencing(command) {
			return "fenced"
		}
		e.counts.Stale++
	}
	if e.known[command.ID] {
		return ""
	}
	e.known[command.ID] = true
	e.epoch = max(e.epoch, command.Epoch)
	e.commands = append(e.commands, command)
	e.execute(e.boot, command)
	return ""
}

// ignoresFencing reports whether a command of an older epoch is accepted.
func (e *Engine) ignoresFencing(command engine.Command) bool {
	if e.settings.IgnoreFencing {
		return true
	}
	_, due := e.settings.Faults.Take(Command, command.ID, fault.IgnoreFencing)
	return due
}

// execute applies a change of role at once and starts any other command in the
// background.
func (e *Engine) execute(b *boot, command engine.Command) {
	if command.Role != "" {
		b.role = command.Role
		return
	}
	if command.Version != 0 {
		b.target = command.Version
	}
	go e.load(b, command)
}

// apply switches to loaded weights or adds a loaded adapter. It runs between two steps
// of the batch; running generations continue with the new weights.
func (e *Engine) apply(b *boot, command engine.Command) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if command.Adapter != "" {
		if !slices.Contains(b.adapters, command.Adapter) {
			b.adapters = append(b.adapters, command.Adapter)
		}
		return
	}
	if b.target != command.Version {
		return // a later command replaced this one
	}
	if command.Model != "" {
		b.model = command.Model
	}
	b.version = command.Version
	if !e.settings.KeepCache {
		b.cache.flush(e.settings.Now())
	}
}
