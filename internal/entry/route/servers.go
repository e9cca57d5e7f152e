package route

import (
	"sync"
	"time"
)

// Rules of the choice of a backend server at its home host:
//
//  1. A backend server is open when it is not leaving, not held, not backing
//     off after a failure or a refusal, and runs fewer requests of this home
//     than it has slots. Reported load never closes a backend server, because
//     reports lag and may be wrong; counts of this home are exact.
//  2. Of the open ones with the required weights version, the one with the
//     least expected time to finish is chosen: the uncached part of the prompt
//     and the tokens to generate, divided by the measured speed at the present
//     load.
//  3. Reported load beyond the requests of this home counts as load by other
//     hosts until the report is older than reportExpiry.
//  4. The set of cached prefixes is built from cache events. A gap in their
//     sequence or a restart of the backend server empties it. The prefixes of
//     a prompt that was sent count as cached for assumedCacheTTL, because their
//     events arrive late.
//  5. A solo request needs a backend server without other work. If all are
//     busy, one of them is closed to new work until it is idle.
const (
	assumedCacheTTL = 5 * time.Second
	reportExpiry    = 3 * time.Second
	soloHoldTTL     = 2 * time.Second // for a waiting solo request; each of its tries renews the hold
	speedSmoothing  = 0.2             // weight of the latest sample in the average speed
	firstBackoff    = 250 * time.Millisecond
	maxBackoff      = 15 * time.Second
	prefillFactor   = 0.02    // time to process a prompt token / time to generate a token
	maxPrefixes     = 1 << 16 // bound of each of a server's sets cached and assumed
)

// Server is a backend server as the configuration and the provisioning
// describe it.
type Server struct {
	Name    string
	Pool    string
	Slots   int     // maximum of concurrent requests; zero means the reported one
	Speed   float64 // tokens per second of one stream, used until a speed was measured
	Durable bool    // not reclaimed on short notice
}

// Need describes a request and its requirements on a backend server.
type Need struct {
	ID             string
	Pool           string
	Prefixes       []uint64      // hashes of the prompt's prefixes, shortest first
	PromptTokens   int           // tokens of the prompt
	Tokens         int           // tokens expected to be generated
	MinVersion     uint64        // the oldest weights version that may be used
	VersionPenalty time.Duration // added to the expected time to finish for each version behind the pool's newest
	Durable        bool          // only on a Durable backend server
	Solo           bool          // only on a backend server without other work
	Avoid          []string      // names of backend servers that must not be used
}

// Choice is a reserved slot on a backend server. CachedPrefixes is the number of
// leading prefixes expected in its cache.
type Choice struct {
	Server         string
	Version        uint64
	CachedPrefixes int
}

// Servers tracks the load, cache and health of the backend servers of a home
// host, and reserves slots on them. The zero value has no servers. Every method
// is safe for concurrent use.
type Servers struct {
	mu      sync.Mutex
	servers map[string]*server
	gaps    int // times that cache events were lost
}

// server is the state of one backend server.
type server struct {
	Server
	running       map[string]time.Time // start times of this home's requests by identifier
	ended         []span               // this home's requests that ended within reportExpiry
	reportedSlots int
	solo          string    // identifier of the solo request that runs on it
	soloHoldUntil time.Time // closed to new work until then, for a solo request
	leaving       bool
	held          bool
	backoffUntil  time.Time
	failures      int     // in a row
	speed         float64 // measured tokens per second of one stream, zero before the first answer

	boot         string
	version      uint64
	reportedLoad int       // running and waiting requests by its own report
	ownLoad      int       // requests of this home when the report was made
	reportedAt   time.Time // when the report was made

	sequence uint64               // of the last cache event
	cached   map[uint64]struct{}  // prefixes by cache events
	assumed  map[uint64]time.Time // expiry of prefixes that were sent (rule 4)
}

// State is the state of one backend server, for other packages.
type State struct {
	Server      // Slots is the maximum in effect, see slots
	Running int // requests of this home
	Version uint64
	Boot    string
	Leaving bool
	Held    bool    // closed to new work by SetHeld
	Speed   float64 // expected tokens per second of one stream, measured if possible
}

// span is the time that a request ran.
type span struct {
	start, end time.Time
}

// slots is the maximum of concurrent requests. A report can lower the
// configured maximum, not raise it.
func (s *server) slots() int {
	if s.Slots == 0 || s.reportedSlots == 0 {
		return max(1, s.Slots, s.reportedSlots)
	}
	return min(s.Slots, s.reportedSlots)
}

// expectedSpeed returns the measured speed, or the configured one before the
// first measurement.
func (s *server) expectedSpeed() float64 {
	if s.speed > 0 {
		return s.speed
	}
	return max(1, s.Speed)
}
