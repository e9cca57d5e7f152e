package engine

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
	"github.com/hyssopwall/hyssopwall/internal/platform/rest"
	"github.com/hyssopwall/hyssopwall/internal/standin/fault"
)

// Limits of a download.
const (
	downloadTime = 30 * time.Second
	leastWait    = 5 * time.Millisecond // between two tries
	mostTries    = 200
)

// load fetches what a command names and puts it in force. A failed load leaves
// the engine as it was.
func (e *Engine) load(b *boot, command engine.Command) {
	ctx, cancel := context.WithTimeout(context.Background(), downloadTime)
	defer cancel()
	go func() {
		select {
		case <-b.gone:
			cancel()
		case <-ctx.Done():
		}
	}()
	if err := e.fetch(ctx, b, command); err != nil {
		e.mu.Lock()
		e.counts.LoadFails++
		e.mu.Unlock()
		return
	}
	e.apply(b, command)
}

func (e *Engine) fetch(ctx context.Context, b *boot, command engine.Command) error {
	rule, due := e.settings.Faults.Take(Load, command.ID, faultsLoad...)
	if due {
		switch rule.Kind {
		case fault.Refuse:
			return errors.New("load failed")
		case fault.Crash:
			e.Crash()
			return errors.New("crashed")
		default:
			rule.Wait(ctx)
		}
	}
	if e.settings.Weights != "" && command.Version != 0 {
		if err := e.download(ctx, b, command); err != nil {
			return err
		}
	}
	fault.Rule{Delay: e.settings.LoadTime}.Wait(ctx)
	return ctx.Err()
}

// download fetches weights and waits as long as the store asks for.
func (e *Engine) download(ctx context.Context, b *boot, command engine.Command) error {
	model := command.Model
	if model == "" {
		model = b.model
	}
	caller := rest.Caller{Base: e.settings.Weights, Source: e.settings.Name}
	query := url.Values{"model": {model}, "version": {strconv.FormatUint(command.Version, 10)}}
	call := rest.Call{Method: http.MethodGet, Path: "/v1/weights/data", Query: query}
	for range mostTries {
		data, err := caller.Do(ctx, call)
		if err == nil {
			return check(data, command.Version)
		}
		status, limited := errors.AsType[*rest.StatusError](err)
		if !limited || status.Status != http.StatusTooManyRequests {
			return err
		}
		fault.Rule{Delay: max(leastWait, status.RetryAfter)}.Wait(ctx)
	}
	return errors.New("store allowed no download")
}

// check compares each byte with what the store holds for the version.
func check(data []byte, version uint64) error {
	if len(data) == 0 || bytes.Count(data, []byte{byte(version)}) != len(data) {
		return errors.New("weights are damaged")
	}
	return nil
}
