package event

// The events of the area rollout.
const (
	StepOpened Number = 2001 + iota
	StepDone
	SampleUnlabelled
	SampleStale
	WeightsSwapped
	WeightsFailed
)

func rolloutEvents() []Entry {
	return []Entry{
		{StepOpened, Info, "step opened", "A trainer asked for it.", "Nothing."},
		{StepDone, Info, "step whole", "All samples were delivered.", "Nothing."},
		{SampleUnlabelled, Warning, "sample without weight versions dropped", "The engine named no version for some tokens.", "Check the software of the named engine."},
		{SampleStale, Info, "stale sample dropped", "It passed the age bound before delivery.", "Look at the pace of weights and steps when this repeats."},
		{WeightsSwapped, Info, "engine runs new weights", "The engine reported the version.", "Nothing."},
		{WeightsFailed, Warning, "weight swap failed", "The engine kept its old version.", "Look at the named engine when this repeats."},
	}
}
