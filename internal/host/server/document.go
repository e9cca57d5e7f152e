package server

import (
	"context"
	"errors"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/entry/gate"
	"github.com/hyssopwall/hyssopwall/internal/entry/quota"
	"github.com/hyssopwall/hyssopwall/internal/site/document"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// applyDocument makes an accepted document the current one. A version that is not
// higher than the current one changes nothing.
func (s *Server) applyDocument(version uint64, body []byte) {
	doc, err := document.Decode("accepted document", body)
	if err != nil {
		s.config.Log.Emit(event.DocumentRefused, "version", version, "err", err.Error())
		return
	}
	index := document.NewIndex(version, doc)
	table, err := gate.NewTable(gateRules(index))
	if err != nil {
		s.config.Log.Emit(event.DocumentRefused, "version", version, "err", err.Error())
		return
	}
	withdrawn, err := s.gate.Swap(table)
	var stale *gate.StaleError
	if errors.As(err, &stale) {
		return
	}
	if s.index.Swap(index) == nil {
		s.config.Log.Emit(event.HostReady, "host", s.config.Settings.Host)
	}
	s.quota.SetLimits(quotaLimits(index), s.evenShare)
	s.burn.SetObjectives(doc.Objectives)
	s.home.SetWorkspaceWeights(workspaceShares(index))
	s.claims.SetZones(zoneNames(doc))
	s.rollouts.update(s.ctx, doc)
	for _, caller := range withdrawn {
		s.config.Log.Emit(event.KeyWithdrawn, "workspace", caller.Workspace, "key", caller.KeyID)
	}
}

// gateRules returns the keys, open routes and grace times of a document for the gate.
func gateRules(index *document.Index) gate.Rules {
	rules := gate.Rules{Version: index.Version, OpenRoutes: index.OpenRoutes(), Grace: make(map[string]time.Duration)}
	for _, workspace := range index.Document.Workspaces {
		rules.Grace[workspace.Name] = time.Duration(workspace.Grace)
		for _, key := range workspace.Keys {
			rules.Grants = append(rules.Grants, gate.Grant{Workspace: workspace.Name, KeyID: key.Name, Digest: key.Digest})
		}
	}
	return rules
}

// quotaLimits returns the limits of a document by workspace and route.
func quotaLimits(index *document.Index) map[quota.Key]quota.Limit {
	limits := make(map[quota.Key]quota.Limit)
	for _, workspace := range index.Document.Workspaces {
		for _, limit := range workspace.Limits {
			key := quota.Key{Workspace: workspace.Name, Route: limit.Route}
			limits[key] = quota.Limit{Rate: limit.Rate, Tokens: limit.Tokens, Concurrency: limit.Running}
		}
	}
	return limits
}

// zoneNames returns the names of the zones of a document.
func zoneNames(doc document.Document) []string {
	names := make([]string, len(doc.Zones))
	for i, zone := range doc.Zones {
		names[i] = zone.Name
	}
	return names
}

// workspaceShares returns the share of each workspace in the fair queues.
func workspaceShares(index *document.Index) map[string]int {
	shares := make(map[string]int)
	for _, workspace := range index.Document.Workspaces {
		shares[workspace.Name] = index.Share(workspace.Name)
	}
	return shares
}

// evenShare returns this host's share of a limit when the hosts that may be serving
// share it evenly. Each host may run at least one request at a time, so a small
// concurrency limit can be exceeded by the number of hosts less one.
func (s *Server) evenShare(_ quota.Key, limit quota.Limit) quota.Share {
	hosts := s.peers.limitSharers()
	return quota.Share{Fraction: 1 / float64(hosts), Slots: max(1, limit.Concurrency/hosts)}
}

// updateShares recomputes this host's shares of all limits. It is called when the
// number of hosts that share the limits has changed.
func (s *Server) updateShares() {
	index := s.index.Load()
	if index == nil {
		return
	}
	for key, limit := range quotaLimits(index) {
		s.quota.SetShare(key, s.evenShare(key, limit))
	}
}

// watchDocument applies each accepted document until ctx ends.
func (s *Server) watchDocument(ctx context.Context) {
	changes, cancel := s.spread.Subscribe()
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case accepted := <-changes:
			s.applyDocument(accepted.Version, accepted.Body)
		}
	}
}
