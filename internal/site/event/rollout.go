package event

// The events of the area rollout.
const (
	StepOpened Number = 2001 + iota
	StepDone
	SampleUnlabelled
	SampleStale
	WeightsSwapped
	WeightsFailed
	StepFenced
	SampleUnscored
	WeightsOrdered
	ReclaimNoticed
	CapacityWanted
)

func rolloutEvents() []Entry {
	return []Entry{
		{StepOpened, Info, "step opened", "A trainer asked for it.", "Nothing."},
		{StepDone, Info, "step whole", "All samples were delivered.", "Nothing."},
		{SampleUnlabelled, Warning, "sample without weight versions dropped", "The engine named no version for some tokens.", "Check the software of the named engine."},
		{SampleStale, Info, "stale sample dropped", "It passed the age bound before delivery.", "Look at the pace of weights and steps when this repeats."},
		{WeightsSwapped, Info, "engine runs new weights", "The engine reported the version.", "Nothing."},
		{WeightsFailed, Warning, "weight swap failed", "The engine kept its old version.", "Look at the named engine when this repeats."},
		{StepFenced, Info, "step taken over by another host", "Another host raised the step's epoch.", "Nothing."},
		{SampleUnscored, Warning, "sample delivered without a score", "The outcome of a scoring call that may not be repeated is unknown.", "Look at the scoring service when this repeats."},
		{WeightsOrdered, Info, "engine ordered to load weights", "A newer release is in the weight store.", "Nothing."},
		{ReclaimNoticed, Info, "backend server to be reclaimed", "The platform takes a spot server back.", "Nothing."},
		{CapacityWanted, Info, "wanted capacity changed", "Demand, deadlines or prices changed.", "Nothing."},
	}
}
