package platform

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/platform/hostlist"
	"github.com/hyssopwall/hyssopwall/internal/standin/fault"
)

// hostState keeps all versions of the host list, so that a stale one can be returned.
type hostState struct {
	lists []datedList
}

// datedList is the host list from a point in time until the next change.
type datedList struct {
	at    time.Time
	hosts []hostlist.Host
}

// current returns the newest list.
func (s *hostState) current() []hostlist.Host {
	if len(s.lists) == 0 {
		return nil
	}
	return s.lists[len(s.lists)-1].hosts
}

// listAt returns the list that was current at a time.
func (s *hostState) listAt(at time.Time) []hostlist.Host {
	for _, list := range slices.Backward(s.lists) {
		if !list.at.After(at) {
			return list.hosts
		}
	}
	return nil
}

// listHosts returns the host list, older by HostLag and the delay of a Stale fault.
func (p *Platform) listHosts(*http.Request) reply {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := p.now().Add(-p.settings.HostLag)
	if rule, stale := p.settings.Faults.Take(Hosts, "", fault.Stale); stale {
		at = at.Add(-rule.Delay)
	}
	hosts := p.hosts.listAt(at)
	if hosts == nil {
		hosts = []hostlist.Host{}
	}
	return ok(hosts)
}

// SetHost adds a host to the list, or replaces the host of that name.
func (p *Platform) SetHost(host hostlist.Host) {
	p.changeHosts(host.Name, &host)
}

// RemoveHost removes a host from the list.
func (p *Platform) RemoveHost(name string) {
	p.changeHosts(name, nil)
}

// changeHosts appends a list in which the named host is replaced, or removed if host
// is nil.
func (p *Platform) changeHosts(name string, host *hostlist.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	hosts := slices.Clone(p.hosts.current())
	hosts = slices.DeleteFunc(hosts, func(h hostlist.Host) bool { return h.Name == name })
	if host != nil {
		hosts = append(hosts, *host)
	}
	slices.SortFunc(hosts, func(a, b hostlist.Host) int { return cmp.Compare(a.Name, b.Name) })
	p.hosts.lists = append(p.hosts.lists, datedList{p.now(), hosts})
}
