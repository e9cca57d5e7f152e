package spread

import "time"

// Watchers is how many hosts of a zone watch the platform.
const Watchers = 2

// fetchTimeout is how long a fetch may take before another peer is asked.
const fetchTimeout = 2 * time.Second

// Bounds of the deltas that a host keeps for its peers.
const (
	maxDeltas     = 64
	maxDeltaBytes = 256 << 10
)

// maxPeers bounds the peers that are remembered for a fetch.
const maxPeers = 16

// State is what a host knows of the configuration. The zero value knows
// nothing and does not watch.
type State struct {
	Accepted Accepted
	Deltas   []Delta // oldest first, the last one leads to Accepted

	peers    []shown // that showed a higher version, in order of arrival
	fetching string  // address asked, empty for none
	whole    bool    // the next fetch asks for the whole document
	until    time.Time
	watching bool
}

// shown is a version that a peer showed.
type shown struct {
	address string
	version uint64
}

// Event is something that happens to the state.
type Event interface{ event() }

// PeerVersion says that a peer showed its version.
type PeerVersion struct {
	Address string
	Version uint64
}

// Fetched ends a fetch.
type Fetched struct {
	Address string
	Reply   Reply
	Err     error
}

// DocumentRead is an accepted document as read from the platform or the data folder.
// It may be old.
type DocumentRead struct {
	Accepted Accepted
}

// RankChanged tells the host's rank in its zone, zero for the first. A negative
// rank watches nothing.
type RankChanged struct {
	Rank int
}

// Tick passes time.
type Tick struct{}

func (PeerVersion) event()  {}
func (Fetched) event()      {}
func (DocumentRead) event() {}
func (RankChanged) event()  {}
func (Tick) event()         {}

// Action is what the host has to do next.
type Action interface{ action() }

// Fetch asks a peer for what follows version Have.
type Fetch struct {
	Address string
	Have    uint64
}

// Watch starts or stops to watch the platform.
type Watch struct {
	On bool
}

// Apply puts a document into force.
type Apply struct {
	Accepted Accepted
}

// Diverged reports two different documents of one version.
type Diverged struct {
	Version uint64
}

func (Fetch) action()    {}
func (Watch) action()    {}
func (Apply) action()    {}
func (Diverged) action() {}

// Ready reports whether the host knows an accepted document (rule 5).
func (s *State) Ready() bool { return s.Accepted.Version > 0 }

// Answer serves the request of a peer.
func (s *State) Answer(request Request) Reply {
	if request.Have >= s.Accepted.Version {
		return Reply{}
	}
	for i, delta := range s.Deltas {
		if request.Have > 0 && delta.Version == request.Have+1 {
			return Reply{Deltas: append([]Delta(nil), s.Deltas[i:]...)}
		}
	}
	whole := s.Accepted
	return Reply{Whole: &whole}
}
