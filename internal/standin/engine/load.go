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

// Limits of a load and of its download.
const (
	loadTimeout  = 30 * time.Second
	minRetryWait = 5 * time.Millisecond // minimum wait between two attempts
	maxAttempts  = 200                  // of one download
)

// load fetches the weights or the adapter of a command and applies it. A failed load is
// counted and changes nothing else.
func (e *Engine) load(b *boot, command engine.Command) {
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
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

// fetch injects load faults, downloads weights if a store is set, and waits for the
// configured load time.
func (e *Engine) fetch(ctx context.Context, b *boot, command engine.Command) error {
	rule, due := e.settings.Faults.Take(Load, command.ID, faultsLoad...)
	if due {
		switch rule.Kind {
		case fault.Refuse:
			return errors.New("injected fault: load refused")
		case fault.Crash:
			e.Crash()
			return errors.New("injected fault: engine crashed during load")
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

// download fetches weights from the store. While the store limits downloads, it waits
// as long as Retry-After asks and tries again.
func (e *Engine) download(ctx context.Context, b *boot, command engine.Command) error {
	model := command.Model
	if model == "" {
		model = b.model
	}
	caller := rest.Caller{Base: e.settings.Weights, Source: e.settings.Name}
	query := url.Values{"model": {model}, "version": {strconv.FormatUint(command.Version, 10)}}
	call := rest.Call{Method: http.MethodGet, Path: "/v1/weights/data", Query: query}
	for range maxAttempts {
		data, err := caller.Do(ctx, call)
		if err == nil {
			return checkWeights(data, command.Version)
		}
		status, limited := errors.AsType[*rest.StatusError](err)
		if !limited || status.Status != http.StatusTooManyRequests {
			return err
		}
		fault.Rule{Delay: max(minRetryWait, status.RetryAfter)}.Wait(ctx)
	}
	return errors.New("weight store refused every download attempt")
}

// checkWeights returns an error unless data has the content that the store holds for
// the version: every byte is the version number modulo 256.
func checkWeights(data []byte, version uint64) error {
	if len(data) == 0 || bytes.Count(data, []byte{byte(version)}) != len(data) {
		return errors.New("downloaded weights are damaged")
	}
	return nil
}
