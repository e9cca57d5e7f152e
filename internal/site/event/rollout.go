package event

// The events of the area rollout.
const (
	StepOpened Number = 2001 + iota
	StepCompleted
	SampleUnversioned
	SampleStale
	WeightsLoaded
	WeightsLoadFailed
	StepFenced
	SampleUnscored
	WeightsLoadOrdered
	ReclaimNoticed
	DesiredCapacityChanged
	BatchStarted
	BatchCompleted
	BatchDropped
	BatchTakenOver
	BatchUnreadable
	OwnerNotifyFailed
	BatchWriteFailed
	GenerationInterrupted
	ItemFailed
	BatchRefused
	ReleaseAnnounced
	HomeSkipped
)

func rolloutEvents() []Entry {
	return []Entry{
		{StepOpened, Info, "step opened", "A trainer asked for it.", "Nothing."},
		{StepCompleted, Info, "step whole", "All samples were delivered.", "Nothing."},
		{SampleUnversioned, Warning, "sample without weight versions dropped", "The engine named no version for some tokens.", "Check the software of the named engine."},
		{SampleStale, Info, "stale sample dropped", "It passed the age bound before delivery.", "Look at the pace of weights and steps when this repeats."},
		{WeightsLoaded, Info, "engine runs new weights", "The engine reported the version.", "Nothing."},
		{WeightsLoadFailed, Warning, "weight swap failed", "The engine kept its old version.", "Look at the named engine when this repeats."},
		{StepFenced, Info, "step taken over by another host", "Another host raised the step's epoch.", "Nothing."},
		{SampleUnscored, Warning, "sample delivered without a score", "The outcome of a scoring call that may not be repeated is unknown.", "Look at the scoring service when this repeats."},
		{WeightsLoadOrdered, Info, "engine ordered to load weights", "A newer release is in the weight store.", "Nothing."},
		{ReclaimNoticed, Info, "backend server to be reclaimed", "The platform takes a spot server back.", "Nothing."},
		{DesiredCapacityChanged, Info, "wanted capacity changed", "Demand, deadlines or prices changed.", "Nothing."},
		{BatchStarted, Info, "batch started here", "It was accepted here, or taken over.", "Nothing."},
		{BatchCompleted, Info, "batch whole", "Every result stands in the store.", "Nothing."},
		{BatchDropped, Info, "batch no longer run here", "It has ended, or another host owns it.", "Nothing."},
		{BatchTakenOver, Warning, "batch taken over", "Its owner did not answer, could not reach the store, or has restarted.", "Look at the owner when it is not a planned stop."},
		{BatchUnreadable, Error, "object of a batch unreadable", "The object is not one that this version writes, or the store could not be read.", "Compare the versions of the hosts."},
		{OwnerNotifyFailed, Info, "owner of a batch not told", "The owner or the store does not answer; the watch brings the news later.", "Nothing."},
		{BatchWriteFailed, Warning, "results not written yet", "The store refused the write or its answer was lost; it is tried again.", "Look at the store when it lasts."},
		{GenerationInterrupted, Info, "generation broken off", "The engine failed, fell silent or holds other weights; the item goes on elsewhere.", "Look at the named engine when this repeats."},
		{ItemFailed, Warning, "item given up", "It failed as often as its route allows, or its time ran out.", "Look at the earlier lines of the item."},
		{BatchRefused, Info, "batch not accepted", "The store did not take it; the caller was told when to come back.", "Look at the store when this repeats."},
		{ReleaseAnnounced, Info, "release named", "A trainer named new weights.", "Nothing."},
		{HomeSkipped, Info, "home of a batch passed over", "It did not answer, or takes no batches now; the next in rank or this host runs it.", "Look at the host named when this lasts."},
	}
}
