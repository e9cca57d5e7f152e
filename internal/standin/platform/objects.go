package platform

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/platform/rest"
	"github.com/hyssopwall/hyssopwall/internal/standin/fault"
	"github.com/hyssopwall/hyssopwall/internal/standin/web"
)

// maxWait bounds the time that a watch waits for a change.
const maxWait = 60 * time.Second

func (p *Platform) get(r *http.Request) reply {
	key := r.URL.Query().Get("key")
	_, stale := p.settings.Faults.Take(Get, key, fault.Stale)
	value, found := p.store.get(key, stale)
	if !found {
		return refuse(http.StatusNotFound, rest.Problem{Code: "absent"})
	}
	return ok(value)
}

func (p *Platform) list(r *http.Request) reply {
	prefix := r.URL.Query().Get("prefix")
	_, stale := p.settings.Faults.Take(List, prefix, fault.Stale)
	return ok(p.store.list(prefix, stale))
}

// watch returns the changes after a revision. If there is none yet, it waits for one, and
// returns an empty batch if none comes in time.
func (p *Platform) watch(r *http.Request) reply {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		return malformed(err)
	}
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil {
		return malformed(err)
	}
	timer := time.NewTimer(min(wait, maxWait))
	defer timer.Stop()
	for {
		batch, changed := p.store.since(query.Get("prefix"), after)
		if len(batch.Objects) > 0 {
			return ok(batch)
		}
		if p.interrupted(r) {
			web.Drop()
		}
		select {
		case <-changed:
		case <-timer.C:
			return ok(batch)
		case <-r.Context().Done():
			web.Drop()
		case <-p.done:
			web.Drop()
		}
	}
}

// interrupted reports whether an outage, or a Cut of the calling source, ends a pending
// watch.
func (p *Platform) interrupted(r *http.Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.outage != "" || p.cut[r.Header.Get(rest.HeaderSource)]
}

func (p *Platform) put(r *http.Request) reply {
	value, err := io.ReadAll(io.LimitReader(r.Body, object.MaxValue+1))
	if err != nil {
		return malformed(err)
	}
	if len(value) > object.MaxValue {
		return refuse(http.StatusRequestEntityTooLarge, rest.Problem{Code: "size", Have: uint64(len(value))})
	}
	return p.write(r, Put, value, false)
}

func (p *Platform) remove(r *http.Request) reply {
	return p.write(r, Delete, nil, true)
}

// write runs a conditional put or delete, twice if a Doubled fault is due.
func (p *Platform) write(r *http.Request, call Call, value []byte, deleted bool) reply {
	query := r.URL.Query()
	key := query.Get("key")
	expect, err := strconv.ParseUint(query.Get("expect"), 10, 64)
	if err != nil {
		return malformed(err)
	}
	if key == "" {
		return malformed(errors.New("no key"))
	}
	result := p.store.applyWrite(key, value, deleted, expect)
	if _, due := p.settings.Faults.Take(call, key, fault.Doubled); due {
		// Simulates a request that is delivered twice. The caller gets the first response.
		p.store.applyWrite(key, value, deleted, expect)
	}
	return result
}

// applyWrite writes to the store and turns the outcome into a reply, which does not repeat
// the value.
func (s *store) applyWrite(key string, value []byte, deleted bool, expect uint64) reply {
	written, err := s.write(key, value, deleted, expect)
	if conflict, failed := errors.AsType[*object.ConflictError](err); failed {
		return refuse(http.StatusConflict, rest.Problem{Code: "conflict", Have: conflict.Have})
	}
	written.Value = nil
	return ok(written)
}
