package platform

import (
	"bytes"
	"net/http"
	"strconv"

	"github.com/hyssopwall/hyssopwall/internal/platform/rest"
	"github.com/hyssopwall/hyssopwall/internal/platform/weightstore"
	"github.com/hyssopwall/hyssopwall/internal/standin/fault"
)

// release is the newest weights version of a model and the number of downloads of any
// version.
type release struct {
	version   uint64
	downloads int
}

// Publish releases the next weights version of a model and returns it.
func (p *Platform) Publish(model string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	current := p.releases[model]
	current.version++
	p.releases[model] = current
	return current.version
}

// Newest returns the newest weights version of a model, or zero if it has none.
func (p *Platform) Newest(model string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.releases[model].version
}

// newest returns the newest release, or the one before it, if any, for a Stale fault.
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

// download serves the weights of a version. Each byte is the version's low byte, so
// that an engine can detect corrupt weights.
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

// Downloads returns the number of downloads of a model, over all versions.
func (p *Platform) Downloads(model string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.releases[model].downloads
}
