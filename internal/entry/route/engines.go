package route

import (
	"sync"
	"time"
)

// Rules of the choice inside a home:
//
//  1. A backend server is open when it is not leaving, not held, not backing
//     off after a failure or a refusal, and has fewer requests of this home
//     than slots. Reported load never closes a backend server, because reports
//     lag and may be wrong; counts of this home are exact.
//  2. Among open ones with the wanted version, the one with the least expected
//     time to finish is taken: the uncached part of the prompt and the tokens
//     to generate, over the measured speed at the present load.
//  3. Reported load beyond what this home has running counts as load of others
//     while the report is fresh.
//  4. The cache picture comes from cache events. A gap in their sequence or a
//     restart of the backend server empties it. A prompt sent counts as cached
//     for assumeCached, since events come late.
//  5. A solo request needs a backend server without other work. If all are
//     busy, one is kept from new work until it is idle.
const (
	assumeCached  = 5 * time.Second
	reportExpiry  = 3 * time.Second
	soloExpiry    = 2 * time.Second
	speedGain     = 0.2
	firstBackoff  = 250 * time.Millisecond
	maxBackoff    = 15 * time.Second
	prefillFactor = 0.02 // time of a prompt token in times of a generated token
	maxPrefixes   = 1 << 16
)

// Server is a backend server as the configuration and the supply describe it.
type Server struct {
	Name    string
	Pool    string
	Slots   int     // bound on requests at once, zero to take the reported one
	Speed   float64 // tokens a second of one stream before any was measured
	Durable bool    // not reclaimed on short notice
}

// Need is what a request asks of a backend server.
type Need struct {
	ID             string
	Pool           string
	Prefixes       []uint64      // hashes of the prompt's prefixes, shortest first
	PromptTokens   int           // tokens of the prompt
	Tokens         int           // tokens expected to be generated
	MinVersion     uint64        // weights that are too old are not used
	VersionPenalty time.Duration // time to finish that one newer version of weights is worth
	Durable        bool          // only on a Durable backend server
	Solo           bool          // without any other work beside it
	Avoid          []string
}

// Choice is a reserved place on a backend server. Cached is the number of
// prefixes expected in its cache.
type Choice struct {
	Server         string
	Version        uint64
	CachedPrefixes int
}

// Engines holds what a home host knows of its backend servers. The zero value
// is home to none. Every method is safe for concurrent use.
type Engines struct {
	mu      sync.Mutex
	servers map[string]*server
	gaps    int
}

// server is the state of one backend server.
type server struct {
	Server
	running map[string]time.Time // start of this home's requests by identifier
	ended   []span               // of this home's requests that ended lately
	offered int                  // slots by its own report
	solo    string               // the request that must be alone
	quiet   time.Time            // until when it is kept for a solo request
	leaving bool
	held    bool
	open    time.Time // end of the backoff
	fails   int
	speed   float64

	boot     string
	version  uint64
	reported int // requests running and waiting by its own report
	beside   int // requests of this home when the report was made
	at       time.Time

	sequence uint64
	cached   map[uint64]struct{}
	assumed  map[uint64]time.Time
}

// State describes one backend server to other parts.
type State struct {
	Server
	Running int
	Version uint64
	Boot    string
	Leaving bool
	Held    bool
	Speed   float64
}

// span is the time that a request ran.
type span struct {
	start, end time.Time
}

// slots is the bound on requests at once. A report can lower the configured
// bound, not raise it.
func (s *server) slots() int {
	if s.Slots == 0 || s.offered == 0 {
		return max(1, s.Slots, s.offered)
	}
	return min(s.Slots, s.offered)
}

func (s *server) rate() float64 {
	if s.speed > 0 {
		return s.speed
	}
	return max(1, s.Speed)
}
