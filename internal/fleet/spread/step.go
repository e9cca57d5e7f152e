package spread

import (
	"bytes"
	"time"
)

// Step processes one event at time now and returns the actions that follow from
// the rules of the package comment.
func (s *State) Step(e Event, now time.Time) []Action {
	var actions []Action
	switch e := e.(type) {
	case PeerVersion:
		s.remember(e)
	case Fetched:
		actions = s.fetched(e)
	case DocumentRead:
		actions = s.offer(e.Accepted, nil)
	case RankChanged:
		actions = s.setRank(e.Rank)
	case Tick:
	}
	return append(actions, s.fetch(now)...)
}

// remember records a peer that has a higher version, for a fetch, unless maxPeers
// are recorded already.
func (s *State) remember(e PeerVersion) {
	if e.Version <= s.Accepted.Version {
		return
	}
	for i := range s.peers {
		if s.peers[i].address == e.Address {
			s.peers[i].version = e.Version
			return
		}
	}
	if len(s.peers) < maxPeers {
		s.peers = append(s.peers, peerVersion{address: e.Address, version: e.Version})
	}
}

// fetch starts a fetch from the first peer with a higher version, unless one is
// in flight (rule 2). It abandons a fetch that has timed out.
func (s *State) fetch(now time.Time) []Action {
	if s.fetching != "" && now.Before(s.until) {
		return nil
	}
	if s.fetching != "" {
		s.forget(s.fetching)
		s.fetching = ""
	}
	if len(s.peers) == 0 {
		return nil
	}
	s.fetching = s.peers[0].address
	s.until = now.Add(fetchTimeout)
	have := s.Accepted.Version
	if s.fetchWhole {
		have = 0
	}
	return []Action{Fetch{Address: s.fetching, Have: have}}
}

// forget drops the version that a peer reported.
func (s *State) forget(address string) {
	kept := s.peers[:0]
	for _, peer := range s.peers {
		if peer.address != address {
			kept = append(kept, peer)
		}
	}
	s.peers = kept
}

// fetched processes the end of a fetch, also of one that was abandoned.
func (s *State) fetched(e Fetched) []Action {
	if e.Address == s.fetching {
		s.fetching = ""
	}
	before := s.Accepted.Version
	actions := s.applyReply(e.Reply)
	if s.Accepted.Version == before && !s.fetchWhole {
		s.forget(e.Address)
	}
	return actions
}

// applyReply puts the document of a reply into force, if it has a higher version.
// A delta that can't be applied makes the next fetch ask for the whole document
// (rule 4).
func (s *State) applyReply(reply Reply) []Action {
	if reply.Whole != nil {
		s.fetchWhole = false
		return s.offer(*reply.Whole, nil)
	}
	next, deltas := s.Accepted, []Delta(nil)
	for _, delta := range reply.Deltas {
		if delta.Version <= next.Version {
			continue
		}
		after, ok := delta.apply(next)
		if !ok {
			s.fetchWhole = true
			return nil
		}
		next, deltas = after, append(deltas, delta)
	}
	if len(deltas) == 0 {
		s.fetchWhole = false
		return nil
	}
	return s.offer(next, deltas)
}

// offer puts a document into force if its version is higher (rule 1). deltas are
// the deltas from the document in force to it, nil if they are not known. A document
// that differs under the version in force is reported by a Diverged.
func (s *State) offer(next Accepted, deltas []Delta) []Action {
	if next.Version < s.Accepted.Version || next.Version == 0 {
		return nil
	}
	if next.Version == s.Accepted.Version {
		if next.ID != s.Accepted.ID || !bytes.Equal(next.Body, s.Accepted.Body) {
			return []Action{Diverged{Version: next.Version}}
		}
		return nil
	}
	switch {
	case deltas != nil:
		s.Deltas = append(s.Deltas, deltas...)
	case next.Version == s.Accepted.Version+1:
		s.Deltas = append(s.Deltas, diff(s.Accepted, next))
	default:
		s.Deltas = nil
	}
	s.Accepted = next
	s.trimDeltas()
	s.forgetOutdated()
	return []Action{Apply{Accepted: next}}
}

// trimDeltas drops the oldest deltas that exceed the limits.
func (s *State) trimDeltas() {
	size := 0
	for i := len(s.Deltas) - 1; i >= 0; i-- {
		size += len(s.Deltas[i].Middle)
		if size > maxDeltaBytes || len(s.Deltas)-i > maxDeltas {
			s.Deltas = append([]Delta(nil), s.Deltas[i+1:]...)
			return
		}
	}
}

// forgetOutdated drops the peers whose version is no higher than the one in force.
func (s *State) forgetOutdated() {
	kept := s.peers[:0]
	for _, peer := range s.peers {
		if peer.version > s.Accepted.Version {
			kept = append(kept, peer)
		}
	}
	s.peers = kept
}

// setRank starts or stops the watch of the platform (rule 3).
func (s *State) setRank(rank int) []Action {
	watch := rank >= 0 && rank < Watchers
	if watch == s.watching {
		return nil
	}
	s.watching = watch
	return []Action{Watch{On: watch}}
}
