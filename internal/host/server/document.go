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

// apply puts a document in force. A version that is not higher changes
// nothing.
func (s *Server) apply(version uint64, body []byte) {
	doc, err := document.Decode("accepted document", body)
	if err != nil {
		s.config.Log.Emit(event.DocumentRefused, "version", version, "err", err.Error())
		return
	}
	index := document.NewIndex(version, doc)
	table, err := gate.NewTable(rulesOf(index))
	if err != nil {
		s.config.Log.Emit(event.DocumentRefused, "version", version, "err", err.Error())
		return
	}
	gone, err := s.gate.Swap(table)
	var stale *gate.StaleError
	if errors.As(err, &stale) {
		return
	}
	if s.index.Swap(index) == nil {
		s.config.Log.Emit(event.HostReady, "host", s.config.Settings.Host)
	}
	s.quota.SetLimits(limitsOf(index), s.firstShare)
	s.burn.SetObjectives(doc.Objectives)
	s.home.SetWorkspaceWeights(sharesOf(index))
	s.claims.SetZones(zonesOf(doc))
	s.rolls.set(s.ctx, doc)
	for _, caller := range gone {
		s.config.Log.Emit(event.KeyWithdrawn, "workspace", caller.Workspace, "key", caller.KeyID)
	}
}

func rulesOf(index *document.Index) gate.Rules {
	rules := gate.Rules{Version: index.Version, OpenRoutes: index.OpenRoutes(), Grace: make(map[string]time.Duration)}
	for _, workspace := range index.Document.Workspaces {
		rules.Grace[workspace.Name] = time.Duration(workspace.Grace)
		for _, key := range workspace.Keys {
			rules.Grants = append(rules.Grants, gate.Grant{Workspace: workspace.Name, KeyID: key.Name, Digest: key.Digest})
		}
	}
	return rules
}

func limitsOf(index *document.Index) map[quota.Key]quota.Limit {
	limits := make(map[quota.Key]quota.Limit)
	for _, workspace := range index.Document.Workspaces {
		for _, limit := range workspace.Limits {
			key := quota.Key{Workspace: workspace.Name, Route: limit.Route}
			limits[key] = quota.Limit{Rate: limit.Rate, Tokens: limit.Tokens, Concurrency: limit.Running}
		}
	}
	return limits
}

func zonesOf(doc document.Document) []string {
	names := make([]string, len(doc.Zones))
	for i, zone := range doc.Zones {
		names[i] = zone.Name
	}
	return names
}

func sharesOf(index *document.Index) map[string]int {
	shares := make(map[string]int)
	for _, workspace := range index.Document.Workspaces {
		shares[workspace.Name] = index.Share(workspace.Name)
	}
	return shares
}

// firstShare is this host's part of a limit: an even part among the hosts that
// may be serving. Of requests at once every host keeps at least one, so that a small
// limit may be passed by the number of hosts less one.
func (s *Server) firstShare(_ quota.Key, limit quota.Limit) quota.Share {
	hosts := s.peers.count()
	return quota.Share{Fraction: 1 / float64(hosts), Slots: max(1, limit.Concurrency/hosts)}
}

// reshare divides the limits anew when the number of hosts has changed.
func (s *Server) reshare() {
	index := s.index.Load()
	if index == nil {
		return
	}
	for key, limit := range limitsOf(index) {
		s.quota.SetShare(key, s.firstShare(key, limit))
	}
}

// watchDocument is the duty that puts each accepted document in force.
func (s *Server) watchDocument(ctx context.Context) {
	changes, cancel := s.spread.Subscribe()
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case accepted := <-changes:
			s.apply(accepted.Version, accepted.Body)
		}
	}
}
