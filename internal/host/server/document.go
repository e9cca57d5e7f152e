package server

import (
	"context"
	"errors"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/entry/gate"
	"github.com/hyssopwall/hyssopwall/internal/entry/quota"
	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
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
	s.index.Store(index)
	s.quota.SetLimits(limitsOf(index), s.firstShare)
	s.home.SetWeights(sharesOf(index))
	s.claims.SetZones(zonesOf(doc))
	s.rolls.set(s.ctx, doc)
	s.config.Log.Emit(event.ConfigurationApplied, "version", version)
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

// documentKey is the object of the accepted document.
const documentKey = "document/accepted"

// firstShare is this host's part of a limit until shares are divided by
// demand: an even part among the live hosts.
func (s *Server) firstShare(_ quota.Key, limit quota.Limit) quota.Share {
	hosts := max(1, len(s.peers.live(func(*peer) bool { return true }))+1)
	return quota.Share{Fraction: 1 / float64(hosts), Slots: max(1, limit.Concurrency/hosts)}
}

// version returns the version of the document in force, zero for none.
func (s *Server) version() uint64 { return s.gate.Version() }

// accepted returns the document in force for a peer.
func (s *Server) accepted() told {
	s.docMu.Lock()
	defer s.docMu.Unlock()
	return s.doc
}

// learn puts a higher document version in force.
func (s *Server) learn(t told) {
	s.docMu.Lock()
	defer s.docMu.Unlock()
	if t.Version <= s.doc.Version {
		return
	}
	s.doc = t
	s.apply(t.Version, t.Body)
}

// watchDocument is the duty that follows the accepted document in the
// platform.
func (s *Server) watchDocument(ctx context.Context) {
	revision := uint64(0)
	for ctx.Err() == nil {
		batch, err := s.store.Watch(ctx, documentKey, revision)
		if err != nil {
			pause(ctx, time.Second)
			continue
		}
		s.peers.heard()
		revision = max(revision, batch.Revision)
		for _, found := range batch.Objects {
			if t, err := wire.Decode[told](found.Value); err == nil {
				s.learn(t)
			}
		}
	}
}

func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Accept checks a document and puts it in force as the next version. It
// returns an *object.ConflictError when another document was accepted
// meanwhile.
func Accept(ctx context.Context, store object.Store, body []byte) (uint64, error) {
	if _, err := document.Decode("document", body); err != nil {
		return 0, err
	}
	current, err := store.Get(ctx, documentKey)
	var missing *object.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return 0, err
	}
	next := told{Version: 1, Body: body}
	if err == nil {
		last, err := wire.Decode[told](current.Value)
		if err != nil {
			return 0, err
		}
		next.Version = last.Version + 1
	}
	data, err := wire.Encode(next)
	if err != nil {
		return 0, err
	}
	_, err = store.Put(ctx, documentKey, data, current.Version)
	return next.Version, err
}
