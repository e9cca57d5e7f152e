package server

import (
	"cmp"
	"slices"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/entry/route"
)

// Status is what one host knows, for operators.
type Status struct {
	Host      string          `json:"host"`
	Zone      string          `json:"zone"`
	Ready     bool            `json:"ready"`
	Reason    string          `json:"reason,omitempty"` // why it is not ready
	Version   uint64          `json:"version"`          // document in force
	CutOff    time.Time       `json:"cutoff,omitzero"`  // since when it has had no news of the platform
	Duties    []string        `json:"duties"`           // leases that it holds
	Steps     int             `json:"steps"`            // that it owns
	Running   int             `json:"running"`          // requests that run or wait at its backend servers
	Thin      uint64          `json:"thin"`             // usage counts that too few hosts stored
	Hosts     []PeerStatus    `json:"hosts"`
	Servers   []BackendStatus `json:"servers"` // that it is home to
	Claimable bool            `json:"claimable"`
}

// PeerStatus is another host as this one sees it.
type PeerStatus struct {
	Host    string `json:"host"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Version uint64 `json:"version"`
	State   string `json:"state"` // "live", "leaving" or "failed"
}

// BackendStatus is a backend server that the host is home to.
type BackendStatus struct {
	Server  string  `json:"server"`
	Pool    string  `json:"pool"`
	Version uint64  `json:"version,omitempty"`
	Running int     `json:"running"`
	Slots   int     `json:"slots"`
	Speed   float64 `json:"speed"` // tokens a second of one stream
	Leaving bool    `json:"leaving,omitempty"`
}

// Status returns what the host knows now.
func (s *Server) Status() Status {
	status := Status{
		Host: s.config.Settings.Host, Zone: s.config.Settings.Zone, Ready: true, Version: s.spread.Version(),
		CutOff: s.peers.cutOff(), Duties: s.heldDuties(), Steps: s.steps.OwnedCount(), Running: s.home.Running(),
		Thin: s.metering.Thin(), Hosts: s.peers.status(), Servers: []BackendStatus{}, Claimable: s.claims.Ready(),
	}
	if err := s.ready(); err != nil {
		status.Ready, status.Reason = false, err.Error()
	}
	for _, server := range s.home.Servers() {
		status.Servers = append(status.Servers, statusOf(server))
	}
	return status
}

func statusOf(server route.State) BackendStatus {
	return BackendStatus{
		Server: server.Name, Pool: server.Pool, Version: server.Version, Running: server.Running,
		Slots: server.Slots, Speed: server.Speed, Leaving: server.Leaving,
	}
}

func (s *Server) heldDuties() []string {
	held := []string{}
	for _, duty := range s.leases.Duties {
		if _, ok := s.leases.Held(duty); ok {
			held = append(held, duty)
		}
	}
	return held
}

func (p *peers) status() []PeerStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := []PeerStatus{}
	for _, peer := range p.known {
		state := "live"
		if peer.Leaving {
			state = "leaving"
		}
		if peer.down {
			state = "failed"
		}
		all = append(all, PeerStatus{Host: peer.Host, Zone: peer.Zone, Address: peer.Address, Version: peer.Version, State: state})
	}
	slices.SortFunc(all, func(a, b PeerStatus) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Host, b.Host))
	})
	return all
}
