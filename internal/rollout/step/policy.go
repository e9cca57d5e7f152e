package step

import "time"

// Defaults of a Policy. MaxBackoff bounds the backoff of a slot, and maxChunkBytes the
// texts of a chunk of more than one sample.
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

// Policy holds the parameters of a ledger. Fields that are zero take their defaults;
// ReleasePeriod and PlanOrder have none.
type Policy struct {
	CommitInterval time.Duration // minimum time between the commits of two chunks; none once all samples are ready
	Chunk          int           // largest number of samples of a chunk
	HedgeShare     float64       // budget of hedges as a share of the step's expected tokens; negative disables hedging
	HedgeSpeedup   float64       // required ratio of an attempt's remaining time to the time of its hedge
	StallTimeout   time.Duration // an attempt without a new token for this long counts as stuck
	WarmUp         time.Duration // minimum age to judge an attempt's speed; covers its prompt and a pause of the engine
	Backoff        time.Duration // delay of a slot after its first failure; doubles with each one up to MaxBackoff
	ReleasePeriod  time.Duration // expected time between two weights versions; zero if unknown
	PlanOrder      bool          // start samples in the order of the plan instead of the longest first
}

// withDefaults returns the policy with defaults in place of its zero fields.
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

// setDefault sets the field to value if it is zero.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
