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

// target names a generation.
type target struct {
	ID string `json:"id"`
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	var named target
	if !web.Read(w, r, &named) || e.disturb(w, r, Cancel, named.ID) {
		return
	}
	e.end(named.ID, "canceled")
	if _, due := e.settings.Faults.Take(Cancel, named.ID, fault.DropAfter); due {
		web.Drop()
	}
	web.JSON(w, http.StatusOK, rest.None{})
}

// end finishes a generation early and returns it.
func (e *Engine) end(id, reason string) *sequence {
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

func (e *Engine) export(w http.ResponseWriter, r *http.Request) {
	var named target
	if !web.Read(w, r, &named) || e.disturb(w, r, Export, named.ID) {
		return
	}
	s := e.end(named.ID, "exported")
	if s == nil {
		web.Refuse(w, http.StatusNotFound, rest.Problem{Code: "absent"})
		return
	}
	if _, due := e.settings.Faults.Take(Export, named.ID, fault.DropAfter); due {
		web.Drop()
	}
	web.JSON(w, http.StatusOK, engine.Resume{
		Text:     s.text.String(),
		Tokens:   s.next,
		Versions: s.versions,
		Cache:    exported(s.request, s.next, s.versions),
	})
}

// exported returns the key/value cache of a generation as other engines take
// it. It carries the versions that built it.
func exported(request engine.Request, tokens int, versions []uint64) []byte {
	data, err := json.Marshal(struct {
		Source   uint64
		Tokens   int
		Versions []uint64
	}{source(request.Prompt, request.Seed), tokens, versions})
	if err != nil {
		return nil
	}
	return data
}

func (e *Engine) command(w http.ResponseWriter, r *http.Request) {
	var command engine.Command
	if !web.Read(w, r, &command) || e.disturb(w, r, Command, command.ID) {
		return
	}
	if code := e.accept(command); code != "" { //nolint:contextcheck // a load outlives the call that asked for it
		web.Refuse(w, http.StatusConflict, rest.Problem{Code: code})
		return
	}
	if _, due := e.settings.Faults.Take(Command, command.ID, fault.DropAfter); due {
		web.Drop()
	}
	web.JSON(w, http.StatusOK, rest.None{})
}

// accept takes a command, or returns the code of a refusal. A repeat of a known
// ID has no further effect.
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
		if !e.ignores(command) {
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

func (e *Engine) ignores(command engine.Command) bool {
	if e.settings.IgnoreFencing {
		return true
	}
	_, due := e.settings.Faults.Take(Command, command.ID, fault.IgnoreFencing)
	return due
}

// execute starts to carry out a command.
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

// apply puts loaded weights or an adapter in force between two steps of the
// batch, under the generations that run.
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
