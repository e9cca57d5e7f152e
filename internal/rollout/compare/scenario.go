// Package compare simulates packages step, weights and reclaim together under a
// virtual clock and compares their decisions with simple baselines. The engines,
// the weight store, the supply of backend servers and the trainers are simulated at
// the interfaces of those packages; every decision is made by the production code.
package compare

import "time"

// Baseline selects the decisions that a run replaces by simpler ones.
type Baseline string

// The baselines. None replaces no decision. ArrivalOrder assigns samples in the order
// of the plan, without hedges and without regard to cached prompts. AllAtOnce loads
// new weights on all engines at the same time. OnDemand orders on-demand servers only:
// it plans as if spot servers cost as much, and without headroom for reclaims.
const (
	None         Baseline = "hyssopwall"
	ArrivalOrder Baseline = "first come, no hedges"
	AllAtOnce    Baseline = "all engines swap at once"
	OnDemand     Baseline = "on-demand only"
)

// Scenario describes a simulated site and its load. All counts of tokens are of
// generated tokens.
type Scenario struct {
	Name     string
	Baseline Baseline
	Reclaims bool // the platform reclaims spot servers
	Seed     uint64
	Length   time.Duration // simulated time of a run
	Tick     time.Duration // resolution of the simulation

	Zones    int
	Samplers int     // maximum number of servers in all zones
	Slots    int     // concurrent generations per engine
	Speed    float64 // tokens per second of a generation that runs alone
	Slowdown float64 // share of the time per token that each further generation adds

	Trainers     int
	Groups       int           // per step
	GroupSize    int           // samples per group
	MedianTokens float64       // median of the distribution of a sample's tokens
	MaxTokens    int           // maximum tokens of a sample
	MaxSampleAge uint64        // weights versions that a fresh sample may lag behind the newest
	TrainTime    time.Duration // training time between two steps of a trainer
	StepGoal     time.Duration // time to complete a step that capacity is planned for
	DownloadRate uint64        // weight downloads per second of the weight store
}

// Times of the simulated components.
const (
	releasePeriod = 5 * time.Minute        // between two weights versions
	loadTime      = 2 * time.Second        // an engine generates nothing while it loads
	startupTime   = 60 * time.Second       // from the order of a server until it is up
	noticeTime    = 10 * time.Second       // from a reclaim notice to the reclaim
	reclaimPeriod = 10 * time.Minute       // between two reclaims, each of one zone
	refusalTime   = 3 * time.Minute        // after a reclaim, during which orders of spot servers in the zone are refused
	repairTime    = 30 * time.Second       // of a crashed engine
	prefillTime   = 500 * time.Millisecond // to compute a prompt
)

// Speeds, prices and distributions of the simulated components.
const (
	slowShare      = 0.02           // of the engines run at slowSpeed
	slowSpeed      = 0.3            // share of the full speed
	keepCacheShare = 0.5            // of the engines keep cached prompts across a swap
	crashPeriod    = 20 * time.Hour // mean time between crashes of one engine
	spotPrice      = 0.3            // per server and hour
	onDemandPrice  = 1.0            // per server and hour; the unit of costs
	lengthSigma    = 0.45           // standard deviation of the logarithm of a sample's length within its class
	classSigma     = 0.5            // standard deviation of the logarithm of a class's median length
	classes        = 8              // number of classes
)

// Forge returns the scenario of the site hcm-south: quote-llm with 9 samplers.
func Forge() Scenario {
	return Scenario{
		Name: "forge", Seed: 1, Length: time.Hour, Tick: time.Second,
		Zones: 4, Samplers: 9, Slots: 8, Speed: 70, Slowdown: 0.2,
		Trainers: 2, Groups: 16, GroupSize: 8, MedianTokens: 600, MaxTokens: 2400, MaxSampleAge: 1,
		TrainTime: time.Minute, StepGoal: 150 * time.Second, DownloadRate: 2,
	}
}

// Consortium returns the scenario of the site dakar: assay-models with 11 samplers.
func Consortium() Scenario {
	return Scenario{
		Name: "consortium", Seed: 2, Length: time.Hour, Tick: time.Second,
		Zones: 3, Samplers: 11, Slots: 8, Speed: 70, Slowdown: 0.2,
		Trainers: 3, Groups: 16, GroupSize: 8, MedianTokens: 500, MaxTokens: 2000, MaxSampleAge: 1,
		TrainTime: time.Minute, StepGoal: 150 * time.Second, DownloadRate: 2,
	}
}

// Full returns a scenario of the largest size that the design must support.
func Full() Scenario {
	return Scenario{
		Name: "full", Seed: 3, Length: time.Hour, Tick: time.Second,
		Zones: 14, Samplers: 3800, Slots: 8, Speed: 70, Slowdown: 0.2,
		Trainers: 20, Groups: 256, GroupSize: 8, MedianTokens: 6000, MaxTokens: 16000, MaxSampleAge: 3,
		TrainTime: 2 * time.Minute, StepGoal: 12 * time.Minute, DownloadRate: 500,
	}
}

// Tenth returns Full at a tenth of its size, for shorter runs.
func Tenth() Scenario {
	s := Full()
	s.Name, s.Samplers, s.Trainers, s.DownloadRate = "tenth", 380, 2, 50
	return s
}
