package platform

import (
	"bytes"
	"net/http"
	"strconv"

	"github.com/hyssopwall/hyssopwall/internal/platform/rest"
	"github.com/hyssopwall/hyssopwall/internal/platform/weightstore"
	"github.com/hyssopwall/hyssopwall/internal/standin/fault"
)

// release counts the downloads of the newest weights of a model.
type release struct {
	version   uint64
	downloads int
}

// Publish releases the next weights of a model and returns their version.
func (p *Platform) Publish(model string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	current := p.releases[model]
	current.version++
	p.releases[model] = current
	return current.version
}

// Newest returns the newest version of a model, zero for none.
func (p *Platform) Newest(model string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.releases[model].version
}

func (p *Platform) newest(r *http.Request) reply {
	model := r.URL.Query().Get("model")
	p.mu.Lock()
	defer p.mu.Unlock()
	current, found := p.releases[model]
	if !found {
		return refuse(http.StatusNotFound, rest.Problem{Code: "absent"})
	}
	if _, stale := p.settings.Faults.Take(Newest, model, fault.Stale); stale && current.version > 1 {
		current.version--
	}
	return ok(weightstore.Release{
		Model:           model,
		Version:         current.version,
		Bytes:           p.settings.Bytes,
		MaxDownloadRate: uint64(max(1, p.settings.Downloads)),
	})
}

// download serves a set of weights: its bytes repeat the version, so that an
// engine can tell damaged ones.
func (p *Platform) download(r *http.Request) reply {
	query := r.URL.Query()
	version, err := strconv.ParseUint(query.Get("version"), 10, 64)
	if err != nil {
		return malformed(err)
	}
	model := query.Get("model")
	p.mu.Lock()
	defer p.mu.Unlock()
	current := p.releases[model]
	if version == 0 || version > current.version {
		return refuse(http.StatusNotFound, rest.Problem{Code: "absent"})
	}
	current.downloads++
	p.releases[model] = current
	return reply{status: http.StatusOK, raw: bytes.Repeat([]byte{byte(version)}, int(p.settings.Bytes))}
}

// Downloads returns how often weights of a model were downloaded.
func (p *Platform) Downloads(model string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.releases[model].downloads
}
