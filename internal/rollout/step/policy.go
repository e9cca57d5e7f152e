package step

import "time"

// Defaults of a Policy.
const (
	DefaultCommitInterval = 2 * time.Second
	DefaultChunk          = 256 // samples
	DefaultHedgeShare     = 0.05
	DefaultHedgeSpeedup   = 1.5
	DefaultStallTimeout   = 30 * time.Second
	DefaultWarmUp         = 15 * time.Second
	DefaultBackoff        = 200 * time.Millisecond
	MaxBackoff            = 10 * time.Second
	maxChunkBytes         = 2 << 20 // bytes
)

// Policy holds the limits of a ledger. Zero fields take the defaults.
type Policy struct {
	CommitInterval time.Duration // least time between two commits, but for the last of a step
	Chunk          int           // most samples of a chunk
	HedgeShare     float64       // hedged tokens as a share of the step's expected tokens; negative for no hedges
	HedgeSpeedup   float64       // a hedge has to be expected to end this many times sooner
	StallTimeout   time.Duration // an attempt without a token for this long is taken as stuck
	WarmUp         time.Duration // an attempt's pace is judged after this long, past its prompt and a pause
	Backoff        time.Duration // wait after a first failure; doubles up to MaxBackoff
	ReleasePeriod  time.Duration // expected time between weight versions, zero if not known
	PlanOrder      bool          // keep the order of the plan instead of long first
}

func (p Policy) withDefaults() Policy {
	setDefault(&p.CommitInterval, DefaultCommitInterval)
	setDefault(&p.Chunk, DefaultChunk)
	setDefault(&p.HedgeShare, DefaultHedgeShare)
	setDefault(&p.HedgeSpeedup, DefaultHedgeSpeedup)
	setDefault(&p.StallTimeout, DefaultStallTimeout)
	setDefault(&p.WarmUp, DefaultWarmUp)
	setDefault(&p.Backoff, DefaultBackoff)
	return p
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
