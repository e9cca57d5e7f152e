// Package compare measures the decisions of packages step, weights and reclaim
// against baselines, in one run under a virtual clock. The engines, the weight
// store, the supply of backend servers and the trainers are small models at
// the interfaces of those packages; every decision is made by their code.
package compare

import "time"

// Baseline names the decisions that a run replaces by simpler ones.
type Baseline string

// The baselines.
const (
	None      Baseline = "hyssopwall"
	Arrival   Baseline = "first come, no hedges"
	AllAtOnce Baseline = "all engines swap at once"
	OnDemand  Baseline = "on-demand only"
)

// Scenario is one site and its load. Tokens are generated tokens.
type Scenario struct {
	Name     string
	Baseline Baseline
	Reclaims bool
	Seed     uint64
	Length   time.Duration // of the run
	Tick     time.Duration

	Zones    int
	Samplers int     // most servers in all
	Slots    int     // generations of an engine at once
	Speed    float64 // tokens per second of a generation alone on an engine
	Drag     float64 // share of Speed that each further generation costs

	Trainers int
	Groups   int           // of a step
	Size     int           // samples of a group
	Mean     float64       // tokens of a sample
	Most     int           // tokens of a sample
	Bound    uint64        // versions
	Train    time.Duration // between two steps of a trainer
	Goal     time.Duration // in which capacity is to make a step whole
	Rate     uint64        // weight downloads per second
}

// Times of the models.
const (
	releasePeriod = 5 * time.Minute
	loadTime      = 2 * time.Second        // an engine generates nothing while it loads
	startTime     = 60 * time.Second       // from an order to a working server
	notice        = 10 * time.Second       // before a reclaim
	reclaimPeriod = 10 * time.Minute       // between two reclaims, each of one zone
	refusal       = 3 * time.Minute        // in which a reclaimed zone has no spot servers
	repairTime    = 30 * time.Second       // of a crashed engine
	coldTime      = 500 * time.Millisecond // to compute a prompt
)

// Shares and prices of the models.
const (
	slowShare   = 0.02 // of the engines run at slowSpeed
	slowSpeed   = 0.3
	keepShare   = 0.5            // of the engines keep cached prompts across a swap
	crashPeriod = 20 * time.Hour // of one engine
	spotPrice   = 0.3            // per server and hour
	demandPrice = 1.0
	lengthSigma = 0.45 // of the logarithm of a sample's length within its class
	classSigma  = 0.5  // of the logarithm of a class's mean length
	classes     = 8
)

// Forge is the site hcm-south: quote-llm with 9 samplers.
func Forge() Scenario {
	return Scenario{
		Name: "forge", Seed: 1, Length: time.Hour, Tick: time.Second,
		Zones: 4, Samplers: 9, Slots: 8, Speed: 70, Drag: 0.2,
		Trainers: 2, Groups: 16, Size: 8, Mean: 600, Most: 2400, Bound: 1,
		Train: time.Minute, Goal: 150 * time.Second, Rate: 2,
	}
}

// Consortium is the site dakar: assay-models with 11 samplers.
func Consortium() Scenario {
	return Scenario{
		Name: "consortium", Seed: 2, Length: time.Hour, Tick: time.Second,
		Zones: 3, Samplers: 11, Slots: 8, Speed: 70, Drag: 0.2,
		Trainers: 3, Groups: 16, Size: 8, Mean: 500, Most: 2000, Bound: 1,
		Train: time.Minute, Goal: 150 * time.Second, Rate: 2,
	}
}

// Full is the size to design for.
func Full() Scenario {
	return Scenario{
		Name: "full", Seed: 3, Length: time.Hour, Tick: time.Second,
		Zones: 14, Samplers: 3800, Slots: 8, Speed: 70, Drag: 0.2,
		Trainers: 20, Groups: 256, Size: 8, Mean: 6000, Most: 16000, Bound: 3,
		Train: 2 * time.Minute, Goal: 12 * time.Minute, Rate: 500,
	}
}

// Tenth is a tenth of Full, for runs that have to be short.
func Tenth() Scenario {
	s := Full()
	s.Name, s.Samplers, s.Trainers, s.Rate = "tenth", 380, 2, 50
	return s
}
