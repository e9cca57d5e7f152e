package server

import (
	"cmp"
	"slices"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/entry/route"
)

// Status is the state of one host and its view of the others, for operators.
type Status struct {
	Host            string          `json:"host"`
	Zone            string          `json:"zone"`
	Ready           bool            `json:"ready"`
	Reason          string          `json:"reason,omitempty"` // why it is not ready
	Version         uint64          `json:"version"`          // of the current document
	CutOff          time.Time       `json:"cutoff,omitzero"`  // since when it has been cut off from the platform, zero if it is not
	Duties          []string        `json:"duties"`           // for which it holds the lease
	Steps           int             `json:"steps"`            // number of steps that it owns
	Running         int             `json:"running"`          // requests that run or wait at this home
	UnderReplicated uint64          `json:"thin"`             // usage counts with too few copies
	Hosts           []PeerStatus    `json:"hosts"`
	Servers         []BackendStatus `json:"servers"`   // that it is home to
	Claimable       bool            `json:"claimable"` // the owner of every claim shard is known
}

// PeerStatus is the state of another host in this host's view.
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
	Speed   float64 `json:"speed"` // tokens per second of one stream
	Leaving bool    `json:"leaving,omitempty"`
}

// Status returns the current status of the host.
func (s *Server) Status() Status {
	status := Status{
		Host: s.config.Settings.Host, Zone: s.config.Settings.Zone, Ready: true, Version: s.spread.Version(),
		CutOff: s.peers.cutOffSince(), Duties: s.heldDuties(), Steps: s.steps.OwnedCount(), Running: s.home.Running(),
		UnderReplicated: s.metering.UnderReplicated(), Hosts: s.peers.status(), Servers: []BackendStatus{}, Claimable: s.claims.Ready(),
	}
	if err := s.ready(); err != nil {
		status.Ready, status.Reason = false, err.Error()
	}
	for _, server := range s.home.Servers() {
		status.Servers = append(status.Servers, backendStatus(server))
	}
	return status
}

// backendStatus returns the status of a backend server.
func backendStatus(server route.State) BackendStatus {
	return BackendStatus{
		Server: server.Name, Pool: server.Pool, Version: server.Version, Running: server.Running,
		Slots: server.Slots, Speed: server.Speed, Leaving: server.Leaving,
	}
}

// heldDuties returns the duties whose leases this host holds.
func (s *Server) heldDuties() []string {
	held := []string{}
	for _, duty := range s.leases.Duties {
		if _, ok := s.leases.Held(duty); ok {
			held = append(held, duty)
		}
	}
	return held
}

// status returns the status of all other hosts, ordered by zone and host.
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
