package spread

import (
	"bytes"
	"time"
)

// Step takes one event and returns what to do. The rules are those of the
// package comment.
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
		actions = s.rank(e.Rank)
	case Tick:
	}
	return append(actions, s.fetch(now)...)
}

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
		s.peers = append(s.peers, shown{address: e.Address, version: e.Version})
	}
}

// fetch asks the first peer that has more, unless a fetch is under way (rule 2).
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
	if s.whole {
		have = 0
	}
	return []Action{Fetch{Address: s.fetching, Have: have}}
}

func (s *State) forget(address string) {
	kept := s.peers[:0]
	for _, peer := range s.peers {
		if peer.address != address {
			kept = append(kept, peer)
		}
	}
	s.peers = kept
}

func (s *State) fetched(e Fetched) []Action {
	if e.Address == s.fetching {
		s.fetching = ""
	}
	before := s.Accepted.Version
	actions := s.take(e.Reply)
	if s.Accepted.Version == before && !s.whole {
		s.forget(e.Address)
	}
	return actions
}

func (s *State) take(reply Reply) []Action {
	if reply.Whole != nil {
		s.whole = false
		return s.offer(*reply.Whole, nil)
	}
	next, deltas := s.Accepted, []Delta(nil)
	for _, delta := range reply.Deltas {
		if delta.Version <= next.Version {
			continue
		}
		after, ok := delta.apply(next)
		if !ok {
			s.whole = true
			return nil
		}
		next, deltas = after, append(deltas, delta)
	}
	if len(deltas) == 0 {
		s.whole = false
		return nil
	}
	return s.offer(next, deltas)
}

// offer puts a document into force when its version is higher (rule 1).
// deltas lead to it from the one in force; nil means that they are not known.
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
	s.trim()
	s.outdate()
	return []Action{Apply{Accepted: next}}
}

// trim drops the oldest deltas over the bounds.
func (s *State) trim() {
	size := 0
	for i := len(s.Deltas) - 1; i >= 0; i-- {
		size += len(s.Deltas[i].Middle)
		if size > maxDeltaBytes || len(s.Deltas)-i > maxDeltas {
			s.Deltas = append([]Delta(nil), s.Deltas[i+1:]...)
			return
		}
	}
}

// outdate forgets peers that showed nothing newer than what is in force now.
func (s *State) outdate() {
	kept := s.peers[:0]
	for _, peer := range s.peers {
		if peer.version > s.Accepted.Version {
			kept = append(kept, peer)
		}
	}
	s.peers = kept
}

// rank starts or stops the watch of the platform (rule 3).
func (s *State) rank(rank int) []Action {
	watch := rank >= 0 && rank < Watchers
	if watch == s.watching {
		return nil
	}
	s.watching = watch
	return []Action{Watch{On: watch}}
}
