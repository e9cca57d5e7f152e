package spread

import "time"

// Watchers is the number of hosts of a zone that watch the platform (rule 3).
const Watchers = 2

// fetchTimeout is the time after which an unanswered fetch is abandoned and the
// next peer is asked.
const fetchTimeout = 2 * time.Second

// Limits of the deltas that a host keeps for its peers.
const (
	maxDeltas     = 64
	maxDeltaBytes = 256 << 10 // of Middle, of all deltas together
)

// maxPeers is the largest number of peers that are remembered for a fetch.
const maxPeers = 16

// State is the configuration state of a host. It does no I/O: Step takes events
// and returns actions. The zero value has no document and does not watch.
type State struct {
	Accepted Accepted
	Deltas   []Delta // oldest first, the last one leads to Accepted

	peers      []peerVersion // peers with a higher version, in order of arrival
	fetching   string        // address of the peer that is asked, empty for none
	fetchWhole bool          // the next fetch asks for the whole document
	until      time.Time     // deadline of the fetch
	watching   bool
}

// peerVersion is the version that a peer reported.
type peerVersion struct {
	address string
	version uint64
}

// Event is an input of Step.
type Event interface{ event() }

// PeerVersion reports the version that a peer has in force.
type PeerVersion struct {
	Address string
	Version uint64
}

// Fetched reports the end of a fetch.
type Fetched struct {
	Address string
	Reply   Reply
	Err     error
}

// DocumentRead reports an accepted document that was read from the platform or
// the data folder. It may be stale.
type DocumentRead struct {
	Accepted Accepted
}

// RankChanged reports the rank of this host in its zone, zero for the first. A
// host with a negative rank does not watch the platform.
type RankChanged struct {
	Rank int
}

// Tick reports that time has passed.
type Tick struct{}

func (PeerVersion) event()  {}
func (Fetched) event()      {}
func (DocumentRead) event() {}
func (RankChanged) event()  {}
func (Tick) event()         {}

// Action is an output of Step, to be carried out by the caller.
type Action interface{ action() }

// Fetch asks for the versions after Have to be requested from a peer.
type Fetch struct {
	Address string
	Have    uint64
}

// Watch asks for the watch of the platform to be started or stopped.
type Watch struct {
	On bool
}

// Apply asks for a document to be put into force.
type Apply struct {
	Accepted Accepted
}

// Diverged reports that two different documents have the same version.
type Diverged struct {
	Version uint64
}

func (Fetch) action()    {}
func (Watch) action()    {}
func (Apply) action()    {}
func (Diverged) action() {}

// Ready reports whether the host has an accepted document (rule 5).
func (s *State) Ready() bool { return s.Accepted.Version > 0 }

// Answer returns the reply to a peer's request: the deltas after the version that
// the peer has, or the whole document if they are not kept.
func (s *State) Answer(request Request) Reply {
	if request.Have >= s.Accepted.Version {
		return Reply{}
	}
	for i, delta := range s.Deltas {
		if request.Have > 0 && delta.Version == request.Have+1 {
			return Reply{Deltas: append([]Delta(nil), s.Deltas[i:]...)}
		}
	}
	accepted := s.Accepted
	return Reply{Whole: &accepted}
}
